// Tests of planned stops at arbitrary moments of callers' connections, and of a VM that runs late at the end.

#include "testing/gateway_thread.h"
#include "testing/raw_caller.h"
#include "testing/scripted_upstream.h"

#include <Poco/Exception.h>
#include <atomic>
#include <doctest/doctest.h>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>

namespace marlsill::testing {

namespace {

    using std::chrono::milliseconds;

    std::shared_ptr<const gateway::configuration> makeConfiguration(
        milliseconds timeout, milliseconds objective)
    {
        std::vector<gateway::route> routes;
        for (bool isAtMostOnce : { true, false }) {
            routes.push_back({ .name = isAtMostOnce ? "once" : "repeat",
                .host = "h.example",
                .pathPrefix = isAtMostOnce ? "/once/" : "/repeat/",
                .isAtMostOnce = isAtMostOnce,
                .timeout = timeout,
                .latencyObjective = objective,
                .maxUpstreams = 2,
                .weightedServices = { { "s" } } });
        }
        return std::make_shared<const gateway::configuration>(5, std::move(routes), gateway::caller_limits());
    }

    std::unique_ptr<gateway_thread> makeVm(const std::vector<scripted_upstream*>& upstreams, int slots,
        milliseconds minDrain, std::shared_ptr<const gateway::configuration> config)
    {
        gateway::gateway_options options;
        options.minDrainTime = minDrain;
        options.forwarding.retryWindow = milliseconds(50);
        options.forwarding.fleetRetrySlack = 1'000;
        auto vm = std::make_unique<gateway_thread>(options);
        vm->run([&](gateway::gateway& entry) {
            std::vector<placement::upstream_entry> entries;
            for (auto* each : upstreams) {
                entries.push_back(
                    { .id = each->id(), .service = "s", .address = each->address(), .slots = slots });
            }
            entry.requestForwarder().setConfiguration(config);
            entry.requestForwarder().changeUpstreams(entries, {});
            entry.setUpstreamsKnown();
            entry.requestForwarder().sweep();
        });
        std::this_thread::sleep_for(milliseconds(100));
        return vm;
    }

    // Ends the event loop's work as the end of the process does: nothing runs after it.
    void endLoop(std::promise<void>& done)
    {
        done.set_value();
        std::this_thread::sleep_for(milliseconds(300)); // Until the loop is stopped from outside.
    }

