#include "marlsill/control/config_driver.h"

#include <deque>
#include <doctest/doctest.h>
#include <memory>
#include <vector>

namespace marlsill::control {

namespace {

    constexpr steady_clock::time_point start { std::chrono::hours(1) };
    constexpr std::chrono::milliseconds tickInterval { 100 };
    constexpr int firstNumber = 10; // So that the names sort by number.

    // VMs whose drivers send each other messages. Only VMs that have joined know of each other.
    class driver_fleet {
    public:
        explicit driver_fleet(int vms)
        {
            for (int index = 0; index < vms; ++index) {
                auto name = "vm" + std::to_string(firstNumber + index);
                m_records.push_back({ .incarnation = name, .peerAddress = name });
            }
            for (const auto& record : m_records) {
                auto name = record.incarnation;
                m_drivers.push_back(std::make_unique<config_driver>(name,
                    config_callbacks { .send =
                                           [this, name](const auto& to, auto body) {
                                               m_sent.push_back({ name, to, std::move(body) });
                                           },
                        .broadcast =
                            [this, name](const auto& body, const auto& except) {
                                for (const auto& other : m_records) {
                                    if (other.incarnation != name && other.peerAddress != except) {
                                        m_sent.push_back({ name, other.peerAddress, body });
                                    }
                                }
                            },
                        .fetch = [](const auto&, auto) {} }));
            }
        }

        void join() { m_isJoined = true; }

        // Ticks every driver and delivers what they send.
        void tick()
        {
            m_now += tickInterval;
            for (std::size_t index = 0; index < m_drivers.size(); ++index) {
                auto present = m_isJoined ? m_records : std::vector { m_records[index] };
                m_drivers[index]->tick(present, m_now);
            }
            while (!m_sent.empty()) {
                auto sent = std::move(m_sent.front());
                m_sent.pop_front();
                if (m_isJoined) {
                    deliver(sent);
                }
            }
        }

        config_driver& driver(std::size_t index) { return *m_drivers[index]; }
        std::size_t size() const { return m_drivers.size(); }

    private:
        struct sent_message {
            std::string from;
            std::string to;
            peer::message body;
        };

        void deliver(const sent_message& sent)
        {
            peer::session_identity from { .incarnation = sent.from, .peerAddress = sent.from };
            for (std::size_t index = 0; index < m_records.size(); ++index) {
                if (m_records[index].peerAddress != sent.to) {
                    continue;
                }
                if (const auto* report = std::get_if<peer::config_confirmation>(&sent.body)) {
                    m_drivers[index]->receive(from, *report);
                } else if (const auto* confirmed = std::get_if<peer::config_confirmed>(&sent.body)) {
                    m_drivers[index]->receive(from, *confirmed);
                }
            }
        }

        std::vector<membership::member_record> m_records;
        std::vector<std::unique_ptr<config_driver>> m_drivers;
        std::deque<sent_message> m_sent;
        steady_clock::time_point m_now = start;
        bool m_isJoined = false;
    };

}

TEST_CASE("Every VM learns what is in force everywhere, also if it was confirmed before it joined")
{
    // Guards against a confirmation that is sent once, before the VMs are connected.
    struct row {
        const char* name;
        int vms;
        int ticksAlone; // Between the two generations and the joining.
        std::int64_t confirmedByLast; // What the last VM finds in force while it is alone.
    };
    constexpr row rows[] = {
        { "joined before the first generation", 3, 0, 0 },
        { "three VMs", 3, 1, 1 },
        { "forty VMs", 40, 1, 1 },
    };
    constexpr int ticksToLearn = 100; // Ten seconds.
    for (const auto& each : rows) {
        CAPTURE(std::string(each.name));
        driver_fleet fleet(each.vms);
        for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
            fleet.driver(vm).applied(1);
        }
        for (int tick = 0; tick < each.ticksAlone; ++tick) {
            fleet.tick();
        }
        CHECK(fleet.driver(fleet.size() - 1).inForceEverywhere() == each.confirmedByLast);
        fleet.driver(0).applied(2);
        for (int tick = 0; tick < each.ticksAlone; ++tick) {
            fleet.tick(); // The first VM confirms the second generation to itself.
        }
        for (std::size_t vm = 1; vm < fleet.size(); ++vm) {
            fleet.driver(vm).applied(2);
        }
        fleet.join();
        for (int tick = 0; tick < ticksToLearn; ++tick) {
            fleet.tick();
        }
        for (std::size_t vm = 0; vm < fleet.size(); ++vm) {
            CHECK(fleet.driver(vm).inForceEverywhere() == 2);
        }
    }
}

}
