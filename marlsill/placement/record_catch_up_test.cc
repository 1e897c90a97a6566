#include "marlsill/placement/record_catch_up.h"

#include <doctest/doctest.h>
#include <optional>

namespace marlsill::placement {

using std::chrono::milliseconds;

TEST_CASE("A VM that was away waits for its peers' records, but not for long")
{
    struct row {
        const char* name;
        std::optional<int> beginMs;
        std::optional<int> completeMs;
        int atMs;
        bool isPending;
    };
    const row rows[] = {
        { "it was not away", std::nullopt, std::nullopt, 0, false },
        { "nobody has answered yet", 0, std::nullopt, 399, true },
        { "nobody answers", 0, std::nullopt, 400, false },
        { "a peer has answered", 0, 3, 4, false },
        { "it was away again after the answer", 10, 5, 20, true },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        const steady_clock::time_point start { std::chrono::hours(1) };
        record_catch_up catchUp({ .timeout = milliseconds(400) });
        for (int ms = 0; ms <= each.atMs; ++ms) {
            if (each.beginMs == ms) {
                catchUp.begin(start + milliseconds(ms));
            }
            if (each.completeMs == ms) {
                catchUp.complete();
            }
        }
        CHECK(catchUp.isPending(start + milliseconds(each.atMs)) == each.isPending);
    }
}

}