    std::string requestText(bool isOnce, const std::string& id, bool isChunked)
    {
        gateway::wire_fields fields;
        std::string head = std::string(isOnce ? "POST /once/a" : "GET /repeat/a")
            + " HTTP/1.1\r\nHost: h.example\r\n" + fields.requestId + ": " + id + "\r\n" + fields.timeoutMs
            + ": 5000\r\n";
        if (!isOnce) {
            return head + "\r\n";
        }
        return isChunked ? head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
                         : head + "Content-Length: 5\r\n\r\nabcde";
    }

}

TEST_CASE("A stop at any moment leaves no request unanswered that an upstream has run")
{
    constexpr int rounds = 10;
    constexpr unsigned seed = 1;
    int total = 0;
    int answeredTotal = 0;
    int crossed = 0;
    for (int round = 0; round < rounds; ++round) {
        scripted_upstream first("u0", gateway::wire_fields());
        scripted_upstream second("u1", gateway::wire_fields());
        first.setWorkTime(milliseconds(3));
        second.setWorkTime(milliseconds(15));
        auto vm = makeVm({ &first, &second }, 40, milliseconds(100),
            makeConfiguration(milliseconds(3'000), milliseconds(200)));
        auto address = vm->address();
        std::mutex mutex;
        std::map<std::string, std::string> kinds; // Of unanswered requests.
        std::atomic<bool> isDone = false;
        std::atomic<int> sent = 0;
        std::vector<std::thread> callers;
        for (int index = 0; index < 16; ++index) {
            callers.emplace_back([&, index] {
                std::mt19937 random(seed * 7919 + static_cast<unsigned>(round * 101 + index));
                auto below
                    = [&](int limit) { return static_cast<int>(random() % static_cast<unsigned>(limit)); };
                int number = 0;
                while (!isDone) {
                    try {
                        raw_caller caller(address);
                        for (bool isOpen = true; isOpen && !isDone;) {
                            int depth = below(4) == 0 ? 1 + below(4) : 1;
                            std::vector<std::string> ids;
                            std::string text;
                            for (int each = 0; each < depth; ++each) {
                                ids.push_back("r" + std::to_string(round) + "." + std::to_string(index) + "."
                                    + std::to_string(number++));
                                text += requestText(below(2) == 0, ids.back(), below(2) == 0);
                            }
                            bool isSplit = below(3) == 0;
                            {
                                std::lock_guard lock(mutex);
                                for (auto& id : ids) {
                                    kinds[id] = "depth " + std::to_string(depth) + (isSplit ? " split" : "");
                                }
                            }
                            sent += depth;
                            if (isSplit) {
                                auto cut = static_cast<std::size_t>(below(static_cast<int>(text.size())));
                                caller.send(text.substr(0, cut));
                                std::this_thread::sleep_for(milliseconds(below(12)));
                                caller.send(text.substr(cut));
                            } else {
                                caller.send(text);
                            }
                            for (auto& id : ids) {
                                auto response = caller.receive();
                                if (response.status == 0 || !response.isWhole) {
                                    isOpen = false;
                                    break;
                                }
                                {
                                    std::lock_guard lock(mutex);
                                    kinds.erase(id);
                                }
                                if (response.has("Connection: close")) {
                                    isOpen = false;
                                    break;
                                }
                            }
                            std::this_thread::sleep_for(milliseconds(below(8)));
                        }
                    } catch (const Poco::Exception&) {
                        std::this_thread::sleep_for(milliseconds(5));
                    }
                }
            });
        }
        std::mt19937 random(seed * 31 + static_cast<unsigned>(round));
        std::this_thread::sleep_for(milliseconds(60 + random() % 40));
        // The event loop is held up, so that the stop meets many connections that are readable.
        auto holdUp = milliseconds(5 + random() % 40);
        std::promise<void> done;
        vm->post([holdUp](gateway::gateway&) { std::this_thread::sleep_for(holdUp); });
        vm->post([&](gateway::gateway& entry) {
            entry.beginStop(deadlineAfter(milliseconds(1'500)), [&] { endLoop(done); });
        });
        for (int index = 0; index < 30; ++index) {
            std::this_thread::sleep_for(milliseconds(10));
            vm->post([](gateway::gateway&) { std::this_thread::sleep_for(milliseconds(6)); });
        }
        // Callers keep coming, also while the process ends.
        done.get_future().wait();
        auto ended = std::async(std::launch::async, [&] { vm.reset(); });
        ended.wait();
        isDone = true;
        for (auto& each : callers) {
            each.join();
        }
        total += sent.load();
        answeredTotal += sent.load() - static_cast<int>(kinds.size());
        crossed += static_cast<int>(kinds.size());
        for (const auto& unanswered : kinds) {
            const auto& id = unanswered.first;
            const auto& kind = unanswered.second;
            auto runs = first.runsOf(id) + second.runsOf(id);
            CAPTURE(round);
            CAPTURE(id);
            CAPTURE(kind);
            CHECK(runs == 0);
        }
    }
    MESSAGE("sent " << total << ", answered " << answeredTotal << ", unanswered and not run or failed "
                    << crossed);
}

TEST_CASE("Requests that cross the begin of a stop on kept connections are answered or not passed on")
{
    constexpr int rounds = 10;
    constexpr int connections = 60;
    std::mt19937 random(20261204);
    auto below = [&](int limit) { return static_cast<int>(random() % static_cast<unsigned>(limit)); };
    int answered = 0;
    int notPassedOn = 0;
    for (int round = 0; round < rounds; ++round) {
        scripted_upstream upstream("u0", gateway::wire_fields());
        upstream.setWorkTime(milliseconds(1));
        auto vm = makeVm(
            { &upstream }, 200, milliseconds(100), makeConfiguration(milliseconds(3'000), milliseconds(200)));
        std::vector<raw_caller> callers;
        for (int index = 0; index < connections; ++index) {
            callers.emplace_back(vm->address());
            callers.back().sendRequest("GET", "/repeat/a", "w" + std::to_string(index), 5'000);
            REQUIRE(callers.back().receive().status == 200);
        }
        // The event loop is held up around the stop, so that both become ready in one step of it.
        upstream.setWorkTime(milliseconds(below(20)));
        std::promise<void> done;
        vm->post([](gateway::gateway&) { std::this_thread::sleep_for(milliseconds(4)); });
        std::vector<std::vector<std::string>> ids(connections);
        int stopAfter = below(connections);
        for (int index = 0; index < connections; ++index) {
            if (index == stopAfter) {
                vm->post([&](gateway::gateway& entry) {
                    entry.beginStop(deadlineAfter(milliseconds(1'500)), [&] { endLoop(done); });
                });
            }
            if (below(8) == 0) {
                vm->post([](gateway::gateway&) { std::this_thread::sleep_for(milliseconds(3)); });
            }
            std::string text;
            int depth = 1 + below(3) / 2 * below(3);
            for (int each = 0; each < depth; ++each) {
                ids[index].push_back(
                    std::to_string(round) + "." + std::to_string(index) + "." + std::to_string(each));
                text += requestText(below(2) == 0, ids[index].back(), below(2) == 0);
            }
            auto cut = below(2) == 0 ? text.size()
                                     : static_cast<std::size_t>(below(static_cast<int>(text.size())));
            try {
                callers[index].send(text.substr(0, cut));
                if (cut < text.size()) {
                    std::this_thread::sleep_for(std::chrono::microseconds(below(2'000)));
                    callers[index].send(text.substr(cut));
                }
            } catch (const Poco::Exception&) {
                continue; // Closed already.
            }
        }
        std::vector<std::pair<std::string, int>> statuses;
        for (int index = 0; index < connections; ++index) {
            for (const auto& id : ids[index]) {
                auto response = callers[index].receive();
                statuses.emplace_back(id, response.isWhole ? response.status : 0);
            }
        }
        done.get_future().wait();
        vm.reset();
        for (const auto& each : statuses) {
            const auto& id = each.first;
            int status = each.second;
            CAPTURE(id);
            answered += status != 0 ? 1 : 0;
            notPassedOn += status == 0 ? 1 : 0;
            CHECK((status != 0 || upstream.runsOf(id) == 0));
        }
    }
    MESSAGE("answered " << answered << ", not passed on " << notPassedOn);
}

TEST_CASE("Requests that are unanswered when a stop ends get an answer from a VM that runs late")
{
    // Guards against a process that ends in the step of its event loop in which it gives up its requests.
    struct row {
        const char* name;
        milliseconds heldUpFor; // The event loop, from 50 ms before the end of the stop.
    };
    const row rows[] = {
        { "in time", milliseconds(0) },
        { "100 ms late", milliseconds(150) },
        { "270 ms late", milliseconds(320) },
    };
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        scripted_upstream upstream("u0", gateway::wire_fields());
        upstream.setWorkTime(milliseconds(4'000));
        auto vm = makeVm(
            { &upstream }, 4, milliseconds(300), makeConfiguration(milliseconds(10'000), milliseconds(200)));
        raw_caller caller(vm->address());
        caller.sendRequest("POST", "/once/a", "late", 10'000, "b");
        std::this_thread::sleep_for(milliseconds(50));
        std::promise<void> done;
        auto exitAt = deadlineAfter(milliseconds(1'000));
        vm->run([&](gateway::gateway& entry) { entry.beginStop(exitAt, [&] { endLoop(done); }); });
        auto ended = std::async(std::launch::async, [&] {
            done.get_future().wait();
            vm.reset();
        });
        std::this_thread::sleep_until(exitAt - milliseconds(50));
        vm->post([&](gateway::gateway&) { std::this_thread::sleep_for(each.heldUpFor); });
        CHECK(caller.receive().status == 504);
        ended.wait();
    }
}

}
