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

    constexpr std::chrono::milliseconds operatorDrainLimit { 5'000 };
    constexpr std::chrono::milliseconds handoverLimit { 5'000 };
    constexpr std::chrono::milliseconds spreadPause { 300 }; // For the last news to reach the neighbours.
    constexpr std::chrono::milliseconds recordLimit { 3'000 };
    constexpr int operatorWorkers = 4;

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

    std::vector<std::string> splitAddresses(const std::string& text)
    {
        std::vector<std::string> addresses;
        std::istringstream words(text);
        for (std::string word; std::getline(words, word, ',');) {
            if (http::parseAddress(word)) {
                addresses.push_back(word);
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
            .seeds = splitAddresses(settings.text("seeds")),
            .watchersPerRegion = static_cast<int>(settings.integer("watchers")),
            .heartbeat = milliseconds(settings, "heartbeat-ms"),
            .clockSkew = milliseconds(settings, "max-clock-skew-ms") };
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
    , m_facts(m_platform,
          { .incarnation = m_incarnation,
              .key = settings.text("fleet-key"),
              .sealPause = milliseconds(settings, "record-ms") })
    , m_dispatcher(m_pool, m_quarantine, { .maxBufferedResponseBytes = size(settings, "whole-answer-bytes") })
    , m_ledger(
          m_incarnation, { .maxEntries = size(settings, "max-keys") }, steady_clock::now(), wall_clock::now())
    , m_handler(
          { m_snapshots, m_dispatcher, m_ledger,
              [this](const key_question& question, deadline limit) {
                  return m_fleet.resolveKey(question, limit);
              },
              [this](const std::string& key, deadline limit, reason& why) { return claim(key, limit, why); },
              [this](const request_report& report) { m_facts.countRequest(report); } },
          { .incarnation = m_incarnation,
              .requestLimits = { .maxBodyBytes = size(settings, "request-bytes") },
              .directoryTtl = milliseconds(settings, "directory-ttl-ms") })
    , m_callerServer({ .address = addressOf(settings, "caller-address"),
                         .workers = static_cast<int>(settings.integer("workers")),
                         .maxConnections = size(settings, "max-connections") },
          [this](http::channel& caller) { return m_handler.serve(caller); })
    , m_fleet(fleetOptions(settings, m_incarnation, m_callerServer.address().toString()),
          { m_platform, m_snapshots, m_tree, m_dispatcher, m_ledger, m_quarantine, m_facts,
              [this](bool isReady) { m_handler.setReady(isReady); } })
    , m_operatorApi({ settings.text("operator-key"), m_tree,
          [this](const auto& submitted, deadline limit) { return m_fleet.submit(submitted, limit); },
          [this] { return statusJson(); },
          [this](std::string_view kind, const std::string& name) { return explainJson(kind, name); },
          [this] { return metricsText(); } })
    , m_operatorServer({ .address = addressOf(settings, "operator-address"), .workers = operatorWorkers },
          [this](http::channel& caller) { return m_operatorApi.serve(caller); })
    , m_fleetParts("fleet")
    , m_root("daemon")
{
    if (!m_fleet.isBound()) {
        throw Poco::Exception("cannot listen at peer address", settings.text("peer-address"));
    }
    m_quarantine.setAnnounceFunction(
        [this](const suspicion_notice& notice) { m_fleet.announceSuspicion(notice); });
    m_fleet.addParts(m_fleetParts);
    m_root.add("fleet", m_fleetParts.asPart());
    m_root.add("recorder", [this](const std::stop_token& stop) { m_facts.run(stop); });
}

node::~node()
{
    m_platform.abort();
    m_root.stop();
}

void node::start()
{
    m_callerServer.start();
    m_operatorServer.start();
    m_root.start();
    m_facts.add({ .kind = record::fact_kind::started, .name = m_settings.text("name") });
    logEvent(event::daemonStarted,
        { { "name", m_settings.text("name") }, { "incarnation", m_incarnation },
            { "caller_address", m_callerServer.address().toString() },
            { "operator_address", m_operatorServer.address().toString() },
            { "peer_address", m_fleet.peers().address() } });
}

void node::stop()
{
    logEvent(event::daemonStopping, { { "incarnation", m_incarnation } });
    m_fleet.leave();
    m_handler.closeAfterResponses();
    std::this_thread::sleep_for(milliseconds(m_settings, "directory-ttl-ms"));
    m_callerServer.drain(deadlineAfter(milliseconds(m_settings, "drain-limit-ms")));
    m_fleet.handOverKeys(deadlineAfter(handoverLimit));
    std::this_thread::sleep_for(spreadPause);
    m_operatorServer.drain(deadlineAfter(operatorDrainLimit));
    if (!m_facts.close(deadlineAfter(recordLimit))) {
        logEvent(event::recordGap, { { "cause", "the platform did not take the last segments" } });
    }
    m_platform.abort();
    m_root.stop();
    logEvent(event::daemonStopped, { { "incarnation", m_incarnation } });
}

std::optional<key_claim> node::claim(const std::string& scopedKey, deadline limit, reason& why)
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
        { "platform", status.isPlatformAway ? "away" : "available" },
        { "watches_platform", status.isWatcher }, { "ready", m_handler.isReady() },
        { "members", std::move(members) } };
    return value.dump() + "\n";
}

std::string node::explainJson(std::string_view kind, const std::string& name)
{
    if (kind == "key") {
        auto known = m_fleet.explainKey(name);
        return known.empty() ? known : nlohmann::json({ { "key", name }, { "state", known } }).dump() + "\n";
    }
    auto list = nlohmann::json::array();
    for (const auto& each : m_fleet.explain(name)) {
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
    auto line = [&text](const char* name, std::uint64_t value) {
        text << "# TYPE marlsill_" << name << " counter\nmarlsill_" << name << " " << value << "\n";
    };
    line("attempts_total", requests.attempts);
    line("retries_total", requests.retries);
    line("refused_by_upstream_total", requests.refusedByUpstream);
    line("refused_here_total", requests.refusedHere);
    line("silent_connections_total", requests.silentConnections);
    line("cancelled_total", requests.cancelled);
    line("peer_bytes_sent_total", peers.bytesSent);
    line("peer_bytes_received_total", peers.bytesReceived);
    line("peer_messages_dropped_total", peers.dropped);
    line("platform_reads_total", platformCalls.reads);
    line("platform_writes_total", platformCalls.writes);
    line("platform_watches_total", platformCalls.watches);
    line("platform_held_back_total", platformCalls.heldBack);
    line("keys_held", m_ledger.size());
    line("caller_connections", m_callerServer.connections());
    return text.str();
}

}
