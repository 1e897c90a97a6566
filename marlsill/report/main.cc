// Reports how fast services spend their error budgets, from the record and the rules in the platform.

#include "marlsill/config/config_repository.h"
#include "marlsill/http/client.h"
#include "marlsill/platform/platform_client.h"
#include "marlsill/record/record_file.h"
#include "marlsill/record/record_source.h"
#include "marlsill/report/burn.h"
#include "marlsill/settings/settings.h"

#include <cstdio>

namespace marlsill::report {

namespace {

    constexpr setting_spec specs[] = {
        addressSetting("platform", "", "address of the platform's object API"),
        textSetting("fleet-key", "", "secret under which the record was written", 16, 256),
        choiceSetting("output", "text", "form of the report", "text|json|html"),
    };

    constexpr int exitNotRead = 4;
    constexpr std::chrono::minutes readLimit { 10 };

    // Returns the facts of all segments that are genuine.
    std::vector<record::fact> factsOf(const std::vector<std::string>& texts, std::string_view key)
    {
        std::vector<record::fact> facts;
        for (const auto& text : texts) {
            reason why;
            auto segment = record::parseSegment(text, key, why);
            if (!segment) {
                std::fprintf(stderr, "marlsill-report: left out: %s\n", why.text.c_str());
                continue;
            }
            facts.insert(facts.end(), segment->facts.begin(), segment->facts.end());
        }
        return facts;
    }

    int run(const settings_values& settings)
    {
        reason why;
        auto limit = deadlineAfter(readLimit);
        platform::platform_client platform({ .address = *http::parseAddress(settings.text("platform")),
            .reads = { .perSecond = 200, .burst = 20'000 } });
        config::config_repository repository(platform);
        auto tree = repository.refresh({}, limit, why);
        auto inventory = tree ? config::inventoryOf(*tree, why) : std::nullopt;
        auto rules = inventory ? config::rulesOf(*tree, why) : std::nullopt;
        auto texts = rules ? record::readRecord(platform, limit, why) : std::nullopt;
        if (!texts) {
            std::fprintf(stderr, "marlsill-report: %s\n", why.text.c_str());
            return exitNotRead;
        }
        auto facts = factsOf(*texts, settings.text("fleet-key"));
        auto report = burnReport(facts, *inventory, *rules, toUnixMilliseconds(wall_clock::now()));
        const auto& output = settings.text("output");
        auto text = output == "json" ? toJson(report) : output == "html" ? toHtml(report) : toText(report);
        std::fputs(text.c_str(), stdout);
        return 0;
    }

}

}

int main(int argc, char** argv)
{
    auto start = marlsill::startProgram(
        "marlsill-report", "reports the burn of service levels", marlsill::report::specs, argc, argv);
    return start.settings ? marlsill::report::run(*start.settings) : start.exitStatus;
}
