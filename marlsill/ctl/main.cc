// The operators' command line.

#include "marlsill/ctl/commands.h"
#include "marlsill/http/client.h"

namespace {

constexpr marlsill::setting_spec specs[] = {
    marlsill::addressSetting("entry", "", "operator address of any entry VM"),
    marlsill::textSetting("operator-key", "", "secret that operators present", 16, 256),
    marlsill::choiceSetting("output", "table", "form of the output", "json|table"),
    marlsill::flagSetting("wait", "after apply, wait until the change is in force everywhere"),
    marlsill::textSetting("operation", "", "id of a submission that is sent again", 0, 64),
};

}

int main(int argc, char** argv)
{
    auto start = marlsill::startProgram("marlsillctl", marlsill::ctl::commandSummary, specs, argc, argv);
    if (!start.settings) {
        return start.exitStatus;
    }
    const auto& settings = *start.settings;
    marlsill::ctl::connection_options options { *marlsill::http::parseAddress(settings.text("entry")),
        settings.text("operator-key"), settings.text("output") == "json", settings.isSet("wait"),
        settings.text("operation") };
    return marlsill::ctl::runCommand(options, settings.arguments());
}
