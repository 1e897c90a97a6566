#include "marlsill/cluster/store_availability.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace marlsill::cluster {

namespace {

    using std::chrono::milliseconds;

    boot_clock::time_point at(std::int64_t timeMs)
    {
        return boot_clock::time_point(std::chrono::hours(1)) + milliseconds(timeMs);
    }

    // Responses of the store, once a second. Times are in milliseconds.
    struct contacts {
        std::int64_t firstMs;
        std::int64_t lastMs;
        bool isReported = false; // By another VM, when its last one is 100 ms old; else they are own ones.
    };

    void noteContacts(store_availability& availability, const contacts& each)
    {
        for (auto timeMs = each.firstMs; timeMs <= each.lastMs; timeMs += 1'000) {
            availability.noteContact(at(timeMs));
        }
    }

    constexpr std::int64_t none = -1;

    std::int64_t sinceAt(const store_availability& availability, std::int64_t nowMs)
    {
        auto since = availability.availableSince(at(nowMs));
        return since ? std::chrono::duration_cast<milliseconds>(*since - at(0)).count() : none;
    }

}

TEST_CASE("The store is available since its last outage for all VMs, not for one")
{
    // Guards against a VM that takes the loss of its own way to the store for an outage of the store.
    struct row {
        const char* name;
        std::vector<contacts> seen; // In the order in which this VM learns of them.
        std::int64_t nowMs;
        std::int64_t sinceMs;
    };
    constexpr bool reported = true;
    const row rows[] = {
        { "nothing known", {}, 10'000, none },
        { "own contacts", { { 1'000, 9'000 } }, 9'500, 1'000 },
        { "own contacts, then none", { { 1'000, 9'000 } }, 10'500, none },
        { "an outage for this VM", { { 1'000, 4'000 }, { 9'000, 9'000 } }, 9'500, 9'000 },
        { "not for another", { { 1'000, 4'000 }, { 9'000, 9'000 }, { 500, 9'500, reported } }, 9'700, 500 },
        { "not for another, learned before", { { 1'000, 4'000 }, { 500, 8'500, reported }, { 9'000, 9'000 } },
            9'700, 500 },
        { "only another has contact", { { 1'000, 4'000 }, { 500, 9'500, reported } }, 9'700, 500 },
        { "another since during the outage",
            { { 1'000, 4'000 }, { 9'000, 9'000 }, { 6'000, 9'000, reported } }, 9'500, 6'000 },
        { "others in turn",
            { { 1'000, 4'000 }, { 5'000, 7'000, reported }, { 7'500, 8'500, reported }, { 9'000, 9'000 } },
            9'500, 1'000 },
        { "an outage for all",
            { { 1'000, 4'000 }, { 500, 4'500, reported }, { 9'000, 9'000 }, { 8'000, 9'000, reported } },
            9'500, 8'000 },
        { "an old report", { { 9'000, 9'000 }, { 500, 4'500, reported } }, 9'500, 9'000 },
        { "nobody has contact any more", { { 1'000, 4'000 }, { 500, 5'500, reported } }, 9'500, none },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        store_availability availability;
        for (const auto& span : each.seen) {
            if (!span.isReported) {
                noteContacts(availability, span);
                continue;
            }
            store_availability other;
            noteContacts(other, span);
            auto report = other.report(at(span.lastMs + 100));
            REQUIRE(report);
            availability.noteReport(*report, at(span.lastMs + 100));
        }
        CHECK(sinceAt(availability, each.nowMs) == each.sinceMs);
    }
}

TEST_CASE("A VM reports only the responses that it got itself")
{
    // Guards against a wrong report that spreads through the fleet.
    store_availability availability;
    availability.noteReport({ 0, 9'000 }, at(9'000));
    CHECK_FALSE(availability.report(at(9'100)));
    availability.noteContact(at(9'200));
    CHECK(sinceAt(availability, 9'300) == 0);
    auto report = availability.report(at(9'300));
    REQUIRE(report);
    CHECK(report->ageMs == 100);
    CHECK(report->spanMs == 0);
    CHECK_FALSE(availability.report(at(11'000)));
}

TEST_CASE("Reports with odd numbers are bounded")
{
    constexpr auto most = ~std::uint64_t { 0 };
    struct row {
        const char* name;
        availability_report report;
        std::int64_t sinceMs; // At 100,000 ms.
    };
    const row rows[] = {
        { "usual", { 200, 5'000 }, 94'800 },
        { "a long span", { 0, 90'000 }, 40'000 },
        { "an endless span", { 0, most }, 40'000 },
        { "an old contact", { 1'401, 5'000 }, none },
        { "an endless age", { most, most }, none },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        store_availability availability;
        availability.noteReport(each.report, at(100'000));
        CHECK(sinceAt(availability, 100'000) == each.sinceMs);
    }
}

}
