#include "marlsill/model/episode_model.h"

#include <doctest/doctest.h>

namespace marlsill::model {

namespace {

    using std::chrono::milliseconds;

    constexpr std::uint64_t seed = 1;

    struct row {
        int upstreams;
        int slots;
        int lengthMs;
        int periodMs;
        double repeatableShare;
        double before; // Callers' failures per episode on baa3588.
        double most; // One is the least where requests run at most once.
        int evidenceMs = 8; // Until peers know of a failure; 35 before evidence was sent at once.
    };

    episode_options optionsOf(const row& each)
    {
        constexpr int slotsPerCell = 48;
        constexpr double requestsPerSlot = 1.5;
        return { .upstreams = each.upstreams,
            .upstreamsPerCell = slotsPerCell / each.slots,
            .slots = each.slots,
            .requestsPerUpstream = requestsPerSlot * each.slots,
            .repeatableShare = each.repeatableShare,
            .episodeLength = milliseconds(each.lengthMs),
            .episodePeriod = milliseconds(each.periodMs),
            .evidenceDelay = milliseconds(each.evidenceMs) };
    }

    void report(const episode_result& result, double before)
    {
        auto perRequest = [&](double value) { return value / std::max(1, result.requests); };
        auto perEpisode
            = [&](int value) { return static_cast<double>(value) / std::max(1, result.episodes); };
        MESSAGE("callers' failures an episode "
            << result.failuresPerEpisode() << ", before " << before << ", refused " << result.refused
            << ", failed attempts an episode " << perEpisode(result.failedAttempts) << " (probes "
            << perEpisode(result.failedProbes) << "), retries an episode " << perEpisode(result.retries)
            << ", attempts at full upstreams " << perRequest(result.overloadedArrivals) << ", mean wait "
            << perRequest(result.totalWaitMs) << " ms, excluded " << result.excludedShare
            << " of which in an episode " << result.episodeShare << ", windows below the floor "
            << result.windowsBelowFloor << " of " << result.windows);
    }

}

TEST_CASE("A failure episode costs callers little more than the failure that shows it")
{
    // Guards against at-most-once requests that are spent on probes within an episode, or sent to failing
    // upstreams by the capacity floor: three to four failures an episode.
    const row rows[] = {
        { 20, 2, 2'700, 9'000, 0, 2.28, 1.75 },
        { 157, 2, 2'700, 9'000, 0, 2.28, 1.75 },
        { 157, 2, 2'700, 9'000, 1, 0.15, 0.15 },
        { 157, 2, 2'700, 9'000, 1.0 / 3, 1.47, 1.25 },
        { 20, 2, 7'000, 23'000, 0, 3.13, 1.75 },
        { 157, 2, 7'000, 23'000, 0, 3.59, 1.75 },
        { 157, 2, 7'000, 23'000, 0, 3.59, 1.75, 35 },
        { 213, 2, 7'000, 23'000, 0, 3.56, 1.75 },
        { 157, 2, 7'000, 23'000, 1, 0.08, 0.08 },
        { 157, 2, 7'000, 23'000, 1.0 / 3, 1.76, 1.25 },
        { 20, 4, 7'000, 23'000, 0, 3.02, 2.2 },
        { 157, 4, 7'000, 23'000, 0, 3.71, 2.2 },
        { 157, 4, 7'000, 23'000, 0, 3.71, 2.5, 35 },
        { 157, 4, 7'000, 23'000, 1.0 / 3, 2.09, 1.5 },
        { 157, 4, 2'700, 9'000, 0, 2.36, 2.0 },
    };
    for (const auto& each : rows) {
        CAPTURE(each.upstreams);
        CAPTURE(each.slots);
        CAPTURE(each.lengthMs);
        CAPTURE(each.repeatableShare);
        auto result = playEpisodes(optionsOf(each), seed);
        report(result, each.before);
        CHECK(result.failuresPerEpisode() <= each.most);
        // The upstreams that are not excluded must be able to carry the load.
        CHECK(result.refused <= 0.001 * result.requests);
        CHECK(result.windowsBelowFloor == 0);
    }
}

}
