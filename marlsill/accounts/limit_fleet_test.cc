// Simulates fleets of VMs that lend and borrow tokens, in virtual time and without a network, and checks
// every window of every account against the bound that operators state. Guards against a limit that is
// exceeded when datagrams are lost, late or doubled, VMs pause, restart, leave or are partitioned, or
// disagree on the lender.

#include "marlsill/accounts/limit_borrower.h"
#include "marlsill/accounts/limit_lender.h"
#include "marlsill/base/hash.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace marlsill::accounts {

namespace {

    using std::chrono::milliseconds;
    using time_point = boot_clock::time_point;

    constexpr milliseconds tickInterval { 20 };
    constexpr milliseconds maxWait { 400 };
    constexpr milliseconds rankedAfter { 2'000 };
    constexpr milliseconds warmUp { 4'000 }; // Start delay and first leases.

    // What goes wrong in a simulated fleet, at random moments.
    struct fault_plan {
        double loss = 0; // Of datagrams.
        double copies = 0; // Datagrams that arrive twice.
        double late = 0; // Datagrams that take up to 3 s.
        double pausesPerSecond = 0; // Of VMs, for up to 8 s.
        double killsPerSecond = 0; // The VM comes back with nothing after up to 2 s.
        double leavesPerSecond = 0; // Planned stops; the VM comes back after 3 s.
        bool isPartitioned = false; // 35 % of the VMs from 8 s to 20 s; they reach each other.
        bool isScattered = false; // Likewise, but none of them reaches any other.
        bool losesPower = false; // All VMs at 9 s.
        bool targetsLender = false; // Pauses, kills and partitions hit holders of the first account's shares.
    };

    struct simulated_load {
        std::string account = "a";
        account_limit limit { 20, 20, 1 };
        double requestsPerSecond = 30;
        // VMs that callers use: all if 0. `moves`: other ones each 3 s.
        std::size_t vmsUsed = 0;
        bool moves = false;
        bool comesInBursts = false; // Of 1 s, every 6 s.
    };

    struct simulated_vm {
        std::string host;
        std::unique_ptr<limit_lender> lender;
        std::unique_ptr<limit_borrower> borrower;
        std::map<std::string, std::deque<time_point>> waiting; // Arrival times, by account.
        time_point pausedUntil {};
        int incarnation = 0;
        bool isUp = true;
        bool isMember = true; // Neither leaving nor unknown.
        bool wasMember = true;
        int group = 0; // VMs of one group reach each other.
        int earlierGroup = 0;
        bool wasUp = true;
        time_point changedAt {}; // Of isUp or group.
        time_point memberChangedAt {};
        bool isTicking = false;
        std::map<std::string, account_limit> limits;
    };

    struct load_result {
        std::vector<time_point> runs;
        std::size_t sent = 0;
        std::size_t overLimit = 0;
        std::size_t noLender = 0;
        std::vector<time_point> arrivals;
        std::vector<time_point> refusals; // Of both kinds.
        milliseconds longestWait {};
    };

    class simulated_fleet {
    public:
        simulated_fleet(std::size_t vms, fault_plan faults, std::uint64_t seed)
            : m_faults(faults)
            , m_random(seed)
        {
            for (std::size_t index = 0; index < vms; ++index) {
                auto each = std::make_unique<simulated_vm>();
                each->host = "vm" + std::to_string(index);
                m_indexes[each->host] = index;
                m_vms.push_back(std::move(each));
            }
            for (auto& each : m_vms) {
                start(*each);
            }
        }

        void addLoad(const simulated_load& load)
        {
            m_loads.push_back(load);
            std::vector<std::pair<std::uint64_t, std::size_t>> scores;
            for (std::size_t index = 0; index < m_vms.size(); ++index) {
                scores.emplace_back(fastHash(m_vms[index]->host, fastHash(load.account)), index);
                m_vms[index]->limits[load.account] = load.limit;
            }
            std::sort(scores.begin(), scores.end());
            for (const auto& [score, index] : scores) {
                m_orders[load.account].push_back(index);
            }
            scheduleArrival(m_loads.size() - 1);
        }

        // Changes a limit at `at`; each VM has it in force up to 2 s later.
        void changeLimit(const std::string& account, account_limit limit, milliseconds at)
        {
            for (auto& each : m_vms) {
                auto* vm = each.get();
                schedule(time_point(at + milliseconds(random(0, 2'000))),
                    [vm, account, limit] { vm->limits[account] = limit; });
            }
        }

        // Stops the first holder of the shares of an account as planned; it comes back after 3 s.
        void stopFirstHolder(const std::string& account, milliseconds at)
        {
            auto* vm = m_vms[m_orders.at(account).front()].get();
            schedule(time_point(at), [this, vm] { leave(*vm); });
        }

        // Kills the first holder of the shares of an account, for good.
        void killFirstHolder(const std::string& account, milliseconds at)
        {
            auto* vm = m_vms[m_orders.at(account).front()].get();
            schedule(time_point(at), [this, vm] { setUp(*vm, false); });
        }

        void run(milliseconds length)
        {
            scheduleFaults();
            countShares();
            while (!m_events.empty() && m_events.top().at <= time_point(length)) {
                auto next = m_events.top();
                m_events.pop();
                m_now = next.at;
                next.action();
            }
        }

        load_result& resultOf(const std::string& account) { return m_results[account]; }
        std::size_t messages() const { return m_messages; }

        // Returns the most shares of any account that were in use at one time, over all VMs.
        std::size_t mostShares() const { return m_mostShares; }

    private:
        struct event {
            time_point at;
            std::uint64_t sequence = 0;
            std::function<void()> action;
            bool operator<(const event& other) const
            {
                return std::pair(at, sequence) > std::pair(other.at, other.sequence);
            }
        };

        int random(int least, int most) { return std::uniform_int_distribution<>(least, most)(m_random); }
        double fraction() { return std::uniform_real_distribution<>()(m_random); }

        void schedule(time_point at, std::function<void()> action)
        {
            m_events.push({ at, m_sequence++, std::move(action) });
        }

        // Runs an action on a VM, later if it is paused, and not after it was killed.
        void scheduleOn(simulated_vm& vm, time_point at, std::function<void()> action)
        {
            schedule(at, [this, &vm, incarnation = vm.incarnation, action = std::move(action)] {
                if (vm.incarnation != incarnation || !vm.isUp) {
                    return;
                }
                if (vm.pausedUntil > m_now) {
                    scheduleOn(vm, vm.pausedUntil, action);
                    return;
                }
                action();
            });
        }

        void start(simulated_vm& vm)
        {
            vm.lender = std::make_unique<limit_lender>(vm.host, lenderOptionsFor({}));
            vm.borrower = std::make_unique<limit_borrower>(
                limit_borrower_options { .tokenLifetime = tokenLifetimeFor({}) });
            vm.lender->start(m_now, m_vms.size() == 1);
            vm.borrower->start(static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::microseconds>(m_now.time_since_epoch()).count()));
            vm.waiting.clear();
            vm.isTicking = false;
        }

        // Returns a fixed pseudo-random number of milliseconds for a pair of VMs.
        static milliseconds pairDelay(const simulated_vm& from, const simulated_vm& to, int least, int most)
        {
            auto hash = fastHash(to.host, fastHash(from.host));
            return milliseconds(least + static_cast<int>(hash % static_cast<std::uint64_t>(most - least)));
        }

        static bool areLinked(const simulated_vm& from, const simulated_vm& to)
        {
            return &from == &to || (from.isUp && to.isUp && from.group == to.group);
        }

        // Returns whether a VM takes another one for reachable, which it notices late.
        bool isReachable(const simulated_vm& from, const simulated_vm& to) const
        {
            if (&from == &to) {
                return true;
            }
            auto changedAt = std::max(from.changedAt, to.changedAt);
            bool hasNoticed = m_now >= changedAt + pairDelay(from, to, 700, 1'500);
            return hasNoticed ? areLinked(from, to) : to.wasUp && from.earlierGroup == to.earlierGroup;
        }

        bool isKnownMember(const simulated_vm& from, const simulated_vm& to) const
        {
            bool hasNoticed = &from == &to || m_now >= to.memberChangedAt + pairDelay(from, to, 5, 500);
            return hasNoticed ? to.isMember : to.wasMember;
        }

        struct vm_view {
            std::vector<std::string> holders;
            std::vector<std::string> lenders;
            lender_order order;
        };

        // The view is kept by the caller, as the order points into it.
        void viewOf(const simulated_vm& vm, const std::string& account, vm_view& view) const
        {
            constexpr std::size_t maxLenders = 3;
            auto shares = lenderOptionsFor({}).maxShares;
            for (auto index : m_orders.at(account)) {
                const auto& each = *m_vms[index];
                if (!isKnownMember(vm, each)) {
                    continue;
                }
                if (view.holders.size() < shares) {
                    view.holders.push_back(each.host);
                }
                if (view.lenders.size() < maxLenders && isReachable(vm, each)) {
                    view.lenders.push_back(each.host);
                }
                if (view.holders.size() == shares && view.lenders.size() == maxLenders) {
                    break;
                }
            }
            view.order = { .holders = view.holders,
                .lender = view.lenders.empty() ? std::string_view() : view.lenders.front(),
                .since = m_membersChangedAt };
        }

        void send(
            simulated_vm& from, const std::string& host, const std::function<void(simulated_vm&)>& deliver)
        {
            ++m_messages;
            auto& to = *m_vms[m_indexes.at(host)];
            if (!areLinked(from, to) || fraction() < m_faults.loss) {
                return;
            }
            int copies = fraction() < m_faults.copies ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
                bool isLate = fraction() < m_faults.late;
                auto delay = std::chrono::microseconds(isLate ? random(0, 3'000'000) : random(300, 3'500));
                scheduleOn(to, m_now + delay, [&to, deliver] { deliver(to); });
            }
        }

        void sendShares(simulated_vm& vm, const std::vector<limit_lender::addressed_request>& requests)
        {
            for (const auto& each : requests) {
                send(vm, each.host, [this, &vm, request = each.request](simulated_vm& to) {
                    vm_view view;
                    viewOf(to, request.account, view);
                    auto answer = to.lender->handleShareRequest(vm.host, request, view.order, m_now);
                    if (!answer) {
                        return;
                    }
                    send(to, vm.host, [this, &to, answer = *answer](simulated_vm& back) {
                        back.lender->applyShareAnswer(to.host, answer, m_now);
                        pump(back, answer.account);
                    });
                });
            }
        }

        token_answer lend(simulated_vm& vm, const token_request& request)
        {
            vm_view view;
            viewOf(vm, request.account, view);
            auto answer = vm.lender->lend(request, view.order, m_now);
            if (!answer.isLending) {
                sendShares(vm, vm.lender->dueShareRequests(request.account, view.order, m_now));
            }
            tickLater(vm);
            return answer;
        }

        void tickLater(simulated_vm& vm)
        {
            bool isNeeded = vm.lender->isActive()
                || std::any_of(vm.waiting.begin(), vm.waiting.end(),
                    [](const auto& each) { return !each.second.empty(); });
            if (!isNeeded || std::exchange(vm.isTicking, true)) {
                return;
            }
            scheduleOn(vm, m_now + tickInterval, [this, &vm] {
                vm.isTicking = false;
                vm_view view; // Outlives the call that uses the order.
                sendShares(vm, vm.lender->dueShareRequests(m_now, [&](const auto& account) {
                    view = {};
                    viewOf(vm, account, view);
                    return view.order;
                }));
                for (const auto& load : m_loads) {
                    pump(vm, load.account);
                }
                tickLater(vm);
            });
        }

        void serve(simulated_vm& vm, const std::string& account, const take_result& taken, time_point arrived)
        {
            auto& result = m_results[account];
            auto waited = std::chrono::duration_cast<milliseconds>(m_now - arrived);
            result.longestWait = std::max(result.longestWait, waited);
            if (taken.status == take_status::taken) {
                REQUIRE(m_now < taken.until);
                result.runs.push_back(m_now);
            } else {
                ++result.overLimit;
                result.refusals.push_back(m_now);
            }
            tickLater(vm);
        }

        void pump(simulated_vm& vm, const std::string& account)
        {
            auto& waiting = vm.waiting[account];
            while (!waiting.empty() && m_now >= waiting.front() + maxWait) {
                waiting.pop_front();
                ++m_results[account].noLender;
                m_results[account].refusals.push_back(m_now);
            }
            for (int turn = 0; turn < 4 && !waiting.empty(); ++turn) {
                while (!waiting.empty()) {
                    auto taken = vm.borrower->takeForWaiting(account, m_now);
                    if (taken.status == take_status::waiting) {
                        break;
                    }
                    serve(vm, account, taken, waiting.front());
                    waiting.pop_front();
                }
                vm_view view;
                viewOf(vm, account, view);
                auto query = vm.borrower->dueQuery(
                    account, { waiting.size(), vm.limits.at(account), view.lenders }, m_now);
                if (!query) {
                    return;
                }
                if (query->host != vm.host) {
                    sendQuery(vm, *query);
                    return;
                }
                query->request.wanted = std::min(query->request.wanted, static_cast<int>(waiting.size()));
                vm.borrower->applyAnswer(vm.host, lend(vm, query->request), m_now);
            }
        }

        void sendQuery(simulated_vm& vm, const limit_borrower::addressed_request& query)
        {
            send(vm, query.host, [this, &vm, request = query.request](simulated_vm& to) {
                auto answer = lend(to, request);
                send(to, vm.host, [this, &to, answer](simulated_vm& back) {
                    back.borrower->applyAnswer(to.host, answer, m_now);
                    pump(back, answer.account);
                });
            });
        }

        void scheduleArrival(std::size_t load)
        {
            const auto& each = m_loads[load];
            auto gap = std::exponential_distribution<>(each.requestsPerSecond)(m_random);
            schedule(
                m_now + std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(gap)),
                [this, load] {
                    arrive(m_loads[load]);
                    scheduleArrival(load);
                });
        }

        void arrive(const simulated_load& load)
        {
            if (load.comesInBursts && (m_now.time_since_epoch() / std::chrono::seconds(1)) % 6 != 5) {
                return;
            }
            auto used = load.vmsUsed == 0 ? m_vms.size() : load.vmsUsed;
            auto offset = load.moves
                ? static_cast<std::size_t>(m_now.time_since_epoch() / std::chrono::seconds(3)) * 7
                : 0;
            auto index
                = (offset + static_cast<std::size_t>(random(0, static_cast<int>(used) - 1))) % m_vms.size();
            auto& vm = *m_vms[index];
            ++m_results[load.account].sent;
            m_results[load.account].arrivals.push_back(m_now);
            scheduleOn(vm, m_now, [this, &vm, account = load.account] {
                auto taken = vm.borrower->take(account, m_now);
                if (taken.status != take_status::waiting) {
                    serve(vm, account, taken, m_now);
                    return;
                }
                vm.waiting[account].push_back(m_now);
                pump(vm, account);
                tickLater(vm);
            });
        }

        simulated_vm& victim()
        {
            if (m_faults.targetsLender && fraction() < 0.7) {
                const auto& order = m_orders.at(m_loads.front().account);
                auto last = std::min<std::size_t>(order.size(), 4) - 1;
                return *m_vms[order[static_cast<std::size_t>(random(0, static_cast<int>(last)))]];
            }
            return *m_vms[static_cast<std::size_t>(random(0, static_cast<int>(m_vms.size()) - 1))];
        }

        void repeat(double perSecond, const std::function<void()>& action)
        {
            if (perSecond <= 0) {
                return;
            }
            auto gap = std::exponential_distribution<>(perSecond)(m_random);
            schedule(
                m_now + std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>(gap)),
                [this, perSecond, action] {
                    action();
                    repeat(perSecond, action);
                });
        }

        void setUp(simulated_vm& vm, bool isUp)
        {
            vm.wasUp = std::exchange(vm.isUp, isUp);
            vm.earlierGroup = vm.group;
            vm.changedAt = m_now;
        }

        void setGroup(simulated_vm& vm, int group)
        {
            vm.earlierGroup = std::exchange(vm.group, group);
            vm.wasUp = vm.isUp;
            vm.changedAt = m_now;
        }

        void setMember(simulated_vm& vm, bool isMember)
        {
            vm.wasMember = std::exchange(vm.isMember, isMember);
            vm.memberChangedAt = m_now;
            m_membersChangedAt = m_now;
        }

        void kill(simulated_vm& vm, milliseconds downTime)
        {
            if (!vm.isUp) {
                return;
            }
            setUp(vm, false);
            schedule(m_now + downTime, [this, &vm] {
                ++vm.incarnation;
                vm.pausedUntil = {};
                setUp(vm, true);
                start(vm);
            });
        }

        void leave(simulated_vm& vm)
        {
            if (!vm.isUp || !vm.isMember) {
                return;
            }
            setMember(vm, false);
            schedule(m_now + milliseconds(2'500), [this, &vm] { kill(vm, milliseconds(500)); });
            // Others rank it again once it lends; see lender_ranking_options::settleTime.
            schedule(m_now + milliseconds(3'500) + rankedAfter, [this, &vm] { setMember(vm, true); });
        }

        // A VM that is paused keeps its shares until their leases end.
        void countShares()
        {
            constexpr std::size_t largeFleet = 1'000;
            for (const auto& load : m_loads) {
                std::size_t shares = 0;
                for (const auto& vm : m_vms) {
                    shares += vm->isUp ? vm->lender->sharesOf(load.account, m_now).first : 0;
                }
                m_mostShares = std::max(m_mostShares, shares);
            }
            auto interval = m_vms.size() < largeFleet ? milliseconds(25) : milliseconds(200);
            schedule(m_now + interval, [this] { countShares(); });
        }

        void scheduleFaults()
        {
            repeat(m_faults.pausesPerSecond,
                [this] { victim().pausedUntil = m_now + milliseconds(random(100, 8'000)); });
            repeat(m_faults.killsPerSecond, [this] { kill(victim(), milliseconds(random(200, 2'000))); });
            repeat(m_faults.leavesPerSecond, [this] { leave(victim()); });
            if (m_faults.losesPower) {
                schedule(time_point(milliseconds(9'000)), [this] {
                    for (auto& each : m_vms) {
                        kill(*each, milliseconds(random(200, 1'500)));
                    }
                });
            }
            if (m_faults.isPartitioned || m_faults.isScattered) {
                schedule(time_point(milliseconds(8'000)), [this] { partition(true); });
                schedule(time_point(milliseconds(20'000)), [this] { partition(false); });
            }
        }

        void partition(bool isCut)
        {
            const auto& order = m_orders.at(m_loads.front().account);
            for (std::size_t index = 0; index < m_vms.size(); ++index) {
                auto& vm = *m_vms[order[index]];
                bool isFirst = m_faults.targetsLender && index == 0;
                if (isCut && (isFirst || fraction() < 0.35)) {
                    setGroup(vm, m_faults.isScattered ? static_cast<int>(index) + 1 : 1);
                } else if (!isCut && vm.group != 0) {
                    setGroup(vm, 0);
                }
            }
        }

        const fault_plan m_faults;
        std::mt19937_64 m_random;
        time_point m_now {};
        std::vector<std::unique_ptr<simulated_vm>> m_vms;
        std::map<std::string, std::size_t> m_indexes;
        std::map<std::string, std::vector<std::size_t>> m_orders;
        std::vector<simulated_load> m_loads;
        std::map<std::string, load_result> m_results;
        std::priority_queue<event> m_events;
        std::uint64_t m_sequence = 0;
        std::size_t m_messages = 0;
        std::size_t m_mostShares = 0;
        time_point m_membersChangedAt {};
    };

    // Returns how many requests a single bucket of the rate that is lent, which is empty at the end of the
    // start delay would refuse from `from` on, as they come in peaks.
    std::ptrdiff_t unavoidableRefusals(
        const std::vector<time_point>& arrivals, const account_limit& limit, time_point from)
    {
        token_bucket bucket;
        auto filledAt = time_point(limit_lender_options().startDelay);
        std::ptrdiff_t refusals = 0;
        for (auto at : arrivals) {
            auto seconds = std::chrono::duration<double>(at - filledAt).count();
            bucket.fill(limit_lender_options().rateFactor * limit.requestsPerSecond * seconds, limit.burst);
            filledAt = std::max(filledAt, at);
            refusals += bucket.take(1) == 0 && at >= from ? 1 : 0;
        }
        return refusals;
    }

    struct window_count {
        int most = 0;
        int allowed = 0;
    };

    // Returns the most requests that ran in any window of the bound that begins at `from` or later.
    window_count checkWindows(
        const std::vector<time_point>& runs, const account_limit& limit, time_point from = {})
    {
        limit_bound bound;
        window_count count;
        auto seconds = std::chrono::duration<double>(bound.window).count();
        count.allowed = static_cast<int>(
            (limit.requestsPerSecond * seconds + limit.burst) * (1 + bound.overshoot) + bound.slack);
        auto first = std::lower_bound(runs.begin(), runs.end(), from);
        for (auto last = first; last != runs.end(); ++last) {
            while (*last - *first > bound.window) {
                ++first;
            }
            count.most = std::max(count.most, static_cast<int>(last - first) + 1);
        }
        return count;
    }

}

TEST_CASE("No window of a fleet exceeds the bound, whatever fails")
{
    struct row {
        const char* name;
        std::size_t vms;
        int seeds;
        fault_plan faults;
    };
    const row rows[] = {
        { "one VM", 1, 3, {} },
        { "three, datagrams lost, doubled, late", 3, 10, { .loss = 0.2, .copies = 0.2, .late = 0.2 } },
        { "three, pauses", 3, 10, { .loss = 0.02, .pausesPerSecond = 0.5 } },
        { "three, restarts", 3, 10, { .loss = 0.02, .late = 0.02, .killsPerSecond = 0.5 } },
        { "three, one cut off", 3, 10, { .isScattered = true, .targetsLender = true } },
        { "a hundred, datagrams", 100, 4, { .loss = 0.2, .copies = 0.2, .late = 0.2 } },
        { "a hundred, lenders pause", 100, 6, { .pausesPerSecond = 1, .targetsLender = true } },
        { "a hundred, lenders restart", 100, 6, { .killsPerSecond = 1, .targetsLender = true } },
        { "a hundred, lenders leave", 100, 6, { .leavesPerSecond = 1, .targetsLender = true } },
        { "a hundred, partition", 100, 6, { .isPartitioned = true, .targetsLender = true } },
        { "a hundred, each cut off alone", 100, 6, { .isScattered = true, .targetsLender = true } },
        { "a hundred, no power", 100, 4, { .losesPower = true } },
        { "a hundred, all of it", 100, 10,
            { .loss = 0.05,
                .copies = 0.05,
                .late = 0.05,
                .pausesPerSecond = 1,
                .killsPerSecond = 1,
                .leavesPerSecond = 0.5,
                .isPartitioned = true,
                .targetsLender = true } },
        { "two thousand, all of it", 2'000, 2,
            { .loss = 0.05,
                .copies = 0.05,
                .late = 0.05,
                .pausesPerSecond = 4,
                .killsPerSecond = 4,
                .leavesPerSecond = 1,
                .isScattered = true,
                .targetsLender = true } },
    };
    const simulated_load loads[] = {
        { "large", { 240, 480, 1 }, 1'700 },
        { "middle, few VMs", { 40, 10, 1 }, 280, 2, true },
        { "small", { 1.6, 1, 1 }, 11 },
        { "bursts", { 100, 400, 1 }, 2'000, 0, false, true },
    };
    for (const auto& each : rows) {
        for (int seed = 1; seed <= each.seeds; ++seed) {
            CAPTURE(std::string(each.name));
            CAPTURE(seed);
            simulated_fleet fleet(each.vms, each.faults, static_cast<std::uint64_t>(seed));
            for (auto load : loads) {
                load.vmsUsed = std::min(load.vmsUsed, each.vms);
                fleet.addLoad(load);
            }
            fleet.run(milliseconds(26'000));
            // Where VMs leave, others see them leave at different times, and count different VMs as holders.
            auto shares = std::min(each.vms, lenderOptionsFor({}).maxShares);
            CHECK((each.faults.leavesPerSecond > 0 || fleet.mostShares() <= shares));
            for (const auto& load : loads) {
                const auto& result = fleet.resultOf(load.account);
                auto found = checkWindows(result.runs, load.limit);
                CAPTURE(load.account);
                CHECK(found.most <= found.allowed);
                CHECK(result.longestWait <= maxWait + milliseconds(8'000)); // A VM that pauses is late.
                if (seed == 1) {
                    MESSAGE(std::string(each.name)
                        << ", " << load.account << ": at most " << found.most << " in a window, allowed "
                        << found.allowed << "; " << result.runs.size() << " of " << result.sent << " ran, "
                        << result.noLender << " found no lender");
                }
            }
        }
    }
}

TEST_CASE("Most of a limit can be used wherever the callers are, and requests within it are served")
{
    struct row {
        const char* name;
        std::size_t vms;
        simulated_load load;
        bool isBeyond; // The callers ask for more than the limit.
    };
    const row rows[] = {
        { "three VMs, beyond", 3, { "a", { 20, 20, 1 }, 60 }, true },
        { "all VMs, beyond", 132, { "a", { 100, 100, 1 }, 700 }, true },
        { "one VM, beyond", 132, { "a", { 100, 100, 1 }, 700, 1 }, true },
        { "callers move, beyond", 132, { "a", { 100, 100, 1 }, 700, 5, true }, true },
        { "slow, all VMs, beyond", 132, { "a", { 1.6, 2, 1 }, 11 }, true },
        { "two thousand VMs, beyond", 2'000, { "a", { 400, 400, 1 }, 2'800 }, true },
        { "all VMs, within", 132, { "a", { 100, 100, 1 }, 62 }, false },
        { "slow, all VMs, within", 132, { "a", { 1.6, 8, 1 }, 1 }, false },
        { "callers move, within", 132, { "a", { 100, 100, 1 }, 62, 5, true }, false },
        { "two thousand VMs, within", 2'000, { "a", { 400, 400, 1 }, 250 }, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        simulated_fleet fleet(each.vms, { .loss = 0.001 }, 7);
        fleet.addLoad(each.load);
        constexpr milliseconds length { 24'000 };
        fleet.run(length);
        const auto& result = fleet.resultOf(each.load.account);
        auto runs = static_cast<double>(std::count_if(
            result.runs.begin(), result.runs.end(), [](auto at) { return at >= time_point(warmUp); }));
        auto seconds = std::chrono::duration<double>(length - warmUp).count();
        auto ofLimit = runs / (each.load.limit.requestsPerSecond * seconds);
        auto served = runs / (each.load.requestsPerSecond * seconds);
        MESSAGE(std::string(each.name)
            << ": " << ofLimit << " of the limit used, " << served << " of the requests served, longest wait "
            << result.longestWait.count() << " ms, " << fleet.messages() << " messages for " << result.sent
            << " requests");
        CHECK((!each.isBeyond || ofLimit >= 0.9));
        auto refused = std::count_if(
            result.refusals.begin(), result.refusals.end(), [](auto at) { return at >= time_point(warmUp); });
        auto unavoidable = unavoidableRefusals(result.arrivals, each.load.limit, time_point(warmUp));
        MESSAGE(std::string(each.name)
            << ": " << refused << " refused after the start, " << unavoidable << " by a single bucket");
        auto allowed = unavoidable + static_cast<std::ptrdiff_t>(result.sent / 100);
        CHECK((each.isBeyond || refused <= allowed));
        CHECK(checkWindows(result.runs, each.load.limit).most
            <= checkWindows(result.runs, each.load.limit).allowed);
    }
}

TEST_CASE("A changed limit is binding once it is in force on all VMs")
{
    struct row {
        const char* name;
        account_limit before;
        account_limit after;
    };
    const row rows[] = {
        { "lowered", { 100, 200, 1 }, { 10, 5, 2 } },
        { "raised", { 10, 5, 1 }, { 100, 200, 2 } },
        { "introduced", { 0, 0, 1 }, { 20, 20, 2 } },
    };
    constexpr milliseconds changedAt { 10'000 };
    constexpr milliseconds inForceAt { 12'000 };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            CAPTURE(seed);
            bool isNormal = seed > 2;
            simulated_fleet fleet(100, { .loss = isNormal ? 0.001 : 0.05 }, seed);
            fleet.addLoad({ "a", each.before, 300 });
            fleet.changeLimit("a", each.after, changedAt);
            fleet.run(milliseconds(30'000));
            const auto& result = fleet.resultOf("a");
            auto found = checkWindows(result.runs, each.after, time_point(inForceAt));
            CHECK(found.most <= found.allowed);
            auto later = std::count_if(
                result.runs.begin(), result.runs.end(), [&](auto at) { return at >= time_point(inForceAt); });
            auto usable = isNormal ? 0.9 : 0.85;
            CHECK(static_cast<double>(later) >= usable * each.after.requestsPerSecond * 18);
        }
    }
}

TEST_CASE("A lender that fails is replaced within two seconds, and no request is refused later")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        simulated_fleet fleet(100, {}, seed);
        fleet.addLoad({ "a", { 50, 50, 1 }, 30 });
        fleet.killFirstHolder("a", milliseconds(10'000));
        fleet.run(milliseconds(20'000));
        const auto& refusals = fleet.resultOf("a").refusals;
        auto refusedBetween = [&](int fromMs, int toMs) {
            return std::count_if(refusals.begin(), refusals.end(), [&](auto at) {
                return at >= time_point(milliseconds(fromMs)) && at < time_point(milliseconds(toMs));
            });
        };
        MESSAGE("seed " << seed << ": " << refusedBetween(10'000, 12'500) << " refused after the failure");
        CHECK(refusedBetween(4'000, 10'000) == 0);
        CHECK(refusedBetween(10'000, 12'500) <= 60); // Two seconds of requests.
        CHECK(refusedBetween(12'500, 20'000) == 0);
    }
}

TEST_CASE("A planned stop of a lender, and its return, refuse hardly any request within the limit")
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        CAPTURE(seed);
        simulated_fleet fleet(100, {}, seed);
        fleet.addLoad({ "a", { 50, 50, 1 }, 30 });
        fleet.stopFirstHolder("a", milliseconds(10'000));
        fleet.run(milliseconds(25'000));
        const auto& refusals = fleet.resultOf("a").refusals;
        auto refused = std::count_if(
            refusals.begin(), refusals.end(), [](auto at) { return at >= time_point(warmUp); });
        MESSAGE("seed " << seed << ": " << refused << " refused of " << fleet.resultOf("a").sent);
        CHECK(refused <= 15); // Half a second of requests.
    }
}

}
