// A stand-in of the platform: objects with versions, conditional updates and watches, and the VM list. PUT
// /faults with {"away":true,"delay_ms":50,"lost_answers":1} switches faults on; GET /counts tells the calls
// so far.

#include "marlsill/settings/settings.h"
#include "testing/platform_server.h"
#include "testing/signals.h"

#include <cstdio>

namespace marlsill::testing {

namespace {

    constexpr setting_spec specs[] = {
        addressSetting("address", "127.0.0.1:0", "where to listen"),
    };

    int run(const settings_values& settings)
    {
        auto stop = blockStopSignals();
        platform_server platform(settings.text("address"));
        std::printf("listening %s\n", platform.address().c_str());
        std::fflush(stdout);
        waitForStop(stop);
        return 0;
    }

}

}

int main(int argc, char** argv)
{
    auto start = marlsill::startProgram("platform-stand-in", "serves the platform's object API from memory",
        marlsill::testing::specs, argc, argv);
    return start.settings ? marlsill::testing::run(*start.settings) : start.exitStatus;
}
