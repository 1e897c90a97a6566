#include "marlsill/cluster/store_relay.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <random>

namespace marlsill::cluster {

namespace {

    using std::chrono::milliseconds;

    // Simulates VMs in one or more failure domains in virtual time. Messages arrive at once, unless the
    // sender or the receiver is partitioned.
    struct virtual_fleet {
        struct node {
            std::unique_ptr<member_list> members;
            std::unique_ptr<store_relay> relay;
            bool isWatching = false;
            bool hasWatched = false;
            bool canReachStore = true;
            bool isPartitioned = false;
            bool isStopped = false; // Its messages wait until it goes on.
            bool isSlow = false; // Runs once a second only; its messages wait until then.
            deadline tickAt {};
            store::watch_turn turn;
            deadline watchEndsAt {}; // Of its watch of the store, unless that changes before.
            std::uint64_t readVersion = 0; // Of the store.
            std::uint64_t configuration = 0;
            std::size_t upstreams = 0;
            std::map<std::string, placement::upstream_entry> followed; // From the changes alone.
        };

        steady_clock::time_point now { std::chrono::hours(1) };
        std::vector<member> records;
        std::map<std::string, node> nodes;
        std::deque<std::pair<std::string, peer_message>> queue;
        static constexpr int maxMessages = 20'000; // A message storm exceeds this.
        int delivered = 0;
        int requests = 0;
        bool dropsLargeMessages = false; // All but beacons and requests.
        unsigned lostPerThousand = 0; // Of all messages.
        std::mt19937 lossRandom { 1 };
        std::map<std::string, int> sent; // Messages of each VM.
        std::uint64_t storedConfiguration = 1;
        std::string storedText = "{}";
        std::size_t configurationBytes = 0; // Sent between VMs.
        std::vector<placement::upstream_entry> storedUpstreams;
        std::uint64_t storeEra = 1;
        std::uint64_t storeVersion = 10;
        int storeReads = 0; // Responses of the store.

        explicit virtual_fleet(int count, int domains = 1, bool knowEachOther = true)
        {
            for (int index = 0; index < count; ++index) {
                auto host = "10.0.0." + std::to_string(index + 1);
                auto domain = std::string(1, static_cast<char>('a' + index % domains));
                records.push_back({ host, domain, host + ":80", 1, 1, member_state::ready });
            }
            for (const auto& self : records) {
                auto& each = nodes[self.host];
                each.members = std::make_unique<member_list>(self, member_list_options());
                each.relay = std::make_unique<store_relay>(
                    *each.members, store_relay_options(), actionsOf(self.host), now);
            }
            if (knowEachOther) {
                introduce(count);
            }
            for (int index = 0; index < 24; ++index) {
                storedUpstreams.push_back(
                    { .id = "u" + std::to_string(index), .service = "s", .version = 1 });
            }
        }

        // Lets all VMs know the first `count` VMs.
        void introduce(int count)
        {
            for (auto& [host, each] : nodes) {
                for (int index = 0; index < count; ++index) {
                    each.members->merge(records[static_cast<std::size_t>(index)], now);
                }
            }
        }

        store_relay_actions actionsOf(const std::string& self)
        {
            return { .send =
                         [this, self](std::span<const std::string> hosts, const peer_message& message) {
                             for (const auto& host : hosts) {
                                 queue.emplace_back(host, message);
                                 queue.back().second.sender = self;
                                 ++sent[self];
                             }
                         },
                .watchStore =
                    [this, self](bool isWatching, const auto&) {
                        nodes[self].isWatching = isWatching;
                        nodes[self].hasWatched = nodes[self].hasWatched || isWatching;
                        nodes[self].watchEndsAt = now;
                    },
                .onConfiguration
                = [this, self](const auto&, auto version) { nodes[self].configuration = version; },
                .onUpstreams = [this, self] { applyChanges(nodes[self]); },
                .setWatchTurn = [this, self](auto turn) { nodes[self].turn = turn; } };
        }

        // Follows the changes of a relay, which lead to the upstreams that it says are in use.
        static void applyChanges(node& each)
        {
            auto changes = each.relay->takeUpstreamChanges();
            for (const auto& id : changes.removed) {
                each.followed.erase(id);
            }
            for (const auto& entry : changes.changed) {
                each.followed[entry.id] = entry;
            }
            std::vector<placement::upstream_entry> followed;
            for (const auto& [id, entry] : each.followed) {
                followed.push_back(entry);
            }
            REQUIRE(followed == each.relay->upstreamsInUse());
            REQUIRE(followed.size() == each.relay->upstreamsInUseCount());
            each.upstreams = followed.size();
        }

