#pragma once

// Load-balancing policies, which choose an upstream among those with free slots.
//
//     slot_share_choice choose;
//     auto index = choose(candidates, threadRandom());
//
// `random_choice` and `two_choices` consider only the requests of this VM. `slot_share_choice` divides the
// slots of every upstream among the VMs of the serving set, so that they do not compete for the same slots.
// The daemon uses it (docs/MEASUREMENTS.md).

#include <algorithm>
#include <concepts>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace marlsill::admission {

// An upstream that may be chosen.
struct candidate {
    std::size_t index = 0; // In the service's list of upstreams.
    int inFlight = 0; // Requests from this VM.
    int slots = 1;
    int ownSlots = 0; // This VM's share of the slots.
};

// A load-balancing policy. It returns the `index` of a candidate with a free slot, or std::nullopt to make
// the request wait.
template <typename T>
concept upstream_chooser
    = requires(const T choose, std::span<const candidate> candidates, std::mt19937_64& random)
{
    {
        choose(candidates, random)
        } -> std::same_as<std::optional<std::size_t>>;
};

// Picks a candidate at random with a probability proportional to `weightOf(candidate)`. Returns a null
// pointer if all weights are zero; a candidate of weight zero is never picked.
template <typename WeightOf>
const candidate* pickWeighted(
    std::span<const candidate> candidates, std::mt19937_64& random, WeightOf weightOf)
{
    double total = 0;
    for (const auto& each : candidates) {
        total += weightOf(each);
    }
    if (total <= 0) {
        return nullptr;
    }
    double point = std::uniform_real_distribution<double>(0, total)(random);
    const candidate* last = nullptr;
    for (const auto& each : candidates) {
        double weight = weightOf(each);
        if (weight <= 0) {
            continue;
        }
        last = &each;
        point -= weight;
        if (point < 0) {
            break;
        }
    }
    return last;
}

// Chooses at random among the upstreams to which this VM has fewer requests in flight than they have slots.
struct random_choice {
    std::optional<std::size_t> operator()(
        std::span<const candidate> candidates, std::mt19937_64& random) const
    {
        const auto* chosen = pickWeighted(
            candidates, random, [](const candidate& each) { return each.inFlight < each.slots ? 1.0 : 0.0; });
        return chosen ? std::optional(chosen->index) : std::nullopt;
    }
};

// Chooses the less loaded of two random upstreams (power of two choices; Mitzenmacher, 2001).
struct two_choices {
    std::optional<std::size_t> operator()(
        std::span<const candidate> candidates, std::mt19937_64& random) const
    {
        auto weightOf = [](const candidate& each) { return each.inFlight < each.slots ? 1.0 : 0.0; };
        const auto* first = pickWeighted(candidates, random, weightOf);
        if (!first) {
            return std::nullopt;
        }
        const auto* second = pickWeighted(candidates, random, weightOf);
        bool isSecondLessLoaded = second->inFlight * first->slots < first->inFlight * second->slots;
        return isSecondLessLoaded ? second->index : first->index;
    }
};

// Chooses among the upstreams where this VM's own share has free slots, with a probability proportional to
// their number. A VM without any share, because it is not in the serving set, borrows at most one slot of
// each upstream.
struct slot_share_choice {
    bool alwaysBorrows = false; // Also borrows when all own shares are in use; competes with other VMs.

    std::optional<std::size_t> operator()(
        std::span<const candidate> candidates, std::mt19937_64& random) const
    {
        const auto* own = pickWeighted(candidates, random, [](const candidate& each) {
            return static_cast<double>(std::max(0, each.ownSlots - each.inFlight));
        });
        if (own) {
            return own->index;
        }
        bool hasShare = std::any_of(
            candidates.begin(), candidates.end(), [](const candidate& each) { return each.ownSlots > 0; });
        if (hasShare && !alwaysBorrows) {
            return std::nullopt;
        }
        const auto* borrowed = pickWeighted(candidates, random, [](const candidate& each) {
            bool hasRoom = each.inFlight < std::min(each.slots, each.ownSlots + 1);
            return hasRoom ? 1.0 : 0.0;
        });
        return borrowed ? std::optional(borrowed->index) : std::nullopt;
    }
};

static_assert(upstream_chooser<random_choice>);
static_assert(upstream_chooser<two_choices>);
static_assert(upstream_chooser<slot_share_choice>);

}
