#include "testing/crash_fleet.h"

#include "marlsill/http/field_names.h"
#include "platform/decode.h"
#include "platform/platform_fields.h"
#include "platform/testing/store_objects.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <algorithm>
#include <cstdlib>
#include <doctest/doctest.h>
#include <iostream>
#include <unistd.h>

namespace marlsill::testing {

namespace {

    using platform_adapter::platformFields;
    using std::chrono::milliseconds;

    constexpr const char* service = "s";
    constexpr const char* host = "h.example";
    constexpr const char* crashIdPrefix = "crash-"; // Of the ids of crashing requests.
    constexpr const char* quarantineText = "upstreams crashed under this request";
    constexpr int callerAddresses = 250;
    constexpr milliseconds startLimit { 10'000 };
    constexpr milliseconds tickInterval { 10 };

}

crash_fleet::crash_fleet(int entries, int upstreams, milliseconds workTime)
    : m_folder(std::filesystem::temp_directory_path()
        / ("marlsill-crash-" + std::to_string(::getpid()) + "-"
            + std::to_string(steady_clock::now().time_since_epoch().count())))
    , m_workTime(workTime)
{
    std::filesystem::create_directories(m_folder);
    m_store.put(platform_adapter::configurationKind, platform_adapter::configurationName,
        platform_adapter::configurationObject(
            1, host, service, { { "once", "/once/", true }, { "repeat", "/repeat/" } }));
    for (int index = 0; index < upstreams; ++index) {
        m_upstreams.push_back({ .number = index });
        startUpstream(m_upstreams.back(), true);
    }
    m_entries = startFleet(entries, MARLSILL_ENTRY_PROGRAM, m_folder.string(), m_store.address());
    for (const auto& each : m_entries) {
        REQUIRE(each->isRunning());
    }
}

crash_fleet::~crash_fleet()
{
    m_entries.clear();
    bool isKept = std::getenv("MARLSILL_KEEP_LOGS") != nullptr;
    if (isKept) {
        std::cout << "logs: " << m_folder.string() << '\n';
    } else {
        std::filesystem::remove_all(m_folder);
    }
}

raw_answer crash_fleet::call(std::size_t entry, const std::string& method, const std::string& path)
{
    auto from = "127.0.3." + std::to_string(1 + m_requests % callerAddresses);
    return call(entry, { .method = method, .path = path, .from = std::move(from) });
}

raw_answer crash_fleet::call(std::size_t entry, const fleet_request& request)
{
    auto body = request.method == "POST" ? request.body : std::string();
    auto account = request.account.empty()
        ? std::string()
        : std::string(http::field::clientAccount) + ": " + request.account + "\r\n";
    bool isCrashing = (request.path + "\n" + account + body).find(crashMark) != std::string::npos;
    try {
        raw_caller caller(m_entries[entry]->callerAddress(), request.from, platformFields());
        auto id = (isCrashing ? crashIdPrefix : "r") + std::to_string(++m_requests);
        caller.sendRequest(request.method, request.path, id, 2'000, body, account);
        return caller.receive();
    } catch (const Poco::Exception&) {
        return {};
    }
}

bool crash_fleet::awaitServing(std::size_t entry)
{
    auto until = deadlineAfter(startLimit);
    while (!hasPassed(until, steady_clock::now())) {
        if (call(entry, "GET", "/repeat/serving").status == 200) {
            return true;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    reportNotServing(*m_entries[entry]);
    return false;
}

void crash_fleet::tick(const restart_policy& policy)
{
    auto now = steady_clock::now();
    for (auto& each : m_upstreams) {
        if (each.server && each.server->hasCrashed()) {
            each.server.reset();
            each.restartAt = now + policy.delay;
        } else if (!each.server && policy.kind != restart_kind::never && hasPassed(each.restartAt, now)) {
            startUpstream(each, policy.kind == restart_kind::newId);
        }
    }
}

void crash_fleet::tickFor(const restart_policy& policy, milliseconds length)
{
    auto until = deadlineAfter(length);
    while (!hasPassed(until, steady_clock::now())) {
        tick(policy);
        std::this_thread::sleep_for(tickInterval);
    }
}

std::vector<steady_clock::time_point> crash_fleet::crashes() const
{
    std::lock_guard lock(m_mutex);
    return m_crashes;
}

std::ptrdiff_t crash_fleet::lateCrashes() const
{
    auto all = crashes();
    if (all.size() < crashesBeforeBound) {
        return 0;
    }
    auto bound = all[crashesBeforeBound - 1] + settleTime;
    return std::count_if(all.begin(), all.end(), [&](auto at) { return at > bound; });
}

void crash_fleet::startUpstream(upstream_slot& slot, bool hasNewId)
{
    ++slot.starts;
    if (hasNewId) {
        if (!slot.id.empty()) {
            m_store.remove(platform_adapter::upstreamKind, slot.id);
        }
        slot.id = "u" + std::to_string(slot.number) + "-" + std::to_string(slot.starts);
    }
    slot.server = std::make_unique<scripted_upstream>(slot.id, platformFields(), slot.port);
    slot.port = Poco::Net::SocketAddress(slot.server->address()).port();
    slot.server->setWorkTime(m_workTime);
    slot.server->crashOn(crashMark);
    slot.server->setRunListener([this](const std::string& request) {
        if (request.starts_with(crashIdPrefix)) {
            std::lock_guard lock(m_mutex);
            m_crashes.push_back(steady_clock::now());
        }
    });
    m_store.put(platform_adapter::upstreamKind, slot.id,
        platform_adapter::upstreamObject(service, slot.server->address(), "ready", slot.starts));
}

sound_caller::sound_caller(crash_fleet& fleet, int callers, std::vector<fleet_request> requests)
{
    for (int caller = 0; caller < callers; ++caller) {
        m_threads.emplace_back([this, &fleet, first = static_cast<std::size_t>(caller),
                                   request = requests[static_cast<std::size_t>(caller) % requests.size()]](
                                   const std::stop_token& stop) {
            for (std::size_t turn = first; !stop.stop_requested(); ++turn) {
                auto answer = fleet.call(turn % fleet.entries(), request);
                m_answered += answer.status != 0 ? 1 : 0;
                m_unanswered += answer.status == 0 ? 1 : 0;
                m_served += answer.status == 200 ? 1 : 0;
                m_quarantined += answer.body.find(quarantineText) != std::string::npos ? 1 : 0;
                std::this_thread::sleep_for(milliseconds(10));
            }
        });
    }
}

}
