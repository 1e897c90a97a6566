#include "marlsill/cluster/peer_mesh.h"

#include "marlsill/base/random.h"
#include "marlsill/events/events.h"
#include "marlsill/supervisor/loop_guard.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <cstdint>

namespace marlsill::cluster {

namespace {

    constexpr std::size_t membersPerDatagram = 16; // About 1 KB, below the usual MTU.
    // About 60 records at 444 VMs, 320 at 2,600; the next pings exchange the rest.
    constexpr std::size_t bucketsPerExchange = 32;
    constexpr std::size_t crashesPerDatagram = 16; // Likewise.
    constexpr std::size_t maxCrashAnswer = 1'024; // Records of one answer, about 64 KB.
    constexpr std::size_t maxCrashRequests = 40; // Hosts asked at once; some may be away themselves.

    asio::awaitable<void> sleepFor(asio::io_context& io, std::chrono::milliseconds length)
    {
        asio::steady_timer timer(io, length);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    // Returns whether a record has what peers and callers need to reach the VM.
    bool hasAddresses(const member& record)
    {
        auto colon = record.callerAddress.rfind(':');
        if (colon == std::string::npos) {
            return false;
        }
        boost::system::error_code invalid;
        asio::ip::make_address_v4(record.host, invalid);
        if (!invalid) {
            asio::ip::make_address_v4(record.callerAddress.substr(0, colon), invalid);
        }
        std::uint16_t port = 0;
        const char* end = record.callerAddress.data() + record.callerAddress.size();
        auto parsed = std::from_chars(record.callerAddress.data() + colon + 1, end, port);
        return !invalid && parsed.ec == std::errc() && parsed.ptr == end && port > 0;
    }

    std::string_view toText(member_state state)
    {
        constexpr std::string_view names[] = { "joining", "ready", "leaving" };
        return names[static_cast<int>(state)];
    }

}

peer_mesh::peer_mesh(asio::io_context& io, peer_mesh_options options, member self,
    member_list_options memberOptions, peer_mesh_handler handler)
    : m_io(io)
    , m_options(std::move(options))
    , m_handler(std::move(handler))
    , m_members(std::move(self), memberOptions)
    , m_builds(m_options.build)
    , m_socket(io)
    , m_batchTimer(io)
    , m_batches(m_options.batches)
{
}

boost::system::error_code peer_mesh::start()
{
    boost::system::error_code error;
    if (m_socket.is_open()) {
        return error;
    }
    asio::ip::udp::endpoint local(asio::ip::make_address_v4(m_members.self().host, error), m_options.port);
    if (!error) {
        m_socket.open(local.protocol(), error);
    }
    if (!error) {
        m_socket.bind(local, error);
    }
    if (error) {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        return error;
    }
    m_socket.non_blocking(true, error);
    spawnSupervised(m_io, "peers/receive", [this] { return receiveLoop(); });
    spawnSupervised(m_io, "peers/ping", [this] { return tickLoop(); });
    spawnSupervised(m_io, "peers/load", [this] { return loadLoop(); });
    return {};
}

void peer_mesh::setState(member_state state)
{
    if (m_members.self().state != state) {
        m_members.setState(state);
        announceSelf();
    }
}

void peer_mesh::setCutOff(bool isCutOff)
{
    if (m_members.self().isCutOff != isCutOff) {
        m_members.setCutOff(isCutOff);
        announceSelf();
    }
}

void peer_mesh::setStaleKeys(bool hasStaleKeys)
{
    if (m_members.self().hasStaleKeys != hasStaleKeys) {
        m_members.setStaleKeys(hasStaleKeys);
        announceSelf();
    }
}

void peer_mesh::announceSelf()
{
    peer_message message;
    message.members.push_back(m_members.self());
    sendToAll(m_members.reachableHosts(), message);
}

void peer_mesh::send(const std::string& host, peer_message message)
{
    message.sender = m_members.self().host;
    sendDatagram(host, encode(message));
}

void peer_mesh::sendToAll(std::span<const std::string> hosts, const peer_message& message)
{
    if (hosts.empty()) {
        return;
    }
    auto own = message;
    own.sender = m_members.self().host;
    auto bytes = encode(own);
    for (const auto& host : hosts) {
        sendDatagram(host, bytes);
    }
}

bool peer_mesh::hasOtherSeeds() const
{
    return std::any_of(m_options.seeds.begin(), m_options.seeds.end(),
        [this](const auto& each) { return each != m_members.self().host; });
}

void peer_mesh::sendDatagram(const std::string& host, std::span<const std::uint8_t> bytes)
{
    boost::system::error_code error;
    asio::ip::udp::endpoint to(asio::ip::make_address_v4(host, error), m_options.port);
    if (error) {
        return;
    }
    m_socket.send_to(
        asio::buffer(bytes.data(), bytes.size()), to, 0, error); // Dropped if the send buffer is full.
    ++m_counters.sent;
    m_counters.bytesSent += bytes.size();
}

void peer_mesh::sendMembers(const std::string& host, std::span<const member> records)
{
    for (std::size_t start = 0; start < records.size(); start += membersPerDatagram) {
        peer_message message;
        auto end = std::min(records.size(), start + membersPerDatagram);
        message.members.assign(records.begin() + static_cast<std::ptrdiff_t>(start),
            records.begin() + static_cast<std::ptrdiff_t>(end));
        send(host, std::move(message));
    }
}

// Sends the records of those buckets that differ from a peer's, and requests the peer's.
void peer_mesh::exchangeMembers(const std::string& host, std::span<const std::uint32_t> digests)
{
    auto own = m_members.bucketDigests();
    std::vector<std::size_t> different;
    for (std::size_t bucket = 0; bucket < std::min(own.size(), digests.size()); ++bucket) {
        if (own[bucket] != digests[bucket]) {
            different.push_back(bucket);
        }
    }
    std::shuffle(different.begin(), different.end(), threadRandom());
    different.resize(std::min(different.size(), bucketsPerExchange));
    sendMembers(host, m_members.recordsIn(different));
    peer_message request;
    request.wantedBuckets = std::move(different);
    send(host, std::move(request));
}

void peer_mesh::sendCrashes(const std::string& host)
{
    peer_message message;
    message.crashes = m_handler.nextCrashRecords(crashesPerDatagram);
    if (!message.crashes.empty()) {
        send(host, std::move(message));
    }
}

bool peer_mesh::requestCrashes()
{
    auto hosts = m_members.reachableHosts();
    std::shuffle(hosts.begin(), hosts.end(), threadRandom());
    hosts.resize(std::min(hosts.size(), maxCrashRequests));
    peer_message message;
    message.crashRequest = ++m_lastCrashRequest;
    sendToAll(hosts, message);
    return !hosts.empty();
}

void peer_mesh::sendAllCrashes(const std::string& host, std::uint64_t request)
{
    auto records = m_handler.allCrashRecords(maxCrashAnswer);
    if (!records) {
        return;
    }
    auto parts = std::max<std::size_t>(1, (records->size() + crashesPerDatagram - 1) / crashesPerDatagram);
    for (std::size_t part = 0; part < parts; ++part) {
        auto first = part * crashesPerDatagram;
        auto last = std::min(records->size(), first + crashesPerDatagram);
        peer_message message;
        message.crashes.assign(records->begin() + static_cast<std::ptrdiff_t>(first),
            records->begin() + static_cast<std::ptrdiff_t>(last));
        message.crashAnswer = request;
        message.crashPart = static_cast<int>(part) + 1;
        message.crashParts = static_cast<int>(parts);
        send(host, std::move(message));
    }
}

void peer_mesh::answerPermitRequests(const peer_message& message)
{
    if (message.permitRequests.empty()) {
        return;
    }
    peer_message answer;
    for (const auto& each : message.permitRequests) {
        answer.permits.push_back({ each.upstream, m_handler.permitRequest(each) });
    }
    send(message.sender, std::move(answer));
}

// Records a part of an answer to requestCrashes().
void peer_mesh::noteCrashPart(const peer_message& message)
{
    if (message.crashAnswer <= m_answeredCrashRequests) {
        return;
    }
    auto& parts = m_crashParts[{ message.sender, message.crashAnswer }];
    parts.insert(message.crashPart);
    if (static_cast<int>(parts.size()) >= message.crashParts) {
        m_crashParts.clear();
        m_answeredCrashRequests = m_lastCrashRequest;
        m_handler.crashesComplete(message.sender);
    }
}

asio::awaitable<void> peer_mesh::receiveLoop()
{
    while (true) {
        asio::ip::udp::endpoint from;
        boost::system::error_code error;
        auto size = co_await m_socket.async_receive_from(
            asio::buffer(m_buffer), from, asio::redirect_error(asio::use_awaitable, error));
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            continue; // ICMP reported a closed port for an earlier datagram.
        }
        reason why;
        auto message = decodePeerMessage(std::span(m_buffer).first(size), why);
        if (!message) {
            ++m_counters.malformed;
            logEvent(
                event::peerMessageDropped, { { "from", from.address().to_string() }, { "cause", why.text } });
            continue;
        }
        ++m_counters.received;
        handleMessage(*message, from);
    }
}

void peer_mesh::mergeMembers(const std::vector<member>& records, steady_clock::time_point now)
{
    for (const auto& each : records) {
        if (!hasAddresses(each)) {
            ++m_counters.malformed;
            logEvent(event::peerMessageDropped,
                { { "host", each.host }, { "cause", "a member record without a valid address" } });
            continue;
        }
        if (!m_members.merge(each, now)) {
            continue;
        }
        logEvent(event::memberListed,
            { { "host", each.host }, { "state", std::string(toText(each.state)) },
                { "cut_off", each.isCutOff ? "1" : "0" }, { "stale_keys", each.hasStaleKeys ? "1" : "0" },
                { "incarnation", std::to_string(each.incarnation) },
                { "version", std::to_string(each.version) } });
    }
}

void peer_mesh::logBuilds() const
{
    logEvent(event::fleetBuildsChanged, { { "builds", m_builds.summary() } });
}

void peer_mesh::handleMessage(const peer_message& message, const asio::ip::udp::endpoint&)
{
    auto now = steady_clock::now();
    mergeMembers(message.members, now);
    m_members.noteMessageFrom(message.sender, now);
    for (const auto& each : message.crashes) {
        m_handler.crash(each);
    }
    for (const auto& each : message.limits) {
        m_handler.limit(each);
    }
    for (const auto& each : message.leaving) {
        m_handler.leaving(each);
    }
    answerPermitRequests(message);
    for (const auto& each : message.permits) {
        m_handler.permit(each);
    }
    if (!message.accountLimits.isEmpty() && m_handler.accountLimits) {
        peer_message answer;
        answer.accountLimits = m_handler.accountLimits(message.sender, message.accountLimits);
        if (!answer.accountLimits.isEmpty()) {
            send(message.sender, std::move(answer));
        }
    }
    if (message.crashAnswer) {
        noteCrashPart(message);
    }
    if (message.crashRequest) {
        sendAllCrashes(message.sender, message.crashRequest);
    }
    if (message.ping) {
        peer_message answer;
        answer.pong = message.ping;
        answer.build = m_options.build;
        answer.digest = m_members.digest();
        answer.crashDigest = m_handler.crashDigest();
        send(message.sender, std::move(answer));
    }
    bool isDigestMessage = message.ping || message.pong;
    bool isKnownSender = m_members.isKnown(message.sender);
    if (isDigestMessage && isKnownSender && m_builds.note(message.sender, message.build)) {
        logBuilds();
    }
    if (message.wantsMembers || (isDigestMessage && message.crashDigest != m_handler.crashDigest())) {
        sendCrashes(message.sender);
    }
    bool isDifferent = message.digest && message.digest != m_members.digest();
    if (message.wantsMembers) {
        sendMembers(message.sender, m_members.records());
    }
    if (message.pong && isDifferent) {
        peer_message request;
        request.memberDigests = m_members.bucketDigests();
        send(message.sender, std::move(request));
    }
    if (!message.memberDigests.empty()) {
        exchangeMembers(message.sender, message.memberDigests);
    }
    if (!message.wantedBuckets.empty()) {
        sendMembers(message.sender, m_members.recordsIn(message.wantedBuckets));
    }
    for (const auto& host : message.unreachableHosts) {
        m_members.noteReportedUnreachable(host, now);
    }
    if (message.wantsEvidence) {
        m_subscribers[message.sender] = now + m_options.subscriptionLifetime;
    }
    for (const auto& each : message.evidence) {
        m_handler.evidence(each);
    }
    for (const auto& each : message.loads) {
        m_handler.load(message.sender, each);
    }
    m_handler.storeUpdate(message);
}

asio::awaitable<void> peer_mesh::tickLoop()
{
    while (true) {
        tick();
        co_await sleepFor(m_io, m_options.pingInterval);
    }
}

void peer_mesh::tick()
{
    auto now = steady_clock::now();
    contactSeeds(now);
    for (const auto& host : m_members.selectPingTargets(now)) {
        peer_message message;
        message.ping = ++m_lastPingId;
        message.build = m_options.build;
        message.digest = m_members.digest();
        message.crashDigest = m_handler.crashDigest();
        send(host, std::move(message));
    }
    auto unreachable = m_members.takeUnreachable();
    if (unreachable.empty()) {
        return;
    }
    peer_message message;
    for (auto& each : unreachable) {
        if (m_builds.forget(each.host)) {
            logBuilds();
        }
        logEvent(event::memberGone,
            { { "host", each.host },
                { "cause", each.wasReported ? "reported, and pings unanswered" : "pings unanswered" } });
        if (!each.wasReported) {
            message.unreachableHosts.push_back(std::move(each.host));
        }
    }
    if (!message.unreachableHosts.empty()) {
        sendToAll(m_members.reachableHosts(), message);
    }
}

void peer_mesh::contactSeeds(steady_clock::time_point now)
{
    bool isAlone = m_members.size() == 1;
    if (m_options.seeds.empty() || (!isAlone && !hasPassed(m_nextSeedContact, now))) {
        return;
    }
    m_nextSeedContact
        = now + (++m_seedContacts < m_options.joinAttempts ? m_options.joinInterval : m_options.seedInterval);
    auto count = isAlone ? m_options.seeds.size() : 1;
    for (std::size_t index = 0; index < count; ++index) {
        const auto& seed = m_options.seeds[m_nextSeed++ % m_options.seeds.size()];
        if (seed == m_members.self().host) {
            continue;
        }
        peer_message message;
        message.members.push_back(m_members.self());
        message.wantsMembers = isAlone;
        message.ping = isAlone ? 0 : ++m_lastPingId;
        message.build = m_options.build;
        message.digest = isAlone ? 0 : m_members.digest();
        message.crashDigest = m_handler.crashDigest();
        send(seed, std::move(message));
    }
}

asio::awaitable<void> peer_mesh::loadLoop()
{
    while (true) {
        co_await sleepFor(m_io, m_options.loadInterval);
        sendLoads();
    }
}

void peer_mesh::sendLoads()
{
    for (const auto& load : m_handler.changedLoads()) {
        bool wantsEvidence = !m_handler.isServicePeer(load.upstream);
        for (const auto& host : m_handler.servicePeers(load.upstream)) {
            auto& message = m_outbox[host];
            message.loads.push_back(load);
            message.wantsEvidence = message.wantsEvidence || wantsEvidence;
        }
    }
    sendBatch();
}

// Adds the subscribers to `hosts`.
std::vector<std::string> peer_mesh::withSubscribers(std::vector<std::string> hosts)
{
    auto now = steady_clock::now();
    std::erase_if(m_subscribers, [&](const auto& each) { return hasPassed(each.second, now); });
    for (const auto& [host, until] : m_subscribers) {
        if (std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

// Returns whether evidence may come from the sender's own links or load. It goes to those VMs only that share
// the upstream, so that one VM in trouble does not take sound upstreams from a whole service.
static bool dependsOnLinks(placement::evidence_kind kind)
{
    return kind == placement::evidence_kind::unreachable || kind == placement::evidence_kind::stalled;
}

void peer_mesh::publish(const placement::upstream_evidence& evidence)
{
    bool wantsEvidence = !m_handler.isServicePeer(evidence.upstream);
    auto hosts = dependsOnLinks(evidence.kind) ? m_handler.servicePeers(evidence.upstream)
                                               : m_handler.evidencePeers(evidence.upstream);
    for (const auto& host : withSubscribers(std::move(hosts))) {
        auto& message = m_outbox[host];
        message.evidence.push_back(evidence);
        message.wantsEvidence = message.wantsEvidence || wantsEvidence;
    }
    scheduleBatch(true);
}

void peer_mesh::publish(const placement::rate_limit_notice& limit)
{
    for (const auto& host : m_members.reachableHosts()) {
        m_outbox[host].limits.push_back(limit);
    }
    scheduleBatch();
}

void peer_mesh::publish(const placement::leaving_notice& notice)
{
    for (const auto& host : withSubscribers(m_handler.servicePeers(notice.upstream))) {
        m_outbox[host].leaving.push_back(notice);
    }
    scheduleBatch();
}

void peer_mesh::publish(const placement::crash_record& crash)
{
    for (const auto& host : m_members.reachableHosts()) {
        m_outbox[host].crashes.push_back(crash);
    }
    scheduleBatch();
}

// Sends a batch soon; at once if its new message is urgent.
void peer_mesh::scheduleBatch(bool isUrgent)
{
    auto sendAt = m_batches.sendAt(isUrgent, steady_clock::now());
    if (std::exchange(m_batchAt, sendAt) == sendAt) {
        return;
    }
    m_batchTimer.expires_at(sendAt);
    m_batchTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            sendBatch();
        }
    });
}

// Sends what is due to each host. As most hosts are told the same, that is encoded once.
void peer_mesh::sendBatch()
{
    m_batches.recordSent(steady_clock::now());
    m_batchAt = {};
    const peer_message* previous = nullptr;
    std::vector<std::uint8_t> bytes;
    auto batch = std::exchange(m_outbox, {});
    for (auto& [host, message] : batch) {
        bool isSame = previous && previous->evidence == message.evidence && previous->loads == message.loads
            && previous->wantsEvidence == message.wantsEvidence && previous->crashes.empty()
            && message.crashes.empty() && previous->limits.empty() && message.limits.empty()
            && previous->leaving == message.leaving;
        if (!isSame) {
            message.sender = m_members.self().host;
            bytes = encode(message);
        }
        sendDatagram(host, bytes);
        previous = &message;
    }
}

}
