#include "marlsill/cluster/fleet_builds.h"

#include <doctest/doctest.h>
#include <optional>
#include <vector>

namespace marlsill::cluster {

TEST_CASE("VMs are counted by the build that they state, and only a changed set of builds is news")
{
    struct statement {
        const char* host;
        std::optional<std::string> build; // None: the VM is gone.
        bool isNews;
    };
    struct row {
        const char* name;
        std::vector<statement> statements;
        const char* summary;
    };
    const row rows[] = {
        { "alone", {}, "0.2.0=1" },
        { "one build", { { "a", "0.2.0", false }, { "b", "0.2.0", false } }, "0.2.0=3" },
        { "an upgrade",
            { { "a", "0.1.9", true }, { "b", "0.1.9", false }, { "a", "0.2.0", false },
                { "b", "0.2.0", true } },
            "0.2.0=3" },
        { "a build that states nothing", { { "a", "", true }, { "a", "", false } }, "0.2.0=1,unstated=1" },
        { "a VM that is gone", { { "a", "0.1.9", true }, { "a", {}, true }, { "a", {}, false } }, "0.2.0=1" },
        { "one of two is gone", { { "a", "0.1.9", true }, { "b", "0.1.9", false }, { "a", {}, false } },
            "0.1.9=1,0.2.0=1" },
        { "a later build", { { "a", "1.0.0-rc.1+7", true } }, "0.2.0=1,1.0.0-rc.1+7=1" },
        { "statements that are no version",
            { { "a", "0.2.0\"} 1\n", true }, { "b", std::string(25, '1'), false } }, "0.2.0=1,unreadable=2" },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        fleet_builds builds("0.2.0");
        for (const auto& [host, build, isNews] : each.statements) {
            CHECK((build ? builds.note(host, *build) : builds.forget(host)) == isNews);
        }
        CHECK(builds.summary() == each.summary);
    }
}

}
