#include "marlsill/placement/crash_quarantine.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <vector>

namespace marlsill::placement {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint64_t fingerprint = 7;
    constexpr steady_clock::time_point start { std::chrono::hours(1) };
    constexpr milliseconds noticeDelay { 30 }; // A batch of peer messages.

    crash_record crashOf(std::uint64_t request, const std::string& upstream, int crashes = 1)
    {
        return { request, upstream, crashes, 0, start + std::chrono::hours(1) };
    }

}

TEST_CASE("Only a request that crashed two upstreams is quarantined")
{
    struct row {
        const char* name;
        std::vector<const char*> upstreams;
        bool isQuarantined;
    };
    const row rows[] = {
        { "no crash", {}, false },
        { "one crash", { "a" }, false },
        { "copies that ended with one crash", { "a", "a" }, false },
        { "two upstreams", { "a", "b" }, true },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        crash_quarantine quarantine;
        for (const auto* upstream : each.upstreams) {
            quarantine.recordCrash(fingerprint, upstream, start, start);
        }
        CHECK(quarantine.isQuarantined(fingerprint, start) == each.isQuarantined);
        CHECK_FALSE(quarantine.isQuarantined(fingerprint + 1, start));
    }
}

TEST_CASE("An upstream that came back and crashed again counts twice")
{
    crash_quarantine quarantine;
    auto first = quarantine.recordCrash(fingerprint, "a", start, start + milliseconds(100));
    CHECK(first->crashes == 1);
    CHECK_FALSE(
        quarantine.recordCrash(fingerprint, "a", start + milliseconds(50), start + milliseconds(200)));
    auto second
        = quarantine.recordCrash(fingerprint, "a", start + milliseconds(5'000), start + milliseconds(5'100));
    CHECK(second->crashes == 2);
    CHECK(quarantine.isQuarantined(fingerprint, start + milliseconds(5'100)));
}

TEST_CASE("A request that succeeds is cleared of the crashes before, on every VM and in any order")
{
    // Guards against sound requests that are refused because they were at work on upstreams that crashed.
    crash_quarantine first;
    crash_quarantine second;
    auto crash = first.recordCrash(fingerprint, "a", start, start);
    second.merge(*crash, start);
    auto cleared = second.recordSuccess(fingerprint, start);
    REQUIRE(cleared.size() == 1);
    CHECK(second.recordSuccess(fingerprint, start).empty());
    second.recordCrash(fingerprint, "b", start, start);
    CHECK_FALSE(second.isQuarantined(fingerprint, start));
    crash_quarantine late;
    late.merge(cleared.front(), start);
    late.merge(*crash, start);
    CHECK(late.crashesOf(fingerprint, start) == 0);
    late.recordCrash(fingerprint, "a", start + milliseconds(1), start + milliseconds(2));
    late.recordCrash(fingerprint, "b", start + milliseconds(1), start + milliseconds(2));
    CHECK(late.isQuarantined(fingerprint, start + milliseconds(2)));
}

TEST_CASE("A request is forgotten a while after its last crash")
{
    crash_quarantine quarantine({ .retention = milliseconds(60'000) });
    quarantine.recordCrash(fingerprint, "a", start, start);
    quarantine.recordCrash(fingerprint, "b", start, start + milliseconds(1'000));
    CHECK(quarantine.isQuarantined(fingerprint, start + milliseconds(60'999)));
    CHECK_FALSE(quarantine.isQuarantined(fingerprint, start + milliseconds(61'000)));
}

TEST_CASE("Arrivals of a quarantined request are reported to the peers a few times in a retention")
{
    crash_quarantine quarantine({ .retention = milliseconds(60'000) });
    quarantine.recordCrash(fingerprint, "a", start, start);
    CHECK(quarantine.recordArrival(fingerprint, start + milliseconds(20'000)).empty()); // Not quarantined.
    quarantine.recordCrash(fingerprint, "b", start, start);
    int reports = 0;
    for (int second = 1; second <= 60; ++second) {
        reports
            += quarantine.recordArrival(fingerprint, start + std::chrono::seconds(second)).empty() ? 0 : 1;
    }
    CHECK(reports == 4);
    CHECK(quarantine.isQuarantined(fingerprint, start + std::chrono::seconds(119)));
    CHECK_FALSE(quarantine.isQuarantined(fingerprint, start + std::chrono::seconds(120)));
}

TEST_CASE("Records merge to the same count in any order and however often they arrive")
{
    std::vector<crash_record> records { crashOf(fingerprint, "a"), crashOf(fingerprint, "b"),
        crashOf(fingerprint, "b", 2), crashOf(fingerprint, "a"), crashOf(fingerprint, "b") };
    std::mt19937 random(1);
    for (int order = 0; order < 20; ++order) {
        std::shuffle(records.begin(), records.end(), random);
        crash_quarantine quarantine;
        for (const auto& each : records) {
            quarantine.merge(each, start);
        }
        CHECK(quarantine.crashesOf(fingerprint, start) == 3);
    }
}

TEST_CASE("Crashes that different VMs saw add up")
{
    // Guards against VMs that each count the crash they saw as the first.
    struct row {
        const char* name;
        std::size_t vms;
        int arrivals;
        milliseconds interval;
        bool hasOneUpstream = false; // It comes back each time.
        bool movesLate = false; // All but the last tenth of the arrivals are at the first VM.
    };
    const row rows[] = {
        { "32 VMs in turn", 32, 200, milliseconds(300) },
        { "32 VMs in turn, one upstream that comes back", 32, 200, milliseconds(300), true },
        { "two VMs", 2, 50, milliseconds(2'000) },
        { "faster than notices", 32, 200, milliseconds(15) },
        { "an arrival every 90 s", 32, 40, milliseconds(90'000) },
        { "an hour at one VM", 1, 360, milliseconds(10'000) },
        { "an hour at 32 VMs in turn", 32, 360, milliseconds(10'000) },
        { "an hour, first at one VM and later at another", 2, 360, milliseconds(10'000), false, true },
    };
    constexpr int maxRuns = 6; // The users' bound: three crashes and three more.
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        std::vector<crash_quarantine> vms(each.vms);
        std::vector<std::pair<steady_clock::time_point, crash_record>> notices;
        auto now = start;
        int runs = 0;
        for (int arrival = 0; arrival < each.arrivals; ++arrival, now += each.interval) {
            std::erase_if(notices, [&](const auto& notice) {
                bool isDue = notice.first <= now;
                for (auto& vm : vms) {
                    isDue&& vm.merge(notice.second, now);
                }
                return isDue;
            });
            auto turn = each.movesLate ? (arrival < each.arrivals * 9 / 10 ? 0 : 1) : arrival;
            auto& vm = vms[static_cast<std::size_t>(turn) % each.vms];
            if (vm.isQuarantined(fingerprint, now)) {
                for (const auto& record : vm.recordArrival(fingerprint, now)) {
                    notices.emplace_back(now + noticeDelay, record);
                }
                continue;
            }
            auto upstream = each.hasOneUpstream ? std::string("u") : "u" + std::to_string(runs % 24);
            ++runs;
            if (auto record = vm.recordCrash(fingerprint, upstream, now, now)) {
                notices.emplace_back(now + noticeDelay, *record);
            }
        }
        CHECK(runs >= 2);
        CHECK(runs <= maxRuns);
    }
}

TEST_CASE("A peer's record can quarantine a request, and never lowers the count")
{
    crash_quarantine quarantine;
    CHECK(quarantine.merge(crashOf(fingerprint, "a", 2), start));
    CHECK(quarantine.isQuarantined(fingerprint, start));
    CHECK_FALSE(quarantine.merge(crashOf(fingerprint, "a", 1), start));
    CHECK(quarantine.isQuarantined(fingerprint, start));
}

TEST_CASE("The number of quarantined requests is bounded")
{
    crash_quarantine quarantine({ .maxEntries = 10 });
    for (std::uint64_t request = 1; request <= 100; ++request) {
        quarantine.merge(crashOf(request, "a", 2), start);
    }
    int quarantined = 0;
    for (std::uint64_t request = 1; request <= 100; ++request) {
        quarantined += quarantine.isQuarantined(request, start) ? 1 : 0;
    }
    CHECK(quarantined == 10);
}

TEST_CASE("Two VMs that compare digests come to the same records although reports are lost")
{
    constexpr int requests = 100;
    constexpr std::size_t recordsPerMessage = 16;
    constexpr int maxExchanges = 20; // A few more than 100 records need.
    crash_quarantine one;
    crash_quarantine other;
    CHECK(one.digest(start) == 0);
    for (std::uint64_t request = 0; request < requests; ++request) {
        (request % 2 == 0 ? one : other).recordCrash(request, "a", start, start);
    }
    int exchanges = 0;
    while (one.digest(start) != other.digest(start) && ++exchanges < maxExchanges) {
        for (const auto& each : one.nextRecords(recordsPerMessage, start)) {
            other.merge(each, start);
        }
        for (const auto& each : other.nextRecords(recordsPerMessage, start)) {
            one.merge(each, start);
        }
    }
    CHECK(one.digest(start) == other.digest(start));
    for (std::uint64_t request = 0; request < requests; ++request) {
        CHECK(one.crashesOf(request, start) == 1);
        CHECK(other.crashesOf(request, start) == 1);
    }
}

TEST_CASE("Peers that repeat their records do not keep a request in the quarantine for ever")
{
    crash_quarantine one({ .retention = milliseconds(60'000) });
    crash_quarantine other({ .retention = milliseconds(60'000) });
    one.recordCrash(fingerprint, "a", start, start);
    one.recordCrash(fingerprint, "b", start, start);
    auto now = start;
    for (; now < start + milliseconds(120'000); now += milliseconds(250)) {
        for (const auto& each : one.nextRecords(16, now)) {
            other.merge(each, now);
        }
        for (const auto& each : other.nextRecords(16, now)) {
            one.merge(each, now);
        }
    }
    CHECK_FALSE(one.isQuarantined(fingerprint, now));
    CHECK_FALSE(other.isQuarantined(fingerprint, now));
    CHECK(one.digest(now) == 0);
}

TEST_CASE("Records of a fingerprint that no request has any more do no harm and expire")
{
    // The store and peers of another release hold records whose fingerprints cover something else.
    constexpr std::uint64_t otherFingerprint = 8;
    crash_quarantine quarantine({ .retention = milliseconds(60'000) });
    CHECK(quarantine.merge(crashOf(otherFingerprint, "a", 2), start));
    CHECK_FALSE(quarantine.isQuarantined(fingerprint, start));
    for (int second = 0; second < 60; ++second) {
        auto now = start + std::chrono::seconds(second);
        quarantine.recordArrival(fingerprint, now);
        for (const auto& each : quarantine.nextRecords(16, now)) {
            quarantine.merge(each, now);
        }
    }
    auto later = start + milliseconds(60'000);
    CHECK(quarantine.digest(later) == 0);
    CHECK(quarantine.recordsOf(otherFingerprint).empty());
}

TEST_CASE("A caller that varies its crashing request does not displace quarantined ones")
{
    constexpr std::size_t maxEntries = 1'000;
    constexpr std::uint64_t variants = 5'000; // Each crashed one upstream only.
    crash_quarantine quarantine({ .maxEntries = maxEntries });
    quarantine.merge(crashOf(1, "a", 2), start);
    for (std::uint64_t variant = 2; variant < variants; ++variant) {
        quarantine.merge(crashOf(variant, "a"), start);
    }
    CHECK(quarantine.isQuarantined(1, start));
    CHECK(quarantine.mostImportantRecords(variants, start).size() == maxEntries);
}

TEST_CASE("A full quarantine forgets requests that are not quarantined first")
{
    crash_quarantine quarantine({ .maxEntries = 10 });
    quarantine.merge(crashOf(1, "a", 2), start);
    for (std::uint64_t other = 2; other < 100; ++other) {
        quarantine.merge(crashOf(other, "a"), start);
    }
    CHECK(quarantine.isQuarantined(1, start));
    int known = 0;
    for (std::uint64_t request = 1; request < 100; ++request) {
        known += quarantine.crashesOf(request, start) > 0 ? 1 : 0;
    }
    CHECK(known == 10);
}

TEST_CASE("A request that succeeded shortly before is excused one crash")
{
    // Guards against popular sound requests that are refused for good after upstreams crashed under another.
    struct row {
        const char* name;
        milliseconds sinceSuccess;
        std::vector<const char*> crashes;
        int counted;
    };
    const row rows[] = {
        { "one crash", milliseconds(100), { "a" }, 0 },
        { "both upstreams of a small service", milliseconds(100), { "a", "b" }, 1 },
        { "a request that has begun to crash upstreams", milliseconds(100), { "a", "b", "c" }, 2 },
        { "the success was long ago", milliseconds(60'000), { "a", "b" }, 2 },
    };
    for (const auto& each : rows) {
        for (bool hasSucceededOnPeer : { false, true }) {
            CAPTURE(std::string(each.name));
            CAPTURE(hasSucceededOnPeer);
            crash_quarantine own;
            crash_quarantine peer;
            (hasSucceededOnPeer ? peer : own).recordSuccess(fingerprint, start - each.sinceSuccess);
            for (const auto* upstream : each.crashes) {
                auto record = own.recordCrash(fingerprint, upstream, start, start);
                auto clearedHere = own.clearByEarlierSuccess(fingerprint, upstream, start);
                peer.merge(clearedHere.value_or(*record), start);
                if (auto clearedThere = peer.clearByEarlierSuccess(fingerprint, upstream, start)) {
                    own.merge(*clearedThere, start);
                }
            }
            CHECK(own.crashesOf(fingerprint, start) == each.counted);
            CHECK(peer.crashesOf(fingerprint, start) == each.counted);
        }
    }
}

TEST_CASE("A success excuses a crash on one VM only, although many have seen the request succeed")
{
    constexpr std::size_t vms = 8;
    std::vector<crash_quarantine> fleet(vms);
    for (auto& each : fleet) {
        each.recordSuccess(fingerprint, start);
    }
    int vm = 0;
    for (const auto* upstream : { "a", "b", "c" }) {
        auto& seer = fleet[static_cast<std::size_t>(vm++)];
        auto record = *seer.recordCrash(fingerprint, upstream, start, start + milliseconds(vm));
        record = seer.clearByEarlierSuccess(fingerprint, upstream, start + milliseconds(vm)).value_or(record);
        for (auto& each : fleet) {
            each.merge(record, start + milliseconds(vm));
        }
    }
    for (auto& each : fleet) {
        CHECK(each.crashesOf(fingerprint, start + milliseconds(vm)) == 2);
    }
}

TEST_CASE("A quarantined request is probed rarely, and the more rarely the more it has crashed")
{
    struct row {
        const char* name;
        bool crashesUpstreams; // Otherwise the first probe succeeds.
        int probesInAnHour;
        bool isQuarantinedAfter;
    };
    const row rows[] = {
        { "a sound request that was at work on two upstreams by chance", false, 1, false },
        { "a request that crashes every upstream", true, 4, true },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        crash_quarantine quarantine;
        quarantine.recordCrash(fingerprint, "a", start, start);
        quarantine.recordCrash(fingerprint, "b", start, start);
        CHECK_FALSE(quarantine.tryStartProbe(fingerprint + 1, start));
        int probes = 0;
        steady_clock::time_point firstProbe {};
        for (auto now = start; now < start + std::chrono::hours(1); now += std::chrono::seconds(1)) {
            quarantine.recordArrival(fingerprint, now);
            if (!quarantine.tryStartProbe(fingerprint, now)) {
                continue;
            }
            firstProbe = ++probes == 1 ? now : firstProbe;
            if (each.crashesUpstreams) {
                quarantine.recordCrash(fingerprint, "c" + std::to_string(probes), now, now);
            } else {
                quarantine.recordSuccess(fingerprint, now);
            }
        }
        CHECK(probes == each.probesInAnHour);
        CHECK(firstProbe == start + std::chrono::seconds(15));
        CHECK(
            quarantine.isQuarantined(fingerprint, start + std::chrono::hours(1)) == each.isQuarantinedAfter);
    }
}

}