        void deliver()
        {
            std::deque<std::pair<std::string, peer_message>> waiting; // At VMs that are stopped.
            while (!queue.empty()) {
                auto [host, message] = std::move(queue.front());
                queue.pop_front();
                if (!isRunning(nodes[host])) {
                    waiting.emplace_back(host, std::move(message));
                    continue;
                }
                REQUIRE(++delivered < maxMessages);
                configurationBytes += message.configuration ? message.configuration->bytes.size() : 0;
                requests += message.wantsUpstreams || message.wantsConfiguration ? 1 : 0;
                bool isLarge = message.configuration || !message.upstreams.empty();
                bool isLost = lossRandom() % 1'000 < lostPerThousand;
                if (!isLost && !(dropsLargeMessages && isLarge) && !nodes[host].isPartitioned
                    && !nodes[message.sender].isPartitioned) {
                    nodes[host].relay->handleMessage(message, now);
                }
            }
            queue = std::move(waiting);
        }

        bool isRunning(const node& each) const
        {
            return !each.isStopped
                && (!each.isSlow || now.time_since_epoch() % milliseconds(1'000) < milliseconds(50));
        }

        // Lets a VM that watches the store have its response, if there is one by now.
        void readStore(node& each)
        {
            bool isOver = now >= each.watchEndsAt || each.readVersion != storeVersion;
            if (!each.isWatching || !each.canReachStore || !isOver) {
                return;
            }
            ++storeReads;
            each.readVersion = storeVersion;
            each.watchEndsAt = now
                + store::waitForTurn(
                    milliseconds(1'030), each.turn, wall_clock::time_point(now.time_since_epoch()));
            each.relay->noteStoreContact(now);
            each.relay->setConfiguration(storedText, storedConfiguration);
            each.relay->setUpstreams(storedUpstreams, { storeEra, storeVersion });
            each.relay->noteConfigurationRead(now, now);
            each.relay->noteUpstreamsRead(now, now);
        }

        // Advances the clock by `length`; watchers that can reach the store watch it.
        void run(milliseconds length)
        {
            for (auto until = now + length; now < until; now += milliseconds(50)) {
                for (auto& [host, each] : nodes) {
                    if (!isRunning(each)) {
                        continue;
                    }
                    readStore(each);
                    if (now >= each.tickAt) {
                        each.relay->tick(now);
                        each.tickAt = each.relay->nextTickAt(now);
                        readStore(each);
                    }
                }
                deliver();
            }
        }

        int watcherCount() const
        {
            return static_cast<int>(std::count_if(
                nodes.begin(), nodes.end(), [](const auto& each) { return each.second.isWatching; }));
        }

        // Returns the hosts in the order in which they are elected.
        std::vector<std::string> byRank() const
        {
            std::vector<std::string> hosts;
            for (const auto& [host, each] : nodes) {
                hosts.push_back(host);
            }
            std::sort(hosts.begin(), hosts.end(), [this](const auto& left, const auto& right) {
                return nodes.at(left).relay->electionRank() < nodes.at(right).relay->electionRank();
            });
            return hosts;
        }

        std::string firstWatcher() const
        {
            for (const auto& [host, each] : nodes) {
                if (each.isWatching) {
                    return host;
                }
            }
            return {};
        }

        bool allHave(std::uint64_t configuration, std::size_t upstreams) const
        {
            return std::all_of(nodes.begin(), nodes.end(), [&](const auto& each) {
                return each.second.isPartitioned
                    || (each.second.configuration == configuration && each.second.upstreams == upstreams);
            });
        }

        void changeStore()
        {
            ++storedConfiguration;
            ++storeVersion;
            storedUpstreams.push_back(
                { .id = "n" + std::to_string(storeVersion), .service = "s", .version = storeVersion });
        }
    };

}

TEST_CASE("Few VMs watch the store and relay it to all")
{
    struct size_case {
        int vms;
        int domains;
        int watchers;
    };
    const size_case cases[] = { { 1, 1, 1 }, { 8, 1, 2 }, { 8, 2, 2 }, { 30, 3, 3 } };
    for (const auto& each : cases) {
        CAPTURE(each.vms);
        virtual_fleet fleet(each.vms, each.domains);
        fleet.run(milliseconds(5'000));
        CHECK(fleet.watcherCount() == each.watchers);
        CHECK(fleet.allHave(1, 24));
        fleet.changeStore();
        fleet.run(milliseconds(100));
        CHECK(fleet.allHave(2, 25));
    }
}

TEST_CASE("Every VM knows the other watchers, and those of its failure domain")
{
    struct row {
        int vms;
        int domains;
        int watchersOfDomain;
    };
    const row rows[] = { { 1, 1, 1 }, { 8, 1, 2 }, { 8, 2, 1 }, { 30, 3, 1 } };
    for (const auto& each : rows) {
        CAPTURE(each.vms);
        virtual_fleet fleet(each.vms, each.domains);
        fleet.run(milliseconds(5'000));
        for (const auto& [host, node] : fleet.nodes) {
            int own = node.relay->isWatching() ? 1 : 0;
            CHECK(node.relay->electedHostsOfDomain().size()
                == static_cast<std::size_t>(each.watchersOfDomain - own));
            CHECK(node.relay->electedHosts().size()
                == static_cast<std::size_t>(each.watchersOfDomain * each.domains - own));
            for (const auto& watcher : node.relay->electedHostsOfDomain()) {
                CHECK(fleet.nodes.at(watcher).relay->isWatching());
                CHECK(fleet.nodes.at(watcher).members->self().failureDomain
                    == node.members->self().failureDomain);
            }
        }
    }
}

TEST_CASE("VMs that start together and learn of each other slowly do not all watch the store")
{
    // Guards against each VM of a large fleet listing all upstreams because it knows too few others.
    constexpr int vms = 60;
    virtual_fleet fleet(vms, 5, false);
    for (int known = 3; known <= vms; known += 19) {
        fleet.run(milliseconds(250));
        fleet.introduce(known);
    }
    fleet.run(milliseconds(3'000));
    CHECK(fleet.allHave(1, 24));
    CHECK(std::count_if(fleet.nodes.begin(), fleet.nodes.end(), [](const auto& each) {
        return each.second.hasWatched;
    }) <= 5);
}

TEST_CASE("Changes take effect within two seconds when a watcher fails")
{
    struct fault_case {
        const char* name;
        void (*inject)(virtual_fleet& fleet, const std::string& watcher);
    };
    const fault_case cases[] = {
        { "the watcher loses the store",
            [](auto& fleet, const auto& host) { fleet.nodes[host].canReachStore = false; } },
        { "the watcher is partitioned",
            [](auto& fleet, const auto& host) { fleet.nodes[host].isPartitioned = true; } },
        { "the watcher leaves",
            [](auto& fleet, const auto& host) {
                fleet.nodes[host].isPartitioned = true;
                for (auto& [other, each] : fleet.nodes) {
                    each.members->merge({ host, "a", "", 1, 9, member_state::leaving }, fleet.now);
                }
            } },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        virtual_fleet fleet(8, 2);
        fleet.run(milliseconds(5'000));
        auto watcher = fleet.firstWatcher();
        each.inject(fleet, watcher);
        fleet.changeStore();
        fleet.run(milliseconds(1'500));
        for (const auto& item : fleet.nodes) {
            const auto& node = item.second;
            CAPTURE(item.first);
            bool isConnected = node.canReachStore && !node.isPartitioned;
            CHECK((!isConnected || node.configuration == 2));
        }
    }
}

TEST_CASE("While the store is away few VMs try it, and whoever reaches it first tells all")
{
    // Guards against each of hundreds of VMs reading the whole list when the store is back.
    struct row {
        const char* name;
        int vms;
        int domains;
        milliseconds outage;
        int reachableFrom; // The rank of the best VM of each domain that the store then answers.
        int mostWatchers;
        milliseconds recovery; // Until all VMs have what changed meanwhile.
    };
    const row rows[] = {
        { "a few seconds", 200, 5, milliseconds(4'000), 0, 50, milliseconds(500) },
        { "long", 200, 5, milliseconds(9'000), 0, 100, milliseconds(500) },
        { "the watchers are turned away", 200, 5, milliseconds(1'000), 1, 30, milliseconds(2'500) },
        { "the first VMs are turned away", 200, 5, milliseconds(1'000), 3, 40, milliseconds(4'000) },
        { "a small fleet", 9, 3, milliseconds(4'000), 0, 9, milliseconds(500) },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        virtual_fleet fleet(each.vms, each.domains);
        fleet.run(milliseconds(5'000));
        REQUIRE(fleet.watcherCount() == each.domains);
        for (auto& [host, node] : fleet.nodes) {
            node.canReachStore = false;
        }
        fleet.delivered = 0;
        fleet.run(each.outage);
        CHECK(fleet.watcherCount() <= each.mostWatchers);
        std::map<std::string, int> seen; // VMs of each domain, in the order of election.
        for (const auto& host : fleet.byRank()) {
            auto& node = fleet.nodes[host];
            node.canReachStore = seen[node.members->self().failureDomain]++ >= each.reachableFrom;
        }
        fleet.changeStore();
        fleet.delivered = 0;
        fleet.run(each.recovery);
        CHECK(fleet.allHave(2, 25));
        CHECK(fleet.watcherCount() <= each.mostWatchers);
        fleet.delivered = 0;
        fleet.run(milliseconds(15'000));
        fleet.delivered = 0;
        fleet.changeStore();
        fleet.run(milliseconds(1'500));
        CHECK(fleet.allHave(3, 26));
        CHECK(fleet.watcherCount() <= each.domains * (2 + each.reachableFrom));
    }
}

TEST_CASE("A change is in force on all VMs in time, whichever VMs lose the store as it is made")
{
    // Guards against a loss of all watchers that is noticed by one time limit after another: first until
    // their last response counts as old, then until beacons that say so count as missing.
    enum class loss { cut, killed, stopped, slow };
    struct row {
        const char* name;
        int vms;
        int domains;
        int lost; // Of each domain, in the order of election; those that lose the store.
        int lostDomains; // In which that happens.
        loss kind;
        int mostReaders; // VMs of the fleet that watch the store within the bound, with those that lost it.
    };
    const row rows[] = {
        { "all watchers are cut off", 18, 3, 1, 3, loss::cut, 9 },
        { "one watcher is cut off", 18, 3, 1, 1, loss::cut, 3 },
        { "the watchers of two domains are cut off", 18, 3, 1, 2, loss::cut, 6 },
        { "all watchers and the next VMs are cut off", 18, 3, 2, 3, loss::cut, 12 },
        { "the first three VMs of all domains are cut off", 36, 3, 3, 3, loss::cut, 12 },
        { "all watchers are killed", 18, 3, 1, 3, loss::killed, 9 },
        { "one watcher is killed", 18, 3, 1, 1, loss::killed, 5 },
        { "the watchers of two domains are killed", 18, 3, 1, 2, loss::killed, 7 },
        { "all watchers and the next VMs are killed", 18, 3, 2, 3, loss::killed, 12 },
        { "the first four VMs of all domains are killed", 18, 3, 4, 3, loss::killed, 18 },
        { "all watchers are stopped", 18, 3, 1, 3, loss::stopped, 9 },
        { "all watchers run once a second", 18, 3, 1, 3, loss::slow, 9 },
        { "one watcher runs once a second", 18, 3, 1, 1, loss::slow, 6 },
        { "two failure domains, all watchers are cut off", 8, 2, 1, 2, loss::cut, 6 },
        { "one failure domain, both watchers are cut off", 8, 1, 2, 1, loss::cut, 5 },
        { "one failure domain, both watchers are killed", 8, 1, 2, 1, loss::killed, 5 },
        { "a large fleet, all watchers are cut off", 444, 5, 1, 5, loss::cut, 15 },
        { "a large fleet, all watchers are killed", 444, 5, 1, 5, loss::killed, 15 },
    };
    constexpr milliseconds storeReadTime { 0 }; // In this fleet; the rest of the budget's is a reserve.
    constexpr milliseconds resolution { 50 };
    const propagation_budget budget;
    const auto limit = budget.total() - budget.readTime - budget.applicationTime + storeReadTime + resolution;
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        for (auto moment = milliseconds(0); moment < milliseconds(1'000); moment += milliseconds(250)) {
            CAPTURE(moment.count());
            virtual_fleet fleet(each.vms, each.domains);
            fleet.run(milliseconds(5'000) + moment);
            REQUIRE(fleet.watcherCount() == std::max(2, each.domains));
            std::map<std::string, int> seen; // VMs of each domain, in the order of election.
            std::set<std::string> lost;
            for (const auto& host : fleet.byRank()) {
                auto& node = fleet.nodes[host];
                const auto& domain = node.members->self().failureDomain;
                bool isLost = seen[domain]++ < each.lost && domain[0] - 'a' < each.lostDomains;
                if (isLost) {
                    lost.insert(host);
                    node.canReachStore = each.kind == loss::slow;
                    node.isPartitioned = each.kind == loss::killed;
                    node.isStopped = each.kind == loss::killed || each.kind == loss::stopped;
                    node.isSlow = each.kind == loss::slow;
                }
            }
            fleet.delivered = 0;
            fleet.changeStore();
            fleet.run(limit);
            for (const auto& item : fleet.nodes) {
                CAPTURE(item.first);
                bool isInForce = item.second.configuration == 2 && item.second.upstreams == 25;
                CHECK((lost.contains(item.first) || isInForce));
            }
            CHECK(fleet.watcherCount() <= each.mostReaders);
        }
    }
}

TEST_CASE("In calm only the elected VMs read the store, once a second each")
{
    // Guards against VMs that take lost or late beacons for the loss of the watchers, and against more calls.
    struct row {
        const char* name;
        int vms;
        int domains;
        unsigned lostPerThousand;
        int mostExtraReads; // In a minute.
    };
    const row rows[] = {
        { "a small fleet", 18, 3, 0, 0 },
        { "two failure domains", 8, 2, 0, 0 },
        { "one failure domain", 8, 1, 0, 0 },
        { "a large fleet", 444, 5, 0, 0 },
        { "a small fleet that loses one message of fifty", 36, 3, 20, 10 },
    };
    constexpr int seconds = 60;
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        virtual_fleet fleet(each.vms, each.domains);
        fleet.run(milliseconds(5'000));
        fleet.lostPerThousand = each.lostPerThousand;
        fleet.storeReads = 0;
        for (int second = 0; second < seconds; ++second) {
            fleet.delivered = 0;
            fleet.run(milliseconds(1'000));
        }
        auto watchers = std::max(2, each.domains);
        CHECK(fleet.storeReads <= watchers * (seconds + 1) + each.mostExtraReads);
    }
}

TEST_CASE("A VM that was stopped does not take the store from the watchers")
{
    // Guards against a busy VM that decides before it has read the beacons that wait in its socket.
    virtual_fleet fleet(18, 3);
    fleet.run(milliseconds(5'000));
    for (auto& [host, node] : fleet.nodes) {
        node.isStopped = !node.isWatching;
    }
    fleet.run(milliseconds(3'000));
    for (auto& [host, node] : fleet.nodes) {
        node.isStopped = false;
    }
    fleet.delivered = 0;
    fleet.run(milliseconds(1'000));
    CHECK(fleet.watcherCount() == 3);
}

TEST_CASE("A VM states as of when it has the store's contents, and whom it has that from")
{
    struct row {
        const char* name;
        std::optional<store_reading> reading; // Of a beacon; none from an earlier build.
        std::uint64_t configuration; // That the beacon describes.
        bool isKnown;
        const char* reader;
        milliseconds age;
    };
    const row rows[] = {
        { "a VM that another one has told", store_reading { 300, "10.0.0.8" }, 1, true, "10.0.0.8",
            milliseconds(300) },
        { "a VM of an earlier build", std::nullopt, 1, true, "10.0.0.9", milliseconds(60) },
        { "a VM with a later configuration", store_reading { 300, "10.0.0.8" }, 2, false, "", {} },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto now = steady_clock::now();
        member_list members({ .host = "10.0.0.1", .failureDomain = "a" }, {});
        store_relay relay(members, {},
            { .send = [](auto, const auto&) {},
                .watchStore = [](auto, const auto&) {},
                .onConfiguration = [](const auto&, auto) {},
                .onUpstreams = [] {} },
            now);
        relay.setConfiguration("{}", 1);
        peer_message beacon;
        beacon.sender = "10.0.0.9";
        beacon.isBeacon = true;
        beacon.summary = store_summary { each.configuration, {}, relay.upstreamDigest(), 60 };
        beacon.reading = each.reading;
        relay.handleMessage(beacon, now);
        CHECK(relay.knowledge().reader == each.reader);
        CHECK(relay.knowledge().source == (each.isKnown ? "10.0.0.9" : ""));
        CHECK((!each.isKnown || relay.knowledge().asOf == now - each.age));
    }
}

TEST_CASE("A change reaches all VMs of a large fleet in time, and costs the busiest VM little")
{
    struct row {
        const char* name;
        int vms;
        int domains;
        unsigned lostPerThousand;
        milliseconds limit; // Until all VMs have the change.
        int mostMessages; // Of any VM meanwhile.
        int mostWatchers; // One a domain, and those that lost too much.
    };
    const row rows[] = {
        { "a grown fleet", 95, 3, 0, milliseconds(100), 200, 3 },
        { "a large fleet", 444, 5, 0, milliseconds(100), 400, 5 },
        { "a large fleet with losses", 444, 5, 25, milliseconds(2'000), 2'000, 15 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        virtual_fleet fleet(each.vms, each.domains);
        fleet.run(milliseconds(5'000));
        REQUIRE(fleet.allHave(1, 24));
        fleet.lostPerThousand = each.lostPerThousand;
        for (int change = 2; change <= 4; ++change) {
            fleet.delivered = 0;
            fleet.sent.clear();
            fleet.changeStore();
            fleet.run(each.limit);
            CHECK(fleet.allHave(static_cast<std::uint64_t>(change), static_cast<std::size_t>(23 + change)));
            CHECK(fleet.watcherCount() <= each.mostWatchers);
            auto busiest = std::max_element(fleet.sent.begin(), fleet.sent.end(),
                [](const auto& left, const auto& right) { return left.second < right.second; });
            CHECK((busiest == fleet.sent.end() || busiest->second <= each.mostMessages));
        }
    }
}

TEST_CASE("A VM that returns from a partition does not spread its old list")
{
    // An upstream leaves while a VM is partitioned. Guards against other VMs accepting the unconfirmed entry
    // that the returning VM still has.
    virtual_fleet fleet(8, 2);
    fleet.run(milliseconds(5'000));
    auto& [host, returning] = *fleet.nodes.begin();
    auto old = fleet.storedUpstreams;
    fleet.storedUpstreams.pop_back();
    fleet.storeVersion += 1;
    fleet.run(milliseconds(500));
    CHECK(fleet.allHave(1, 23));
    old.back().isUnconfirmed = true;
    returning.relay->setUpstreams(old, { fleet.storeEra, fleet.storeVersion + 1 });
    fleet.deliver();
    for (const auto& [other, node] : fleet.nodes) {
        CHECK((other == host || node.upstreams == 23));
    }
}

TEST_CASE("An entry that became unconfirmed in an outage stays in use where it was in use")
{
    virtual_fleet fleet(4, 2);
    fleet.run(milliseconds(5'000));
    fleet.storedUpstreams.back().isUnconfirmed = true;
    fleet.storeVersion += 1;
    fleet.run(milliseconds(500));
    CHECK(fleet.allHave(1, 24));
    fleet.storedUpstreams.pop_back();
    fleet.storeVersion += 1;
    fleet.run(milliseconds(500));
    CHECK(fleet.allHave(1, 23));
}

TEST_CASE("A lost delta is recovered by a request")
{
    virtual_fleet fleet(3);
    fleet.run(milliseconds(5'000));
    fleet.changeStore();
    auto watcher = fleet.firstWatcher();
    fleet.nodes[watcher].relay->setUpstreams(fleet.storedUpstreams, { fleet.storeEra, fleet.storeVersion });
    fleet.queue.clear();
    fleet.run(milliseconds(600));
    CHECK(fleet.allHave(2, 25));
}

TEST_CASE("A change of any size arrives by deltas alone")
{
    const int sizes[] = { 1, 9, 10, 11, 60 };
    for (int size : sizes) {
        CAPTURE(size);
        virtual_fleet fleet(4, 2);
        fleet.run(milliseconds(5'000));
        fleet.storeVersion += 1;
        for (int index = 0; index < size; ++index) {
            fleet.storedUpstreams.push_back(
                { .id = "n" + std::to_string(index), .service = "s", .version = 90 });
        }
        fleet.storedUpstreams.erase(
            fleet.storedUpstreams.begin(), fleet.storedUpstreams.begin() + std::min(size, 20));
        fleet.requests = 0;
        fleet.delivered = 0;
        fleet.run(milliseconds(50));
        CHECK(fleet.delivered < 100);
        CHECK(fleet.allHave(1, fleet.storedUpstreams.size()));
        CHECK(fleet.requests == 0);
    }
}

TEST_CASE("Watchers whose lists differ at the same version cause no message storm")
{
    // Guards against a message storm that arose when each chunk of an initial list was taken for a whole
    // list.
    virtual_fleet fleet(9, 3);
    fleet.run(milliseconds(5'000));
    int index = 0;
    for (auto& [host, node] : fleet.nodes) {
        auto own = fleet.storedUpstreams;
        own.resize(own.size() - static_cast<std::size_t>(++index));
        node.relay->setUpstreams(own, { fleet.storeEra, fleet.storeVersion });
    }
    fleet.delivered = 0;
    fleet.run(milliseconds(1'000));
    CHECK(fleet.delivered < 500);
    fleet.changeStore();
    fleet.run(milliseconds(1'900));
    CHECK(fleet.allHave(2, 25));
}

TEST_CASE("A VM that receives beacons but no answers watches the store itself")
{
    // A watcher with little bandwidth may lose large messages to the VMs of a large failure domain, but not
    // its beacons. Guards against those VMs keeping their old data.
    virtual_fleet fleet(6, 2);
    fleet.run(milliseconds(5'000));
    fleet.dropsLargeMessages = true;
    fleet.changeStore();
    fleet.run(milliseconds(1'900));
    CHECK(fleet.allHave(2, 25));
}

TEST_CASE("A configuration of any size reaches all VMs, and a change costs what it changes")
{
    // Guards against every VM reading a large configuration from the store, and against changes that cost
    // the whole of it.
    auto textOf = [](int routes, int timeout) {
        std::string text = "{\"rows\":[";
        for (int number = 0; number < routes; ++number) {
            text += "[\"r" + std::to_string(number * 7919 % 100'003) + "\",\"h.example\",\"/p"
                + std::to_string(number * 104'729 % 1'000'003) + "/\","
                + std::to_string(number == routes / 2 ? timeout : 1'000) + ",\"s\"],";
        }
        return text + "[]]}";
    };
    struct row {
        const char* name;
        int routesBefore;
        int routesAfter;
        std::size_t mostBytesPerVm; // Of the change.
    };
    const row rows[] = {
        { "one value of a few routes", 10, 10, 200 },
        { "one value of many routes", 8'000, 8'000, 200 },
        { "1,400 routes more", 10, 1'410, 40'000 },
        { "all but ten removed", 1'410, 10, 300 },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        constexpr int vms = 12;
        virtual_fleet fleet(vms, 2);
        fleet.storedText = textOf(each.routesBefore, 1'000);
        REQUIRE(fleet.storedText.size() <= maxConfigurationBytes);
        fleet.run(milliseconds(5'000));
        REQUIRE(fleet.allHave(1, 24));
        fleet.configurationBytes = 0;
        fleet.delivered = 0;
        fleet.storedText = textOf(each.routesAfter, 2'000);
        fleet.changeStore();
        fleet.run(milliseconds(500));
        CHECK(fleet.allHave(2, 25));
        CHECK(fleet.watcherCount() == 2);
        CHECK(fleet.configurationBytes < vms * each.mostBytesPerVm);
    }
}

TEST_CASE("A list is newer by the era of the store first")
{
    // Guards against a VM that keeps its list, as the store gives out versions again after it came back from
    // a copy.
    struct row {
        const char* name;
        placement::store_position position; // Of a peer's list of one upstream.
        bool isAccepted;
    };
    const row rows[] = {
        { "a later era, a lower version", { 2, 3 }, true },
        { "the same era, a lower version", { 1, 3 }, false },
        { "the same era, a higher version", { 1, 30 }, true },
        { "an earlier build, which states no era", { 0, 30 }, true },
        { "an earlier build, a lower version", { 0, 3 }, false },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        virtual_fleet fleet(3);
        fleet.run(milliseconds(5'000));
        auto found = std::find_if(fleet.nodes.begin(), fleet.nodes.end(),
            [](const auto& node) { return !node.second.relay->isWatching(); });
        REQUIRE(found != fleet.nodes.end());
        auto& node = found->second;
        REQUIRE(node.relay->storePosition() == placement::store_position { 1, 10 });
        upstream_list list;
        list.put({ .id = "x", .service = "s", .version = 1 });
        peer_message message;
        message.sender = "10.0.0.9";
        message.summary = store_summary { 1, each.position, list.digest(), 0 };
        message.upstreams = { list.entries().at("x") };
        node.relay->handleMessage(message, fleet.now);
        CHECK(node.upstreams == (each.isAccepted ? 1 : 24));
        CHECK(node.relay->storePosition().era
            == std::max<std::uint64_t>(1, each.isAccepted ? each.position.era : 1));
        // What a VM of the earlier era still tells does not replace it.
        message.summary->storePosition = { 1, 99 };
        message.summary->upstreamDigest = list.digest() + 1;
        node.relay->handleMessage(message, fleet.now);
        CHECK(node.upstreams == (each.isAccepted ? 1 : 24));
    }
}

TEST_CASE("A VM that has just started takes nothing from a VM that was away")
{
    // Guards against upstreams that had left, or routes that had been removed, in use again after a restart.
    struct row {
        const char* name;
        std::uint64_t contactAgeMs; // That the peer states.
        milliseconds sinceStart;
        bool isTaken;
    };
    const row rows[] = {
        { "the peer was away", 8'000, milliseconds(300), false },
        { "the peer knows the store", 200, milliseconds(300), true },
        { "the store is away for all", 8'000, milliseconds(1'000), true },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        auto start = steady_clock::now();
        auto now = start + each.sinceStart;
        member_list members({ .host = "10.0.0.1", .failureDomain = "a" }, {});
        int requests = 0;
        store_relay relay(members, {},
            { .send = [&](auto, const auto& message) { requests += message.wantsUpstreams ? 1 : 0; },
                .watchStore = [](auto, const auto&) {},
                .onConfiguration = [](const auto&, auto) {},
                .onUpstreams = [] {} },
            start);
        upstream_list list;
        list.put({ .id = "x", .service = "s", .version = 1 });
        peer_message beacon;
        beacon.sender = "10.0.0.9";
        beacon.isBeacon = true;
        beacon.summary = store_summary { 1, { 1, 9 }, list.digest(), each.contactAgeMs };
        relay.handleMessage(beacon, now);
        CHECK(requests == (each.isTaken ? 1 : 0));
        auto answer = beacon;
        answer.isBeacon = false;
        answer.upstreams = { list.entries().at("x") };
        relay.handleMessage(answer, now);
        CHECK(relay.upstreamsInUseCount() == (each.isTaken ? 1 : 0));
    }
}

TEST_CASE("Beacons report the store's availability to their sender, and no other message does")
{
    virtual_fleet fleet(2);
    store_relay_actions actions = fleet.actionsOf("10.0.0.1");
    actions.availability = [] { return std::optional(availability_report { 40, 5'000 }); };
    store_relay relay(*fleet.nodes.at("10.0.0.1").members, {}, actions, fleet.now);
    relay.tick(fleet.now + milliseconds(600));
    relay.tick(fleet.now + milliseconds(1'100));
    relay.setUpstreams(fleet.storedUpstreams, { 1, 10 });
    relay.tick(fleet.now + milliseconds(1'350));
    int beacons = 0;
    for (const auto& [host, message] : fleet.queue) {
        CHECK(message.availability.has_value() == message.isBeacon);
        CHECK((!message.availability || message.availability->spanMs == 5'000));
        beacons += message.isBeacon ? 1 : 0;
    }
    CHECK(beacons > 0);
    CHECK(static_cast<std::size_t>(beacons) < fleet.queue.size());
}

TEST_CASE("Older lists and configurations are ignored")
{
    virtual_fleet fleet(2);
    fleet.run(milliseconds(5'000));
    auto& [host, node] = *fleet.nodes.begin();
    peer_message old;
    old.sender = "10.0.0.9";
    old.summary = store_summary { 0, { 0, 1 }, 12345, 0 };
    old.upstreams = { { .id = "x" } };
    old.configuration = makeParts("{}", 0, {}).front();
    node.relay->handleMessage(old, fleet.now);
    CHECK(node.upstreams == 24);
    CHECK(node.configuration == 1);
}

}
