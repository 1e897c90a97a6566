#pragma once

// How long a change takes from the store's acknowledgement until it is in force on all VMs that some VM with
// a way to the store can reach, whichever VMs lose theirs at that moment.
//
//     static_assert(propagation_budget().total() + propagationReserve <= smallestPropagationBound);
//
// The times follow each other, so that their sum counts: the last response of the store that anybody knows of
// is up to `maxKnowledgeAge` old, then other VMs read the store in turn, and the first that reaches it tells
// the rest. Lost datagrams are not part of the sum; the reserve is for them and for busy VMs.

#include <algorithm>
#include <chrono>

namespace marlsill::cluster {

struct propagation_budget {
    // Age of a VM's knowledge of the store from which it looks for another reader. With three elected VMs
    // that take turns the knowledge is a third of a second old at most, and 0.75 s after a change, plus the
    // time of a datagram; two lost beacons are tolerated in calm.
    std::chrono::milliseconds maxKnowledgeAge { 1'000 };
    // Between the first VMs of a failure domain that then read the store. Longer than one of them takes to
    // tell the next, so that usually one reads.
    std::chrono::milliseconds readerInterval { 150 };
    int promptReaders = 3; // That follow each other at that interval.
    std::chrono::milliseconds timerDelay { 50 }; // Of a busy event loop.
    std::chrono::milliseconds readTime { 150 }; // Of both lists; many times the store's usual time.
    std::chrono::milliseconds relayTime { 100 }; // Through one other VM, and the parsing on both.
    std::chrono::milliseconds applicationTime { 100 }; // Changes are applied at this interval at most.

    // Returns the time until the last of the prompt readers has told all others, or until a VM that hears of
    // none of them has read the store itself.
    constexpr std::chrono::milliseconds total() const
    {
        auto told = (promptReaders - 1) * readerInterval + relayTime;
        auto unheard = promptReaders * readerInterval;
        return maxKnowledgeAge + std::max(told, unheard) + timerDelay + readTime + applicationTime;
    }
};

// The smallest time that operators set for a change of the configuration, or for a leaving upstream.
constexpr std::chrono::milliseconds smallestPropagationBound { 2'000 };
constexpr std::chrono::milliseconds propagationReserve { 250 }; // One lost beacon.

static_assert(propagation_budget().total() + propagationReserve <= smallestPropagationBound);

}
