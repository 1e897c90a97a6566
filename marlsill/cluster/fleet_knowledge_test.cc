#include "marlsill/cluster/fleet_knowledge.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <memory>

namespace marlsill::cluster {

namespace {

    using std::chrono::milliseconds;

    // Some VMs of one or more failure domains in virtual time, whose messages arrive at once unless they are
    // cut off.
    struct virtual_fleet {
        struct node {
            std::unique_ptr<member_list> members;
            std::unique_ptr<fleet_knowledge> knowledge;
            bool isWatching = false;
            bool hasStore = true;
            bool isCut = false;
            std::uint64_t configuration = 0;
            std::size_t upstreams = 0;
        };

        steady_clock::time_point now { std::chrono::hours(1) };
        std::map<std::string, node> nodes;
        std::deque<std::pair<std::string, peer_message>> mail;
        static constexpr int maxMessages = 20'000; // Any storm is more.
        int delivered = 0;
        int questions = 0;
        bool losesLargeMessages = false; // All but beacons and questions.
        std::uint64_t storedConfiguration = 1;
        std::vector<placement::upstream_entry> storedUpstreams;
        std::uint64_t storeVersion = 10;

        explicit virtual_fleet(int count, int domains = 1)
        {
            std::vector<member> records;
            for (int index = 0; index < count; ++index) {
                auto host = "10.0.0." + std::to_string(index + 1);
                auto domain = std::string(1, static_cast<char>('a' + index % domains));
                records.push_back({ host, domain, host + ":80", 1, 1, member_state::ready });
            }
            for (const auto& self : records) {
                auto& each = nodes[self.host];
                each.members = std::make_unique<member_list>(self, member_list_options());
                for (const auto& other : records) {
                    each.members->learn(other, now);
                }
                each.knowledge = std::make_unique<fleet_knowledge>(
                    *each.members, fleet_knowledge_options(), actionsOf(self.host), now);
            }
            for (int index = 0; index < 24; ++index) {
                storedUpstreams.push_back(
                    { .id = "u" + std::to_string(index), .service = "s", .version = 1 });
            }
        }

        fleet_knowledge_actions actionsOf(const std::string& self)
        {
            return { .send =
                         [this, self](const std::string& host, peer_message message) {
                             message.sender = self;
                             mail.emplace_back(host, std::move(message));
                         },
                .watchStore
                = [this, self](bool isWatching, const auto&) { nodes[self].isWatching = isWatching; },
                .takeConfiguration
                = [this, self](const auto&, auto version) { nodes[self].configuration = version; },
                .takeUpstreams
                = [this, self](const auto& entries) { nodes[self].upstreams = entries.size(); } };
        }

        void deliver()
        {
            while (!mail.empty()) {
                auto [host, message] = std::move(mail.front());
                mail.pop_front();
                REQUIRE(++delivered < maxMessages);
                questions += message.wantsUpstreams || message.wantsConfiguration ? 1 : 0;
                bool isLarge = !message.configuration.empty() || !message.upstreams.empty();
                if (!(losesLargeMessages && isLarge) && !nodes[host].isCut && !nodes[message.sender].isCut) {
                    nodes[host].knowledge->take(message, now);
                }
            }
        }

        // Lets `length` pass; watchers with a path to the store read it.
        void run(milliseconds length)
        {
            for (auto until = now + length; now < until; now += milliseconds(50)) {
                for (auto& [host, each] : nodes) {
                    if (each.isWatching && each.hasStore) {
                        each.knowledge->noteStoreContact(now);
                        each.knowledge->setConfiguration("{}", storedConfiguration);
                        each.knowledge->setUpstreams(storedUpstreams, storeVersion);
                    }
                    if ((now.time_since_epoch() / milliseconds(50)) % 5 == 0) {
                        each.knowledge->tick(now);
                    }
                }
                deliver();
            }
        }

        int watchers() const
        {
            return static_cast<int>(std::count_if(
                nodes.begin(), nodes.end(), [](const auto& each) { return each.second.isWatching; }));
        }

        std::string watcher() const
        {
            for (const auto& [host, each] : nodes) {
                if (each.isWatching) {
                    return host;
                }
            }
            return {};
        }

        bool allKnow(std::uint64_t configuration, std::size_t upstreams) const
        {
            return std::all_of(nodes.begin(), nodes.end(), [&](const auto& each) {
                return each.second.isCut
                    || (each.second.configuration == configuration && each.second.upstreams == upstreams);
            });
        }

        void change()
        {
            ++storedConfiguration;
            ++storeVersion;
            storedUpstreams.push_back(
                { .id = "n" + std::to_string(storeVersion), .service = "s", .version = storeVersion });
        }
    };

}

TEST_CASE("Few VMs watch, and all know what they read")
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
        CHECK(fleet.watchers() == each.watchers);
        CHECK(fleet.allKnow(1, 24));
        fleet.change();
        fleet.run(milliseconds(100));
        CHECK(fleet.allKnow(2, 25));
    }
}

