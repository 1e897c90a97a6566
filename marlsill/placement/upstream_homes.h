#pragma once

// Assigns each upstream of a cell a home: the VM that uses it before the others do.
//
//     auto homes = assignHomes(upstreams, vms);
//     if (vms[homes[0]].host == self)
//         useFirst(upstreams[0]);
//
// Homes are equally many for all VMs, as callers use all VMs alike, and in the upstream's failure domain as
// far as that allows. VMs that know the same upstreams and VMs agree; one upstream more or less moves few.

#include "marlsill/base/hash.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marlsill::placement {

// A VM that sends requests to the upstreams of a cell.
struct sharing_vm {
    std::string host;
    std::string failureDomain;
};

// An upstream of a cell.
struct shared_upstream {
    std::string_view id;
    std::string_view failureDomain;
};

// Returns the index of the home of each upstream. `vms` must not be empty. The cost grows with the upstreams
// times the VMs.
inline std::vector<std::size_t> assignHomes(
    std::span<const shared_upstream> upstreams, std::span<const sharing_vm> vms)
{
    std::vector<std::size_t> order(upstreams.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        auto keyOf = [&](std::size_t index) {
            return std::pair(fastHash(upstreams[index].id), upstreams[index].id);
        };
        return keyOf(left) < keyOf(right);
    });
    auto most = (upstreams.size() + vms.size() - 1) / vms.size();
    std::vector<std::size_t> counts(vms.size());
    std::vector<std::size_t> homes(upstreams.size(), vms.size());
    for (bool mustBeLocal : { true, false }) {
        for (auto index : order) {
            const auto& each = upstreams[index];
            if (homes[index] < vms.size()) {
                continue;
            }
            std::uint64_t best = 0;
            for (std::size_t vm = 0; vm < vms.size(); ++vm) {
                bool isLocal = vms[vm].failureDomain == each.failureDomain;
                auto score = fastHash(vms[vm].host, fastHash(each.id));
                bool isBetter = homes[index] == vms.size() || score > best;
                if (counts[vm] < most && (isLocal || !mustBeLocal) && isBetter) {
                    best = score;
                    homes[index] = vm;
                }
            }
            if (homes[index] < vms.size()) {
                ++counts[homes[index]];
            }
        }
    }
    return homes;
}

}
