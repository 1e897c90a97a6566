// Measures what the order of VMs costs for the accounts in use: a change of the members, the first look-up of
// an account, and each later one.

#include "marlsill/cluster/lender_ranking.h"

#include "marlsill/base/time.h"

#include <cstdio>

using namespace marlsill;

namespace {

double microsecondsOf(int times, const auto& action)
{
    auto start = steady_clock::now();
    for (int turn = 0; turn < times; ++turn) {
        action(turn);
    }
    auto elapsed = std::chrono::duration<double, std::micro>(steady_clock::now() - start);
    return elapsed.count() / times;
}

}

int main()
{
    constexpr int accountsInUse = 100;
    constexpr int lookUps = 100'000;
    constexpr int updates = 200;
    for (int vms : { 132, 2'600 }) {
        std::vector<cluster::lender_candidate> candidates;
        for (int index = 0; index < vms; ++index) {
            candidates.push_back(
                { "10.0." + std::to_string(index / 256) + "." + std::to_string(index % 256), 0.1 });
        }
        cluster::lender_ranking ranking({});
        ranking.update(candidates, {});
        auto nameOf = [](int index) { return "account" + std::to_string(index); };
        auto first = microsecondsOf(accountsInUse, [&](int turn) { ranking.orderOf(nameOf(turn), {}); });
        auto later
            = microsecondsOf(lookUps, [&](int turn) { ranking.orderOf(nameOf(turn % accountsInUse), {}); });
        auto reachable = microsecondsOf(updates, [&](int turn) {
            candidates[static_cast<std::size_t>(turn) % candidates.size()].isReachable = turn % 2 == 0;
            ranking.update(candidates, {});
        });
        auto members = microsecondsOf(updates, [&](int turn) {
            candidates.back().host = "10.1.0." + std::to_string(turn % 2);
            ranking.update(candidates, {});
        });
        std::printf("%5d VMs, %d accounts: first look-up %.1f us, later %.2f us; update of what is reachable "
                    "%.0f us, of the members %.0f us\n",
            vms, accountsInUse, first, later, reachable, members);
    }
    return 0;
}
