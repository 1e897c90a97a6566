#include "marlsill/peer/peer_network.h"

#include "marlsill/events/events.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace marlsill::peer {

namespace {

    constexpr std::chrono::milliseconds handshakeTimeout { 2000 };
    constexpr std::chrono::milliseconds redialDelay { 500 };

    std::optional<transport_address> parseAddress(const std::string& text)
    {
        auto colon = text.rfind(':');
        if (colon == std::string::npos) {
            return std::nullopt;
        }
        transport_address address { text.substr(0, colon) };
        auto [end, error] = std::from_chars(text.data() + colon + 1, text.data() + text.size(), address.port);
        return error == std::errc() && end == text.data() + text.size() ? std::optional(address)
                                                                        : std::nullopt;
    }

}

peer_network::peer_network(peer_network_options options, message_function onMessage, link_function onLink)
    : m_options(std::move(options))
    , m_onMessage(std::move(onMessage))
    , m_onLink(std::move(onLink))
    , m_transport(m_options.listen,
          { [this](link_id link, bool isOutgoing) { opened(link, isOutgoing); },
              [this](link_id link) { closed(link); },
              [this](link_id link, const std::string& payload) { received(link, payload); },
              [this] { ticked(); } })
    , m_address(m_transport.address().host + ":" + std::to_string(m_transport.address().port))
{
}

void peer_network::run(const std::stop_token& stop)
{
    std::stop_callback onStop(stop, [this] { m_transport.stop(); });
    m_transport.run();
}

void peer_network::send(const std::string& peerAddress, message body)
{
    m_transport.post([this, peerAddress, sent = envelope { 0, false, std::move(body) }]() mutable {
        sendNow(peerAddress, std::move(sent));
    });
}

peer_network::sent_request peer_network::startRequest(const std::string& peerAddress, message body)
{
    sent_request request;
    {
        std::lock_guard lock(m_mutex);
        request.number = m_nextRequestNumber++;
        auto& pending = m_pendingRequests[request.number];
        pending.peerAddress = peerAddress;
        request.reply = pending.reply.get_future();
    }
    m_transport.post(
        [this, peerAddress, sent = envelope { request.number, false, std::move(body) }]() mutable {
            sendNow(peerAddress, std::move(sent));
        });
    return request;
}

std::optional<message> peer_network::awaitReply(sent_request request, deadline limit)
{
    bool isReady = request.reply.wait_until(limit) == std::future_status::ready;
    {
        std::lock_guard lock(m_mutex);
        m_pendingRequests.erase(request.number);
    }
    return isReady ? request.reply.get() : std::nullopt;
}

std::optional<message> peer_network::ask(const std::string& peerAddress, message body, deadline limit)
{
    return awaitReply(startRequest(peerAddress, std::move(body)), limit);
}

std::size_t peer_network::askAll(
    const std::vector<std::string>& peerAddresses, const message& body, deadline limit)
{
    std::vector<sent_request> requests;
    for (const auto& each : peerAddresses) {
        requests.push_back(startRequest(each, body));
    }
    std::size_t replies = 0;
    for (auto& each : requests) {
        replies += awaitReply(std::move(each), limit) ? 1 : 0;
    }
    return replies;
}

void peer_network::keepLinks(std::vector<std::string> peerAddresses)
{
    m_transport.post([this, addresses = std::move(peerAddresses)] {
        m_keptAddresses = { addresses.begin(), addresses.end() };
        m_keptAddresses.erase(m_address);
    });
}

void peer_network::setDropFilter(std::function<bool(const std::string&)> filter)
{
    m_transport.post([this, filter = std::move(filter)] { m_dropFilter = filter; });
}

void peer_network::opened(link_id link, bool isOutgoing)
{
    auto found = m_links.find(link);
    if (!isOutgoing) {
        auto state = std::make_unique<link_state>(session_role::acceptor, *this);
        state->handshakeDeadline = deadlineAfter(handshakeTimeout);
        m_links[link] = std::move(state);
    } else if (found != m_links.end()) {
        m_transport.send(link, found->second->session.start());
    }
}

void peer_network::closed(link_id link)
{
    auto found = m_links.find(link);
    if (found == m_links.end()) {
        return;
    }
    auto state = std::move(found->second);
    m_links.erase(found);
    auto address = remoteAddress(*state);
    auto byAddress = m_linkByAddress.find(address);
    if (byAddress != m_linkByAddress.end() && byAddress->second == link) {
        m_linkByAddress.erase(byAddress);
    }
    m_counts.links = m_links.size();
    if (!state->dialedAddress.empty()) {
        m_nextDialAt[state->dialedAddress] = deadlineAfter(redialDelay);
    }
    failRequestsTo(address);
    if (state->session.isOpen()) {
        logEvent(event::peerLinkDown, { { "peer", address } });
        m_onLink(state->session.remote(), false);
    } else if (!state->dialedAddress.empty()) {
        m_onLink({ "", state->dialedAddress }, false);
    }
}

void peer_network::received(link_id link, const std::string& payload)
{
    auto found = m_links.find(link);
    if (found == m_links.end()) {
        return;
    }
    auto& state = *found->second;
    m_counts.bytesReceived += payload.size();
    reason why;
    auto result = state.session.receive(payload, why);
    if (!result) {
        ++m_counts.dropped;
        logEvent(event::peerMessageDropped, { { "peer", remoteAddress(state) }, { "cause", why.text } });
        if (!state.session.isOpen()) {
            m_transport.close(link);
        }
        return;
    }
    if (result->reply) {
        m_transport.send(link, *result->reply);
    }
    if (result->hasOpened) {
        auto now = steady_clock::now();
        state.lastEcho = now;
        state.nextHeartbeat = now;
        state.idleDeadline = now + m_options.idleTimeout;
        m_linkByAddress[state.session.remote().peerAddress] = link;
        m_counts.links = m_links.size();
        logEvent(event::peerLinkUp, { { "peer", remoteAddress(state) } });
        m_onLink(state.session.remote(), true);
        for (const auto& each : std::exchange(state.queued, {})) {
            sendOn(link, state, each);
        }
    }
    if (result->received) {
        handleMessage(link, state, std::move(*result->received));
    }
}

