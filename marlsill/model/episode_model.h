#pragma once

// Plays a service whose upstreams go through failure episodes, in virtual time, with the product's choice of
// upstreams.
//
//     auto result = playEpisodes({ .upstreams = 157, .repeatableShare = 0 }, 7);
//     std::cout << result.failuresPerEpisode();
//
// The service is divided into cells as in a large fleet: the VMs of a cell share its upstreams, and tell each
// other evidence and loads after a delay. A VM that uses another cell's upstream is told that cell's
// evidence. In an episode an upstream answers most requests with 500 after a millisecond. Plays with the
// same options and seed are identical.

#include "marlsill/placement/load_balancer.h"

#include <chrono>
#include <cstdint>

namespace marlsill::model {

// The play of an episode model; see the file comment.
struct episode_options {
    int upstreams = 157;
    int upstreamsPerCell = 24;
    int vmsPerCell = 4;
    int vmsWithoutCallers = 0; // Of each cell.
    int slots = 2;
    std::size_t upstreamQueueLimit = 8;
    double requestsPerUpstream = 3; // Per second.
    double repeatableShare = 0; // Of the requests; the others run at most once.
    std::chrono::milliseconds work { 250 }; // Mean; a request takes 0.5 to 1.5 times as long.
    double speedSpread = 0.25; // Upstreams are up to this share faster or slower.
    std::chrono::milliseconds episodeLength { 7'000 };
    std::chrono::milliseconds episodePeriod { 23'000 }; // Mean; at least the length.
    double episodeFailureRate = 0.85;
    std::chrono::milliseconds episodeResponseTime { 1 };
    std::chrono::milliseconds evidenceDelay { 35 };
    std::chrono::milliseconds loadInterval { 150 };
    std::chrono::milliseconds maxWaitForHealthy { 150 }; // Same as in the forwarder.
    std::chrono::milliseconds timeout { 1'200 };
    std::chrono::milliseconds duration { 120'000 };
    std::chrono::milliseconds settleTime { 30'000 }; // From the start; does not count in the result.
    double retryRatio = 0.2;
    double retrySlackPerVm = 1.6;
    placement::load_balancer_options loadBalancer {};
};

// What a play came to.
struct episode_result {
    int episodes = 0;
    int requests = 0;
    int failed = 0; // Requests whose callers got a failure.
    int refused = 0; // Requests that found no upstream in time, or were refused by the last one.
    int failedAttempts = 0;
    int failedProbes = 0; // Of `failedAttempts`.
    int attemptsOutside = 0; // At other cells' upstreams.
    int failedOutside = 0; // Of `failedAttempts`.
    int retries = 0;
    int overloadedArrivals = 0; // Attempts that found all slots of their upstream busy.
    double totalWaitMs = 0; // In the queues of VMs and upstreams.
    double excludedShare = 0; // Mean over time of what the VMs exclude.
    double episodeShare = 0; // Mean over time of the upstreams that are in an episode.
    double lowestUsedShare = 1; // Of the healthy upstreams, over the windows in which the rule applies.
    double lowestUsedShareAny = 1; // Likewise, over all windows.
    int windows = 0; // Of two seconds in which the rule applies.
    int windowsBelowFloor = 0;
    double busiestShare = 0; // Requests of the busiest upstream as a multiple of the mean.

    double failuresPerEpisode() const { return episodes == 0 ? 0 : static_cast<double>(failed) / episodes; }
};

// Plays a service.
episode_result playEpisodes(const episode_options& options, std::uint64_t seed);

}
