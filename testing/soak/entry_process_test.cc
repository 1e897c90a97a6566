#include "testing/soak/entry_process.h"

#include <doctest/doctest.h>
#include <set>

namespace marlsill::testing {

TEST_CASE("Fleets that are planned before the others have started never share a port")
{
    struct row {
        const char* name;
        int fleets;
        int entries;
    };
    const row rows[] = {
        { "one of nine", 1, 9 },
        { "one as large as the limits allow", 1, 100 },
        { "as many as CI starts, all at once", 60, 32 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        std::vector<std::vector<entry_options>> fleets;
        std::set<std::string> taken;
        int planned = 0;
        for (int fleet = 0; fleet < each.fleets; ++fleet) {
            fleets.push_back(planFleet(each.entries));
            for (const auto& entry : fleets.back()) {
                for (int port : { entry.callerPort, entry.readinessPort, entry.directoryPort }) {
                    taken.insert("tcp " + entry.host + ":" + std::to_string(port));
                    ++planned;
                }
                taken.insert("udp " + entry.host + ":" + std::to_string(entry.peerPort));
                ++planned;
            }
        }
        CHECK(static_cast<int>(taken.size()) == planned);
    }
}

}