void peer_network::handleMessage(link_id link, link_state& state, envelope received)
{
    if (const auto* ping = std::get_if<heartbeat>(&received.body)) {
        sendOn(link, state, { 0, false, heartbeat_echo { ping->number } });
        return;
    }
    if (std::holds_alternative<heartbeat_echo>(received.body)) {
        state.lastEcho = steady_clock::now();
        return;
    }
    state.idleDeadline = deadlineAfter(m_options.idleTimeout);
    if (received.isReply) {
        std::lock_guard lock(m_mutex);
        auto found = m_pendingRequests.find(received.request);
        if (found != m_pendingRequests.end()) {
            found->second.reply.set_value(std::move(received.body));
            m_pendingRequests.erase(found);
        }
        return;
    }
    auto reply = m_onMessage(state.session.remote(), received.body);
    if (reply && received.request != 0) {
        sendOn(link, state, { received.request, true, std::move(*reply) });
    }
}

void peer_network::ticked()
{
    auto now = steady_clock::now();
    std::vector<link_id> linksToClose;
    for (auto& [link, state] : m_links) {
        bool isOpen = state->session.isOpen();
        bool isUnresponsive
            = isOpen && now - state->lastEcho > m_options.heartbeat * m_options.maxMissedHeartbeats;
        bool isIdle = isOpen && hasPassed(state->idleDeadline, now) && !isKept(remoteAddress(*state));
        bool isHandshakeOverdue = !isOpen && hasPassed(state->handshakeDeadline, now);
        if (isUnresponsive || isIdle || isHandshakeOverdue) {
            linksToClose.push_back(link);
        } else if (isOpen) {
            sendHeartbeatIfDue(link, *state, now);
        }
    }
    for (auto link : linksToClose) {
        m_transport.close(link);
        closed(link);
    }
    for (const auto& address : m_keptAddresses) {
        auto nextDial = m_nextDialAt.find(address);
        bool mayDial = nextDial == m_nextDialAt.end() || hasPassed(nextDial->second, now);
        if (mayDial && !m_linkByAddress.contains(address)) {
            dial(address, std::nullopt);
        }
    }
}

void peer_network::sendHeartbeatIfDue(link_id link, link_state& state, steady_clock::time_point now)
{
    if (!hasPassed(state.nextHeartbeat, now)) {
        return;
    }
    sendOn(link, state, { 0, false, heartbeat { ++state.lastHeartbeat } });
    state.nextHeartbeat = now + m_options.heartbeat;
}

void peer_network::sendNow(const std::string& peerAddress, envelope sent)
{
    link_id link = 0;
    if (auto* state = openLinkTo(peerAddress, link)) {
        state->idleDeadline = deadlineAfter(m_options.idleTimeout);
        sendOn(link, *state, sent);
        return;
    }
    for (auto& [id, state] : m_links) {
        if (state->dialedAddress == peerAddress && !state->session.isOpen()) {
            if (state->queued.size() < m_options.maxQueuedPerLink) {
                state->queued.push_back(std::move(sent));
            }
            return;
        }
    }
    dial(peerAddress, std::move(sent));
}

void peer_network::dial(const std::string& peerAddress, std::optional<envelope> firstMessage)
{
    auto parsed = parseAddress(peerAddress);
    bool isDialing = std::any_of(m_links.begin(), m_links.end(), [&](const auto& item) {
        return item.second->dialedAddress == peerAddress && !item.second->session.isOpen();
    });
    if (!parsed || isDialing || m_links.size() >= m_options.maxLinks) {
        return;
    }
    auto state = std::make_unique<link_state>(session_role::connector, *this);
    state->dialedAddress = peerAddress;
    state->handshakeDeadline = deadlineAfter(handshakeTimeout);
    if (firstMessage) {
        state->queued.push_back(std::move(*firstMessage));
    }
    m_links[m_transport.connect(*parsed)] = std::move(state);
}

void peer_network::sendOn(link_id link, link_state& state, const envelope& sent)
{
    auto payload = state.session.seal(sent);
    if (isDropped(remoteAddress(state))) {
        return;
    }
    m_counts.bytesSent += payload.size();
    ++m_counts.messagesSent;
    m_transport.send(link, std::move(payload));
}

peer_network::link_state* peer_network::openLinkTo(const std::string& peerAddress, link_id& link)
{
    auto found = m_linkByAddress.find(peerAddress);
    if (found == m_linkByAddress.end()) {
        return nullptr;
    }
    link = found->second;
    return m_links.at(link).get();
}

bool peer_network::isDropped(const std::string& peerAddress) const
{
    return m_dropFilter && m_dropFilter(peerAddress);
}

bool peer_network::isKept(const std::string& peerAddress) const
{
    return m_keptAddresses.contains(peerAddress);
}

std::string peer_network::remoteAddress(const link_state& state) const
{
    return state.session.isOpen() ? state.session.remote().peerAddress : state.dialedAddress;
}

void peer_network::failRequestsTo(const std::string& peerAddress)
{
    std::lock_guard lock(m_mutex);
    for (auto each = m_pendingRequests.begin(); each != m_pendingRequests.end();) {
        if (each->second.peerAddress == peerAddress) {
            each->second.reply.set_value(std::nullopt);
            each = m_pendingRequests.erase(each);
        } else {
            ++each;
        }
    }
}

}
