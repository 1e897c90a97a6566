#include "marlsill/cluster/freshness_exchange.h"

#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>

namespace marlsill::cluster {

namespace {

    using std::chrono::milliseconds;
    using time_point = boot_clock::time_point;

    constexpr milliseconds bound { 5'000 };
    constexpr milliseconds tickInterval { freshness_exchange_options().tickInterval };
    const time_point start { std::chrono::hours(30) };

    // One VM before others that answer after a time, or do not.
    class lone_exchange {
    public:
        explicit lone_exchange(milliseconds revocationBound = bound)
            : freshness(revocationBound)
            , exchange(freshness, {}, actions())
        {
        }

        // Lets time pass. Hosts in `ages` answer after `latency` that their point is that old.
        void run(milliseconds length)
        {
            auto end = now + length;
            while (now < end) {
                now += milliseconds(10);
                while (!answers.empty() && answers.front().first <= now) {
                    auto answer = answers.front().second;
                    answers.erase(answers.begin());
                    exchange.handleMessage(answer, now);
                }
                if (hasStore && (now - start) % milliseconds(500) == milliseconds(0)) {
                    exchange.noteStorePoint(now - milliseconds(505), now);
                }
                if ((now - start) % tickInterval == milliseconds(0)) {
                    exchange.tick(now);
                }
                invalidSteps += exchange.areKeysValid(now) ? 0 : 1;
            }
        }

        int queriesTo(const std::string& host) const
        {
            auto found = queries.find(host);
            return found == queries.end() ? 0 : found->second;
        }

        int allQueries() const
        {
            int all = 0;
            for (const auto& [host, count] : queries) {
                all += count;
            }
            return all;
        }

        accounts::configuration_freshness freshness;
        std::vector<std::string> ofDomain { "w1" };
        std::vector<std::string> watchers { "w1", "w2" };
        std::vector<std::string> hosts { "w1", "w2", "h1", "h2" };
        std::map<std::string, milliseconds> ages;
        milliseconds latency { 5 };
        std::uint64_t statedVersion = 1;
        bool hasStore = false; // Whether it watches the store itself.
        time_point now = start;
        std::map<std::string, int> queries;
        std::vector<std::pair<time_point, peer_message>> answers;
        std::vector<std::uint64_t> numbers;
        std::vector<bool> announcements;
        std::vector<std::string> changes;
        int reads = 0;
        int invalidSteps = 0;
        freshness_exchange exchange;

    private:
        freshness_exchange_actions actions()
        {
            return { .send =
                         [this](const auto& host, const auto& message) {
                             if (!message.freshnessQuery) {
                                 return;
                             }
                             ++queries[host];
                             numbers.push_back(message.freshnessQuery);
                             if (auto age = ages.find(host); age != ages.end()) {
                                 peer_message answer;
                                 answer.sender = host;
                                 answer.freshnessAnswer = freshness_answer { message.freshnessQuery,
                                     statedVersion, static_cast<std::uint64_t>(age->second.count()) };
                                 answers.emplace_back(now + latency, answer);
                             }
                         },
                .readStore = [this] { ++reads; },
                .watchersOfDomain = [this] { return std::span<const std::string>(ofDomain); },
                .watchers = [this] { return std::span<const std::string>(watchers); },
                .reachableHosts = [this] { return hosts; },
                .isWatching = [this] { return hasStore; },
                .onValidityChanged =
                    [this](bool areValid, auto, auto source) {
                        changes.push_back((areValid ? "valid " : "expired ") + std::string(toText(source)));
                    },
                .announce = [this](bool hasStaleKeys) { announcements.push_back(hasStaleKeys); },
                .onActivityChanged = [](bool) {},
                .random = [this] { return m_random(); } };
        }

        std::mt19937_64 m_random { 7 };
    };

}

TEST_CASE("A VM asks a watcher of its failure domain, then others, and reads the store if nobody can tell")
{
    struct row {
        const char* name;
        milliseconds revocationBound;
        bool hasAccounts;
        bool hasStore;
        bool hasPeers;
        std::map<std::string, milliseconds> ages; // Of those that answer.
        std::pair<int, int> expectedQueries; // Within 10 s, with both ends.
        std::pair<int, int> expectedToDomain; // Of them to the watcher of the failure domain.
        std::pair<int, int> expectedReads;
        bool areValid;
    };
    constexpr milliseconds fresh { 700 };
    constexpr milliseconds old { 4'000 };
    const row rows[] = {
        { "calm", bound, true, false, true, { { "w1", fresh }, { "w2", fresh } }, { 17, 21 }, { 17, 21 },
            { 0, 0 }, true },
        { "the watcher of the failure domain is silent", bound, true, false, true,
            { { "w2", fresh }, { "h1", fresh } }, { 17, 26 }, { 4, 6 }, { 0, 0 }, true },
        // It reads the store until it has found a VM that answers.
        { "all watchers are silent", bound, true, false, true, { { "h1", fresh }, { "h2", fresh } },
            { 17, 30 }, { 1, 6 }, { 0, 3 }, true },
        { "the watcher of the failure domain has lost the store", bound, true, false, true,
            { { "w1", old }, { "w2", fresh } }, { 17, 26 }, { 4, 6 }, { 0, 1 }, true },
        { "nobody answers", bound, true, false, true, {}, { 17, 26 }, { 1, 10 }, { 4, 8 }, false },
        { "no VM is known", bound, true, false, false, {}, { 0, 0 }, { 0, 0 }, { 4, 8 }, false },
        { "it watches the store itself", bound, true, true, true, {}, { 1, 2 }, { 0, 1 }, { 0, 1 }, true },
        // Guard against traffic where no strict revocation is asked for.
        { "no bound", milliseconds(0), true, false, true, {}, { 0, 0 }, { 0, 0 }, { 0, 0 }, true },
        { "no accounts", bound, false, false, true, {}, { 0, 0 }, { 0, 0 }, { 0, 0 }, true },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        lone_exchange vm(each.revocationBound);
        vm.ages = each.ages;
        vm.hasStore = each.hasStore;
        if (!each.hasPeers) {
            vm.ofDomain.clear();
            vm.watchers.clear();
            vm.hosts.clear();
        }
        vm.exchange.setConfiguration(1, each.hasAccounts, vm.now);
        vm.run(milliseconds(10'000));
        MESSAGE(std::string(each.name) << ": " << vm.allQueries() << " queries, " << vm.queriesTo("w1")
                                       << " to the watcher of the domain, " << vm.reads << " reads");
        auto isWithin
            = [](int value, const auto& range) { return value >= range.first && value <= range.second; };
        CHECK(isWithin(vm.allQueries(), each.expectedQueries));
        CHECK(isWithin(vm.queriesTo("w1"), each.expectedToDomain));
        CHECK(isWithin(vm.reads, each.expectedReads));
        CHECK(vm.exchange.areKeysValid(vm.now) == each.areValid);
    }
}

TEST_CASE("Only the first answer to a query of this VM counts, from the time of the query")
{
    struct row {
        const char* name;
        std::function<void(lone_exchange&, std::uint64_t number)> answer; // 300 ms after the query.
        std::optional<milliseconds> expectedAge;
    };
    auto answerOf = [](std::uint64_t number, std::uint64_t ageMs, std::uint64_t version = 1) {
        peer_message message;
        message.sender = "w1";
        message.freshnessAnswer = freshness_answer { number, version, ageMs };
        return message;
    };
    const row rows[] = {
        { "none", [](auto&, auto) {}, std::nullopt },
        { "its answer",
            [&](auto& vm, auto number) { vm.exchange.handleMessage(answerOf(number, 700), vm.now); },
            milliseconds(1'000) },
        { "an unknown number",
            [&](auto& vm, auto number) { vm.exchange.handleMessage(answerOf(number + 1, 700), vm.now); },
            std::nullopt },
        // Guards against a point by an answer that names no query, as all open ones have number 0.
        { "the number 0", [&](auto& vm, auto) { vm.exchange.handleMessage(answerOf(0, 700), vm.now); },
            std::nullopt },
        { "a second answer with the same number",
            [&](auto& vm, auto number) {
                vm.exchange.handleMessage(answerOf(number, 700), vm.now);
                vm.exchange.handleMessage(answerOf(number, 1), vm.now);
            },
            milliseconds(1'000) },
        { "a version that is not in force",
            [&](auto& vm, auto number) { vm.exchange.handleMessage(answerOf(number, 700, 2), vm.now); },
            std::nullopt },
        { "the version comes into force later",
            [&](auto& vm, auto number) {
                vm.exchange.handleMessage(answerOf(number, 700, 2), vm.now);
                vm.exchange.setConfiguration(2, true, vm.now);
            },
            milliseconds(1'000) },
        { "an age without sense",
            [&](auto& vm, auto number) {
                vm.exchange.handleMessage(answerOf(number, ~std::uint64_t { 0 }), vm.now);
            },
            milliseconds(3'600'300) },
        { "an answer from before the restart of this process",
            [&](auto& vm, auto number) {
                lone_exchange next;
                next.exchange.setConfiguration(1, true, vm.now);
                next.numbers.clear();
                next.exchange.handleMessage(answerOf(number ^ 1, 700), vm.now);
                CHECK_FALSE(next.freshness.currentAsOf());
            },
            std::nullopt },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        lone_exchange vm;
        vm.exchange.setConfiguration(1, true, vm.now);
        REQUIRE(vm.numbers.size() == 1);
        auto number = vm.numbers.front();
        vm.now += milliseconds(300);
        each.answer(vm, number);
        CHECK(vm.freshness.ageAt(vm.now) == each.expectedAge);
    }
}

TEST_CASE("A VM answers queries with its version and age only while its own keys are valid")
{
    struct row {
        const char* name;
        milliseconds revocationBound;
        bool hasAccounts;
        std::optional<milliseconds> age;
        bool isAnswered;
    };
    const row rows[] = {
        { "a fresh point", bound, true, milliseconds(900), true },
        { "an old point that is still valid", bound, true, milliseconds(4'700), true },
        { "an expired point", bound, true, milliseconds(4'800), false },
        { "no point", bound, true, std::nullopt, false },
        { "no bound", milliseconds(0), true, milliseconds(900), false },
        { "no accounts", bound, false, milliseconds(900), false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        accounts::configuration_freshness freshness(each.revocationBound);
        std::vector<freshness_answer> sent;
        freshness_exchange exchange(freshness, {},
            { .send =
                    [&](const auto& host, const auto& message) {
                        if (message.freshnessAnswer) {
                            CHECK(host == "asker");
                            sent.push_back(*message.freshnessAnswer);
                        }
                    },
                .readStore = [] {},
                .watchersOfDomain = [] { return std::span<const std::string>(); },
                .watchers = [] { return std::span<const std::string>(); },
                .reachableHosts = [] { return std::vector<std::string>(); },
                .isWatching = [] { return false; },
                .onValidityChanged = [](bool, auto, auto) {},
                .announce = [](bool) {},
                .onActivityChanged = [](bool) {},
                .random = [] { return std::uint64_t { 1 }; } });
        if (each.age) {
            exchange.noteStorePoint(start - *each.age, start);
        }
        exchange.setConfiguration(9, each.hasAccounts, start);
        peer_message query;
        query.sender = "asker";
        query.freshnessQuery = 77;
        exchange.handleMessage(query, start);
        REQUIRE(sent.size() == (each.isAnswered ? 1 : 0));
        if (each.isAnswered) {
            CHECK(sent[0].query == 77);
            CHECK(sent[0].configurationVersion == 9);
            CHECK(sent[0].ageMs == static_cast<std::uint64_t>(each.age->count()));
        }
    }
}

TEST_CASE("Other VMs are told of expired keys after a while, and of valid ones at once")
{
    lone_exchange vm;
    vm.ages = { { "w1", milliseconds(100) } };
    vm.exchange.setConfiguration(1, true, vm.now);
    CHECK(vm.announcements == std::vector { true }); // Before it is listed as ready.
    vm.run(milliseconds(1'000));
    CHECK(vm.announcements == std::vector { true, false });
    vm.ages.clear();
    vm.run(milliseconds(4'000));
    CHECK(vm.changes == std::vector<std::string> { "expired none", "valid peer" });
    vm.run(milliseconds(2'500));
    CHECK(vm.announcements == std::vector { true, false, true });
    // Guards against a storm of announcements by VMs that were stopped for seconds and go on.
    vm.ages = { { "w1", milliseconds(100) }, { "w2", milliseconds(100) }, { "h1", milliseconds(100) },
        { "h2", milliseconds(100) } };
    vm.run(milliseconds(1'000));
    vm.now += milliseconds(8'000);
    vm.run(milliseconds(1'000));
    CHECK(vm.announcements == std::vector { true, false, true, false });
    CHECK(vm.changes
        == std::vector<std::string> {
            "expired none", "valid peer", "expired peer", "valid peer", "expired peer", "valid peer" });
}

namespace {

    // What may go wrong in a run of a fleet.
    struct fleet_faults {
        double loss = 0; // Of datagrams.
        milliseconds maxDelay { 5 }; // Of most datagrams.
        double lateShare = 0; // Of datagrams that take up to `maxLateDelay`.
        milliseconds maxLateDelay { 0 };
        milliseconds maxStoreDelay { 5 }; // Of a call and of its response.
        int suspensions = 0; // Of single VMs, for up to 9 s.
        int restarts = 0; // With an earlier configuration from a peer.
        int cuts = 0; // Of some VMs from all others, and some of them from the store, for up to 15 s.
        int storeOutages = 0; // For some VMs or all, for up to `maxStoreOutage`.
        milliseconds maxStoreOutage { 12'000 };
        bool isStoreOutageForAll = false;
        milliseconds faultTime { 30'000 };
    };

    // A fleet with a store, in virtual time. Each version of the configuration withdraws a key.
    class virtual_fleet {
    public:
        virtual_fleet(std::uint64_t seed, std::size_t domains, std::size_t vmsPerDomain, fleet_faults faults)
            : m_random(seed)
            , m_faults(faults)
            , m_vmsPerDomain(vmsPerDomain)
        {
            for (std::size_t index = 0; index < domains * vmsPerDomain; ++index) {
                m_hosts.push_back("vm" + std::to_string(index));
                m_indexes[m_hosts.back()] = index;
            }
            for (std::size_t domain = 0; domain < domains; ++domain) {
                m_watchers.push_back(m_hosts[domain * vmsPerDomain]);
            }
            m_acknowledgedAt.push_back(start); // Version 1.
            m_vms.resize(m_hosts.size());
            for (std::size_t index = 0; index < m_vms.size(); ++index) {
                boot(index, 1);
            }
        }

        // Plans withdrawals and faults at random.
        void plan()
        {
            for (auto at = m_now + between(200, 4'000); at < start + m_faults.faultTime;
                 at += between(100, 8'000)) {
                push(at, [this] { m_acknowledgedAt.push_back(m_now); });
            }
            for (int count = 0; count < m_faults.suspensions; ++count) {
                push(randomTime(), [this] { anyVm().suspendedUntil = m_now + between(100, 9'000); });
            }
            for (int count = 0; count < m_faults.restarts; ++count) {
                push(randomTime(), [this] {
                    auto index = m_random() % m_vms.size();
                    boot(index, 1 + m_random() % m_acknowledgedAt.size());
                });
            }
            for (int count = 0; count < m_faults.cuts; ++count) {
                push(randomTime(), [this] {
                    auto until = m_now + between(1'000, 15'000);
                    bool isStoreCut = m_random() % 2 == 0;
                    for (auto cut = 1 + m_random() % (m_vms.size() / 2); cut > 0; --cut) {
                        auto& vm = anyVm();
                        vm.cutUntil = until;
                        vm.storeAwayUntil = isStoreCut ? until : vm.storeAwayUntil;
                    }
                });
            }
            for (int count = 0; count < m_faults.storeOutages; ++count) {
                push(randomTime(), [this] {
                    auto until = m_now + between(500, static_cast<int>(m_faults.maxStoreOutage.count()));
                    bool isForAll = m_faults.isStoreOutageForAll || m_random() % 2 == 0;
                    for (auto& vm : m_vms) {
                        vm.storeAwayUntil = isForAll || m_random() % 2 == 0 ? until : vm.storeAwayUntil;
                    }
                });
            }
        }

        void runUntil(time_point end)
        {
            for (; m_nextCheck <= end; m_nextCheck += milliseconds(10)) {
                while (!m_events.empty() && m_events.top().at <= m_nextCheck) {
                    auto next = m_events.top();
                    m_events.pop();
                    m_now = next.at;
                    next.action();
                }
                m_now = m_nextCheck;
                for (auto& vm : m_vms) {
                    if (m_now >= vm.suspendedUntil) {
                        check(vm);
                    }
                }
            }
        }

        // Counts anew from now on.
        void resetCounts()
        {
            m_invalidChecks = 0;
            m_queries = 0;
            m_reads = 0;
            m_answered.clear();
        }

        int invalidChecks() const { return m_invalidChecks; }
        int lateChecks() const { return m_lateChecks; }
        int queries() const { return m_queries; }
        int reads() const { return m_reads; }
        int mostQueriesAnswered() const { return m_answered.empty() ? 0 : mostIn(m_answered); }
        std::size_t size() const { return m_vms.size(); }

    private:
        struct fleet_vm {
            std::size_t index = 0;
            int life = 0;
            time_point suspendedUntil {};
            time_point cutUntil {};
            time_point storeAwayUntil {};
            time_point lastBeacon {};
            milliseconds clockOffset {}; // VMs have been up for different times.
            bool isReading = false;
            std::uint64_t version = 0;
            std::unique_ptr<accounts::configuration_freshness> freshness;
            std::unique_ptr<freshness_exchange> exchange;
        };

        struct fleet_event {
            time_point at;
            std::uint64_t order = 0;
            std::function<void()> action;

            bool operator<(const fleet_event& other) const
            {
                return std::pair(at, order) > std::pair(other.at, other.order);
            }
        };

        static int mostIn(const std::map<std::string, int>& counts)
        {
            int most = 0;
            for (const auto& [host, count] : counts) {
                most = std::max(most, count);
            }
            return most;
        }

        milliseconds between(int least, int most)
        {
            return milliseconds(
                least + static_cast<int>(m_random() % static_cast<unsigned>(most - least + 1)));
        }
        bool isFaulty() const { return m_now < start + m_faults.faultTime; }
        bool happens(double share) { return std::uniform_real_distribution<>()(m_random) < share; }
        time_point randomTime()
        {
            return start + between(1'000, static_cast<int>(m_faults.faultTime.count()));
        }
        fleet_vm& anyVm() { return m_vms[m_random() % m_vms.size()]; }
        time_point clockOf(const fleet_vm& vm) const { return m_now + vm.clockOffset; }
        std::size_t domainOf(const fleet_vm& vm) const { return vm.index / m_vmsPerDomain; }
        bool isDesignated(const fleet_vm& vm) const { return vm.index % m_vmsPerDomain == 0; }
        bool isWatching(const fleet_vm& vm) const
        {
            return isDesignated(vm) || m_now - vm.lastBeacon > milliseconds(700);
        }

        void push(time_point at, std::function<void()> action)
        {
            m_events.push({ at, ++m_order, std::move(action) });
        }

        // Runs an action on a VM, later if it is suspended, unless it has been restarted since.
        void pushTo(fleet_vm& vm, time_point at, std::function<void()> action)
        {
            push(at, [this, &vm, life = vm.life, action = std::move(action)]() mutable {
                if (vm.life != life) {
                    return;
                }
                if (m_now < vm.suspendedUntil) {
                    pushTo(vm, vm.suspendedUntil, std::move(action));
                    return;
                }
                check(vm); // What the VM would do first after it was suspended.
                action();
                check(vm);
            });
        }

        // Guards against a request with a withdrawn key that is sent after the bound.
        void check(const fleet_vm& vm)
        {
            if (!vm.exchange->areKeysValid(clockOf(vm))) {
                ++m_invalidChecks;
                return;
            }
            for (auto version = vm.version + 1; version <= m_acknowledgedAt.size(); ++version) {
                m_lateChecks += m_now >= m_acknowledgedAt[version - 1] + bound ? 1 : 0;
            }
        }

        void boot(std::size_t index, std::uint64_t version)
        {
            auto& vm = m_vms[index];
            vm.index = index;
            ++vm.life;
            vm.suspendedUntil = {};
            vm.lastBeacon = m_now;
            vm.isReading = false;
            vm.clockOffset = between(0, 1'000'000);
            vm.version = version;
            vm.freshness = std::make_unique<accounts::configuration_freshness>(bound);
            vm.exchange = std::make_unique<freshness_exchange>(
                *vm.freshness, freshness_exchange_options(), actions(vm));
            vm.exchange->setConfiguration(version, true, clockOf(vm));
            pushTo(vm, m_now + between(0, 50), [this, &vm] { tick(vm); });
            // The first call is a list, which the store does not hold.
            pushTo(vm, m_now + between(0, 50), [this, &vm] { watch(vm, milliseconds(0)); });
            pushTo(vm, m_now + between(0, 250), [this, &vm] { sendBeacons(vm); });
        }

        void tick(fleet_vm& vm)
        {
            vm.exchange->tick(clockOf(vm));
            pushTo(vm, m_now + tickInterval, [this, &vm] { tick(vm); });
        }

        void apply(fleet_vm& vm, std::uint64_t version)
        {
            if (version > vm.version) {
                vm.version = version;
                vm.exchange->setConfiguration(version, true, clockOf(vm));
            }
        }

        // Delivers something to a VM as a datagram, which may be lost or late.
        void transmit(fleet_vm& from, fleet_vm& to, std::function<void()> action)
        {
            bool isCut = m_now < from.cutUntil || m_now < to.cutUntil;
            if (isCut || (isFaulty() && happens(m_faults.loss))) {
                return;
            }
            bool isLate = isFaulty() && happens(m_faults.lateShare);
            auto mostMs = (isLate ? m_faults.maxLateDelay : m_faults.maxDelay).count();
            pushTo(to, m_now + between(1, static_cast<int>(mostMs)), std::move(action));
        }

        void sendBeacons(fleet_vm& vm)
        {
            if (isDesignated(vm)) {
                auto first = domainOf(vm) * m_vmsPerDomain;
                for (auto index = first; index < first + m_vmsPerDomain; ++index) {
                    auto& to = m_vms[index];
                    transmit(vm, to, [this, &to, version = vm.version] {
                        to.lastBeacon = m_now;
                        apply(to, version);
                    });
                }
            }
            pushTo(vm, m_now + milliseconds(250), [this, &vm] { sendBeacons(vm); });
        }

        // One watch of the configuration, which the store holds for up to 500 ms, and the next ones.
        void watch(fleet_vm& vm, milliseconds maxWait = milliseconds(500))
        {
            if (!isWatching(vm)) {
                pushTo(vm, m_now + milliseconds(250), [this, &vm] { watch(vm); });
                return;
            }
            call(vm, maxWait, milliseconds(1'500), [this, &vm] { watch(vm); });
        }

        void readStore(fleet_vm& vm)
        {
            ++m_reads;
            if (!std::exchange(vm.isReading, true)) {
                call(vm, milliseconds(0), milliseconds(1'000), [&vm] { vm.isReading = false; });
            }
        }

        // Calls the store. The point is the VM's clock at the call; the version is read at the store, later.
        void call(fleet_vm& vm, milliseconds maxWait, milliseconds timeout, std::function<void()> next)
        {
            auto point = clockOf(vm);
            bool isAway = m_now < vm.storeAwayUntil;
            auto calledAt = m_now;
            auto storeDelay = [this] {
                return between(1, isFaulty() ? static_cast<int>(m_faults.maxStoreDelay.count()) : 5);
            };
            auto heldFor
                = between(static_cast<int>(maxWait.count()) * 9 / 10, static_cast<int>(maxWait.count()));
            if (isAway) {
                // Refused at once, or without any response.
                auto failsAt = m_now + (m_random() % 2 == 0 ? between(50, 800) : timeout);
                pushTo(vm, failsAt, std::move(next));
                return;
            }
            push(m_now + storeDelay() + heldFor,
                [this, &vm, life = vm.life, point, calledAt, timeout, storeDelay, next = std::move(next)] {
                    auto version = m_acknowledgedAt.size();
                    if (vm.life != life) {
                        return;
                    }
                    auto arrivesAt = m_now + storeDelay();
                    bool isLost = m_now < vm.storeAwayUntil || arrivesAt > calledAt + timeout;
                    pushTo(vm, isLost ? calledAt + timeout : arrivesAt,
                        [this, &vm, point, version, isLost, next] {
                            if (!isLost) {
                                apply(vm, version);
                                vm.exchange->noteStorePoint(point, clockOf(vm));
                            }
                            next();
                        });
                });
        }

        freshness_exchange_actions actions(fleet_vm& vm)
        {
            return { .send =
                         [this, &vm](const auto& host, auto message) {
                             m_queries += message.freshnessQuery ? 1 : 0;
                             m_answered[m_hosts[vm.index]] += message.freshnessAnswer ? 1 : 0;
                             message.sender = m_hosts[vm.index];
                             auto& to = m_vms[m_indexes.at(host)];
                             transmit(vm, to,
                                 [this, &to, message] { to.exchange->handleMessage(message, clockOf(to)); });
                         },
                .readStore = [this, &vm] { readStore(vm); },
                .watchersOfDomain =
                    [this, &vm] {
                        return isDesignated(vm) ? std::span<const std::string>()
                                                : std::span<const std::string>(&m_watchers[domainOf(vm)], 1);
                    },
                .watchers = [this] { return std::span<const std::string>(m_watchers); },
                .reachableHosts = [this] { return m_hosts; },
                .isWatching = [this, &vm] { return isWatching(vm); },
                .onValidityChanged = [](bool, auto, auto) {},
                .announce = [](bool) {},
                .onActivityChanged = [](bool) {},
                .random = [this] { return m_random(); } };
        }

        std::mt19937_64 m_random;
        const fleet_faults m_faults;
        const std::size_t m_vmsPerDomain;
        std::vector<std::string> m_hosts;
        std::vector<std::string> m_watchers;
        std::map<std::string, std::size_t> m_indexes;
        std::vector<fleet_vm> m_vms;
        std::vector<time_point> m_acknowledgedAt; // Of each version, from 1 on.
        std::priority_queue<fleet_event> m_events;
        std::uint64_t m_order = 0;
        time_point m_now = start;
        time_point m_nextCheck = start;
        int m_invalidChecks = 0;
        int m_lateChecks = 0;
        int m_queries = 0;
        int m_reads = 0;
        std::map<std::string, int> m_answered;
    };

}

TEST_CASE("No VM counts a withdrawn key as good later than the bound after the acknowledgement")
{
    struct row {
        const char* name;
        fleet_faults faults;
    };
    const row rows[] = {
        { "loss", { .loss = 0.3 } },
        { "late datagrams", { .loss = 0.05, .lateShare = 0.4, .maxLateDelay = milliseconds(7'000) } },
        { "a slow store", { .maxStoreDelay = milliseconds(900) } },
        { "suspended VMs", { .lateShare = 0.1, .maxLateDelay = milliseconds(3'000), .suspensions = 20 } },
        { "restarts", { .restarts = 20 } },
        { "cut links", { .cuts = 5 } },
        { "a store that is away or turns some VMs away", { .storeOutages = 5 } },
        { "all together",
            { .loss = 0.1,
                .lateShare = 0.2,
                .maxLateDelay = milliseconds(7'000),
                .maxStoreDelay = milliseconds(400),
                .suspensions = 8,
                .restarts = 8,
                .cuts = 3,
                .storeOutages = 3 } },
    };
    constexpr int seeds = 40;
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        int invalidChecks = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            CAPTURE(seed);
            virtual_fleet fleet(seed, 3, 4, each.faults);
            fleet.plan();
            fleet.runUntil(start + milliseconds(55'000));
            CHECK(fleet.lateChecks() == 0);
            invalidChecks += fleet.invalidChecks();
            // Guards against keys that stay invalid once the faults are over, the last after 45 s.
            fleet.resetCounts();
            fleet.runUntil(start + milliseconds(56'000));
            CHECK(fleet.invalidChecks() == 0);
        }
        MESSAGE(std::string(each.name) << ": keys invalid at " << invalidChecks << " checks");
    }
}

TEST_CASE("In calm no VM refuses a key")
{
    struct row {
        const char* name;
        fleet_faults faults;
        std::size_t domains;
        std::size_t vmsPerDomain;
    };
    const row rows[] = {
        { "no faults", {}, 4, 9 },
        { "one VM", {}, 1, 1 },
        { "some loss", { .loss = 0.02, .maxDelay = milliseconds(20) }, 4, 9 },
        { "slow links", { .maxDelay = milliseconds(120) }, 4, 9 },
        { "the store is away for up to 2 s",
            { .storeOutages = 1, .maxStoreOutage = milliseconds(2'000), .isStoreOutageForAll = true }, 4, 9 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            CAPTURE(seed);
            virtual_fleet fleet(seed, each.domains, each.vmsPerDomain, each.faults);
            fleet.runUntil(start + milliseconds(1'000));
            fleet.plan();
            fleet.resetCounts();
            fleet.runUntil(start + milliseconds(31'000));
            CHECK(fleet.invalidChecks() == 0);
            CHECK(fleet.lateChecks() == 0);
        }
    }
}

TEST_CASE("The exchange costs about two queries a second and VM, at any size of the fleet")
{
    struct row {
        std::size_t domains;
        std::size_t vmsPerDomain;
        int seconds;
    };
    const row rows[] = { { 4, 33, 20 }, { 38, 68, 6 } };
    for (const auto& each : rows) {
        virtual_fleet fleet(1, each.domains, each.vmsPerDomain, {});
        constexpr milliseconds startTime { 4'000 }; // All VMs start at once, and some ask twice.
        fleet.runUntil(start + startTime);
        CHECK(fleet.reads() == 0);
        fleet.resetCounts();
        fleet.runUntil(start + startTime + std::chrono::seconds(each.seconds));
        double perVm
            = static_cast<double>(fleet.queries()) / static_cast<double>(fleet.size()) / each.seconds;
        double busiest = static_cast<double>(fleet.mostQueriesAnswered()) / each.seconds;
        MESSAGE(fleet.size() << " VMs: " << perVm << " queries a second and VM, " << busiest
                             << " answers a second of the busiest, " << fleet.reads() << " direct reads");
        CHECK(perVm <= 2.2);
        CHECK(busiest <= 2.2 * static_cast<double>(each.vmsPerDomain));
        CHECK(fleet.reads() == 0);
    }
}

}
