#include "marlsill/entry/node.h"

#include "marlsill/base/random.h"
#include "marlsill/entry/node_settings.h"
#include "marlsill/events/events.h"
#include "marlsill/http/client.h"

#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace marlsill::entry {

namespace {

    constexpr std::chrono::milliseconds operatorDrainTimeout { 5'000 };
    constexpr std::chrono::milliseconds handoverTimeout { 5'000 };
    constexpr std::chrono::milliseconds gossipDelay { 300 }; // Lets the last update reach the neighbours.
    constexpr std::chrono::milliseconds recordCloseTimeout { 3'000 };
    constexpr int operatorWorkerCount = 4;
    // Requests are given up this long before the drain's limit, so that their answers are written by then.
    constexpr std::chrono::milliseconds finalAnswerTime { 500 };
    constexpr int minFinalAnswerTimes = 6; // Of a short limit at most this fraction (1 / n).

    std::chrono::milliseconds milliseconds(const settings_values& settings, std::string_view name)
    {
        return std::chrono::milliseconds(settings.integer(name));
    }

    std::size_t size(const settings_values& settings, std::string_view name)
    {
        return static_cast<std::size_t>(settings.integer(name));
    }

    Poco::Net::SocketAddress addressOf(const settings_values& settings, std::string_view name)
    {
        return *http::parseAddress(settings.text(name));
    }

    std::vector<std::string> parseAddressList(const std::string& text)
    {
        std::vector<std::string> addresses;
        std::istringstream items(text);
        for (std::string item; std::getline(items, item, ',');) {
            if (http::parseAddress(item)) {
                addresses.push_back(item);
            }
        }
        return addresses;
    }

    fleet_options fleetOptions(
        const settings_values& settings, const std::string& incarnation, const std::string& callerAddress)
    {
        auto peerAddress = addressOf(settings, "peer-address");
        return { .name = settings.text("name"),
            .incarnation = incarnation,
            .failureDomain = settings.text("failure-domain"),
            .region = settings.text("region"),
            .callerAddress = callerAddress,
            .peerAddress = { peerAddress.host().toString(), peerAddress.port() },
            .fleetKey = settings.text("fleet-key"),
            .seeds = parseAddressList(settings.text("seeds")),
            .watchersPerRegion = static_cast<int>(settings.integer("watchers")),
            .heartbeatInterval = milliseconds(settings, "heartbeat-ms"),
            .maxClockSkew = milliseconds(settings, "max-clock-skew-ms") };
    }

    std::string_view toText(membership::member_state state)
    {
        constexpr std::string_view names[] = { "joining", "alive", "suspected", "leaving", "gone" };
        return names[static_cast<int>(state)];
    }

}

node::node(const settings_values& settings)
    : m_settings(settings)
    , m_incarnation(randomId())
    , m_platform({ .address = addressOf(settings, "platform") })
    , m_auditRecorder(m_platform,
          { .incarnation = m_incarnation,
              .hmacKey = settings.text("fleet-key"),
              .segmentInterval = milliseconds(settings, "record-ms") })
    , m_dispatcher(m_pool, m_quarantine, { .maxBufferedResponseBytes = size(settings, "whole-answer-bytes") })
    , m_ledger(
          m_incarnation, { .maxEntries = size(settings, "max-keys") }, steady_clock::now(), wall_clock::now())
    , m_handler({ m_snapshots, m_dispatcher, m_ledger,
                    [this](const key_question& question, deadline limit) {
                        return m_fleet.resolveKey(question, limit);
                    },
                    [this](const std::string& key, deadline limit, reason& why) {
                        return claimKey(key, limit, why);
                    },
                    [this](const request_report& report) { m_auditRecorder.countRequest(report); } },
          { .incarnation = m_incarnation,
              .requestLimits = { .maxBodyBytes = size(settings, "request-bytes") },
              .directoryTtl = milliseconds(settings, "directory-ttl-ms") })
    , m_callerServer({ .address = addressOf(settings, "caller-address"),
                         .workers = static_cast<int>(settings.integer("workers")),
                         .maxConnections = size(settings, "max-connections") },
          [this](http::channel& caller) { return m_handler.serve(caller); })
    , m_fleet(fleetOptions(settings, m_incarnation, m_callerServer.address().toString()),
          { m_platform, m_snapshots, m_sharedTree, m_dispatcher, m_ledger, m_quarantine, m_auditRecorder,
              [this](bool isReady) { m_handler.setReady(isReady); } })
    , m_operatorApi({ settings.text("operator-key"), m_sharedTree,
          [this](const auto& submitted, deadline limit) { return m_fleet.submit(submitted, limit); },
          [this] { return statusJson(); },
          [this](std::string_view kind, const std::string& name) { return explainJson(kind, name); },
          [this] { return metricsText(); } })
    , m_operatorServer({ .address = addressOf(settings, "operator-address"), .workers = operatorWorkerCount },
          [this](http::channel& connection) { return m_operatorApi.serve(connection); })
    , m_fleetSupervisor("fleet")
    , m_rootSupervisor("daemon")
{
    if (!m_fleet.isBound()) {
        throw Poco::Exception("cannot listen on peer address", settings.text("peer-address"));
    }
    m_quarantine.setIncarnation(m_incarnation);
    m_quarantine.setAnnounceFunction(
        [this](const suspicion_notice& notice) { m_fleet.announceSuspicion(notice); });
    m_fleet.addThreads(m_fleetSupervisor);
    m_rootSupervisor.add("fleet", m_fleetSupervisor.asPart());
    m_rootSupervisor.add("recorder", [this](const std::stop_token& stop) { m_auditRecorder.run(stop); });
}

node::~node()
{
    m_platform.abort();
    m_rootSupervisor.stop();
}

void node::start()
{
    m_callerServer.start();
    m_operatorServer.start();
    m_rootSupervisor.start();
    m_auditRecorder.add({ .kind = record::fact_kind::started, .name = m_settings.text("name") });
    logEvent(event::daemonStarted,
        { { "name", m_settings.text("name") }, { "incarnation", m_incarnation },
            { "caller_address", m_callerServer.address().toString() },
            { "operator_address", m_operatorServer.address().toString() },
            { "peer_address", m_fleet.peers().address() } });
}

void node::stop()
{
    logEvent(event::daemonStopping, { { "incarnation", m_incarnation } });
    stopCallers();
    m_fleet.handOverKeys(deadlineAfter(handoverTimeout));
    std::this_thread::sleep_for(gossipDelay);
    m_operatorServer.drain(deadlineAfter(operatorDrainTimeout));
    if (!m_auditRecorder.close(deadlineAfter(recordCloseTimeout))) {
        logEvent(event::recordGap, { { "cause", "the last segments could not be stored in the platform" } });
    }
    m_platform.abort();
    m_rootSupervisor.stop();
    logEvent(event::daemonStopped, { { "incarnation", m_incarnation } });
}

// Serves callers until the directory responses that list this VM have expired, and ends the rest of their
// requests, each with an answer, by the drain's limit.
void node::stopCallers()
{
    auto begunAt = steady_clock::now();
    auto drainLimit = milliseconds(m_settings, "drain-limit-ms");
    auto expiredAt = begunAt + milliseconds(m_settings, "directory-ttl-ms");
    auto endAt = expiredAt + drainLimit;
    auto giveUpAt = endAt - std::min(finalAnswerTime, drainLimit / minFinalAnswerTimes);
    placement::stop_admission admission(begunAt, giveUpAt, giveUpAt - begunAt);
    m_dispatcher.beginStop(admission);
    m_fleet.leave();
    m_handler.closeAfterResponses();
    std::this_thread::sleep_until(expiredAt);
    m_callerServer.drain(std::max(expiredAt, admission.lastStartAt()));
    m_dispatcher.refuseWaiting();
    m_callerServer.drain(giveUpAt);
    m_handler.expireRequests();
    m_dispatcher.expireRequests();
    m_callerServer.drain(endAt);
}

std::optional<key_claim> node::claimKey(const std::string& scopedKey, deadline limit, reason& why)
{
    auto internalKey = dedup::keyPrefix(m_incarnation, m_ledger.windowAt(steady_clock::now())) + randomId();
    auto name = "claim/" + scopedKey;
    if (m_platform.write(name, internalKey, platform::noVersion, limit, why)) {
        return key_claim { true, internalKey };
    }
    if (why.code != reason_code::conflict && why.code != reason_code::uncertain) {
        return std::nullopt;
    }
    auto stored = m_platform.read(name, limit, why);
    if (!stored) {
        return std::nullopt;
    }
    return key_claim { stored->value == internalKey, stored->value };
}

std::string node::statusJson() const
{
    auto status = m_fleet.status();
    auto members = nlohmann::json::array();
    for (const auto& each : status.members) {
        members.push_back(
            { { "name", each.name }, { "incarnation", each.incarnation }, { "state", toText(each.state) },
                { "failure_domain", each.failureDomain }, { "caller_address", each.callerAddress } });
    }
    nlohmann::json value { { "name", m_settings.text("name") }, { "incarnation", m_incarnation },
        { "generation", status.generation }, { "in_force_everywhere", status.inForceEverywhere },
        { "platform", status.isPlatformUnavailable ? "away" : "available" },
        { "watches_platform", status.isWatcher }, { "ready", m_handler.isReady() },
        { "members", std::move(members) } };
    return value.dump() + "\n";
}

std::string node::explainJson(std::string_view kind, const std::string& name)
{
    if (kind == "key") {
        auto keyState = m_fleet.explainKey(name);
        return keyState.empty() ? keyState
                                : nlohmann::json({ { "key", name }, { "state", keyState } }).dump() + "\n";
    }
    auto list = nlohmann::json::array();
    for (const auto& each : m_fleet.explainUpstreams(name)) {
        nlohmann::json entry { { "service", each.service }, { "upstream", each.verdict.upstream },
            { "score", each.verdict.score }, { "threshold", each.verdict.threshold },
            { "weight", each.verdict.weight }, { "cause", each.verdict.cause },
            { "last_decision", each.lastDecision } };
        if (each.ejectedUntil > wall_clock::now()) {
            entry["ejected_until_unix_ms"] = toUnixMilliseconds(each.ejectedUntil);
        }
        list.push_back(std::move(entry));
    }
    return list.empty() ? std::string() : list.dump() + "\n";
}

std::string node::metricsText() const
{
    const auto& requests = m_dispatcher.counts();
    const auto& peers = m_fleet.peers().counts();
    auto platformCalls = m_platform.counts();
    std::ostringstream text;
    auto appendCounter = [&text](const char* name, std::uint64_t value) {
        text << "# TYPE marlsill_" << name << " counter\nmarlsill_" << name << " " << value << "\n";
    };
    appendCounter("attempts_total", requests.attempts);
    appendCounter("retries_total", requests.retries);
    appendCounter("refused_by_upstream_total", requests.refusedByUpstream);
    appendCounter("refused_here_total", requests.refusedHere);
    appendCounter("silent_connections_total", requests.silentConnections);
    appendCounter("cancelled_total", requests.cancelled);
    appendCounter("peer_bytes_sent_total", peers.bytesSent);
    appendCounter("peer_bytes_received_total", peers.bytesReceived);
    appendCounter("peer_messages_dropped_total", peers.dropped);
    appendCounter("platform_reads_total", platformCalls.reads);
    appendCounter("platform_writes_total", platformCalls.writes);
    appendCounter("platform_watches_total", platformCalls.watches);
    appendCounter("platform_held_back_total", platformCalls.heldBack);
    appendCounter("keys_held", m_ledger.size());
    appendCounter("caller_connections", m_callerServer.connections());
    return text.str();
}

}
