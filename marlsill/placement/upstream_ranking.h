#pragma once

// Ranks the upstreams that may take a request by what a VM knows of their load.
//
//     auto rank = home_ranking().rank({ .inFlight = 1, .slots = 2, .isHome = true });
//     if (rank < best)
//         best = rank;
//
// A VM knows its own requests at an upstream, and its peers' as of their last report, up to 150 ms ago and
// more. Meanwhile several VMs choose the same upstream. Where upstreams have many slots that hardly matters;
// where they have two, the second choice waits. Pure functions.

#include <algorithm>
#include <cmath>
#include <compare>
#include <concepts>

namespace marlsill::placement {

// What a VM knows of an upstream that is not excluded.
struct ranked_upstream {
    int inFlight = 0; // Requests of all VMs, as far as known.
    int slots = 1;
    bool isLocal = true; // In this VM's failure domain.
    bool isHome = true; // This VM is the one that uses it first; see upstream_partition::isHome().
    bool isWarm = true; // It did not start just now.
    bool isForgotten = false; // No VM has used it for a while.
    bool isSlow = false; // Far slower than the service's other upstreams.
    bool isRampingUp = false; // Readmitted, or returned, lately.
};

// Lower ranks are preferred.
struct upstream_rank {
    int tier = 0;
    double load = 0;

    auto operator<=>(const upstream_rank&) const = default;
};

// Ranks upstreams; used by the load balancer for each candidate of a request.
template <typename Ranking>
concept upstream_ranking = requires(const Ranking ranking, const ranked_upstream& upstream)
{
    {
        ranking.rank(upstream)
        } -> std::same_as<upstream_rank>;
};

// Spreads requests over all upstreams up to a preferred utilization, the local ones first. For services whose
// upstreams have more than two slots on average.
struct spread_ranking {
    // Shares of an upstream's slots up to which it is preferred. Some upstreams slow down near full load.
    static constexpr double preferredUtilization = 0.67;
    static constexpr double warmUpUtilization = 0.34;

    upstream_rank rank(const ranked_upstream& each) const
    {
        double slots = std::max(1, each.slots);
        double utilization = each.isWarm ? preferredUtilization : warmUpUtilization;
        double preferred = each.isRampingUp ? 1 : std::max(1.0, std::round(slots * utilization));
        int tier = 4;
        if (each.inFlight + 1 <= preferred) {
            tier = each.isLocal ? 0 : 1;
        } else if (each.inFlight + 1 <= slots) {
            tier = 2;
        }
        return { each.isSlow ? std::max(tier, 3) : tier, each.inFlight / slots };
    }
};

// Uses the upstreams that this VM is the home of first, of which it knows the load, and borrows idle ones of
// its peers next. For services whose upstreams have two slots or fewer on average.
struct home_ranking {
    upstream_rank rank(const ranked_upstream& each) const
    {
        double load = static_cast<double>(each.inFlight) / std::max(1, each.slots);
        bool isIdle = each.inFlight == 0;
        if (!isIdle && (!each.isWarm || each.isRampingUp)) {
            return { each.inFlight < each.slots ? 4 : 5, load };
        }
        // The home of a forgotten one may have no callers, and one that starts must not be left out till
        // then.
        bool isHome = each.isHome || each.isForgotten;
        int tier = 5;
        if (isIdle) {
            tier = isHome ? 0 : 2;
        } else if (each.inFlight < each.slots) {
            tier = isHome ? 1 : 3;
        }
        bool isLast = each.isSlow || (!each.isWarm && !each.isForgotten);
        return { isLast ? std::max(tier, 3) : tier, load };
    }
};

}