TEST_CASE("News is in force within two seconds whatever befalls the watcher")
{
    struct fault_case {
        const char* name;
        void (*strike)(virtual_fleet& fleet, const std::string& watcher);
    };
    const fault_case cases[] = {
        { "the watcher loses the store",
            [](auto& fleet, const auto& host) { fleet.nodes[host].hasStore = false; } },
        { "the watcher is cut off", [](auto& fleet, const auto& host) { fleet.nodes[host].isCut = true; } },
        { "the watcher leaves",
            [](auto& fleet, const auto& host) {
                fleet.nodes[host].isCut = true;
                for (auto& [other, each] : fleet.nodes) {
                    each.members->learn({ host, "a", "", 1, 9, member_state::leaving }, fleet.now);
                }
            } },
    };
    for (const auto& each : cases) {
        CAPTURE(each.name);
        virtual_fleet fleet(8, 2);
        fleet.run(milliseconds(5'000));
        auto watcher = fleet.watcher();
        each.strike(fleet, watcher);
        fleet.change();
        fleet.run(milliseconds(1'500));
        for (const auto& item : fleet.nodes) {
            const auto& node = item.second;
            CAPTURE(item.first);
            bool isBound = node.hasStore && !node.isCut;
            CHECK((!isBound || node.configuration == 2));
        }
    }
}

TEST_CASE("A VM that returns from a partition with an old list spreads nothing of it")
{
    // Found by days with cut VMs and a leaving upstream: what the returning VM doubted was taken as news.
    virtual_fleet fleet(8, 2);
    fleet.run(milliseconds(5'000));
    auto& [host, returning] = *fleet.nodes.begin();
    auto old = fleet.storedUpstreams;
    fleet.storedUpstreams.pop_back();
    fleet.storeVersion += 1;
    fleet.run(milliseconds(500));
    CHECK(fleet.allKnow(1, 23));
    old.back().isUnconfirmed = true;
    returning.knowledge->setUpstreams(old, fleet.storeVersion + 1);
    fleet.deliver();
    for (const auto& [other, node] : fleet.nodes) {
        CHECK((other == host || node.upstreams == 23));
    }
}

TEST_CASE("What lapsed in an outage stays in use where it was in use")
{
    virtual_fleet fleet(4, 2);
    fleet.run(milliseconds(5'000));
    fleet.storedUpstreams.back().isUnconfirmed = true;
    fleet.storeVersion += 1;
    fleet.run(milliseconds(500));
    CHECK(fleet.allKnow(1, 24));
    fleet.storedUpstreams.pop_back();
    fleet.storeVersion += 1;
    fleet.run(milliseconds(500));
    CHECK(fleet.allKnow(1, 23));
}

TEST_CASE("A lost part of a list is asked for again")
{
    virtual_fleet fleet(3);
    fleet.run(milliseconds(5'000));
    fleet.change();
    auto watcher = fleet.watcher();
    fleet.nodes[watcher].knowledge->setUpstreams(fleet.storedUpstreams, fleet.storeVersion);
    fleet.mail.clear();
    fleet.run(milliseconds(600));
    CHECK(fleet.allKnow(2, 25));
}

TEST_CASE("A change of any size arrives by differences alone")
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
        fleet.questions = 0;
        fleet.delivered = 0;
        fleet.run(milliseconds(50));
        CHECK(fleet.delivered < 100);
        CHECK(fleet.allKnow(1, fleet.storedUpstreams.size()));
        CHECK(fleet.questions == 0);
    }
}

TEST_CASE("Watchers whose lists differ at one version cause no storm")
{
    // Found by a day on which the parts of a first list were each taken for a whole one.
    virtual_fleet fleet(9, 3);
    fleet.run(milliseconds(5'000));
    int index = 0;
    for (auto& [host, node] : fleet.nodes) {
        auto own = fleet.storedUpstreams;
        own.resize(own.size() - static_cast<std::size_t>(++index));
        node.knowledge->setUpstreams(own, fleet.storeVersion);
    }
    fleet.delivered = 0;
    fleet.run(milliseconds(1'000));
    CHECK(fleet.delivered < 500);
    fleet.change();
    fleet.run(milliseconds(1'900));
    CHECK(fleet.allKnow(2, 25));
}

TEST_CASE("A VM that a watcher's answers do not reach watches by itself")
{
    // Found by a grown day: a watcher with a narrow link lost what it sent to its large failure domain.
    virtual_fleet fleet(6, 2);
    fleet.run(milliseconds(5'000));
    fleet.losesLargeMessages = true;
    fleet.change();
    fleet.run(milliseconds(1'900));
    CHECK(fleet.allKnow(2, 25));
}

TEST_CASE("Older lists and configurations change nothing")
{
    virtual_fleet fleet(2);
    fleet.run(milliseconds(5'000));
    auto& [host, node] = *fleet.nodes.begin();
    peer_message old;
    old.sender = "10.0.0.9";
    old.stamp = knowledge_stamp { 0, 1, 12345, 0 };
    old.upstreams = { { .id = "x" } };
    old.configuration = "{}";
    old.configurationVersion = 0;
    node.knowledge->take(old, fleet.now);
    CHECK(node.upstreams == 24);
    CHECK(node.configuration == 1);
}

}
