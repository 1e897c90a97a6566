#include "marlsill/peer/peer_network.h"

#include "marlsill/events/events.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace marlsill::peer {

namespace {

    constexpr std::chrono::milliseconds handshakeLimit { 2000 };
    constexpr std::chrono::milliseconds redialPause { 500 };

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

peer_network::started_request peer_network::startRequest(const std::string& peerAddress, message body)
{
    started_request request;
    {
        std::lock_guard lock(m_mutex);
        request.number = m_nextRequest++;
        auto& pending = m_pending[request.number];
        pending.peerAddress = peerAddress;
        request.reply = pending.reply.get_future();
    }
    m_transport.post(
        [this, peerAddress, sent = envelope { request.number, false, std::move(body) }]() mutable {
            sendNow(peerAddress, std::move(sent));
        });
    return request;
}

std::optional<message> peer_network::finishRequest(started_request request, deadline limit)
{
    bool isReady = request.reply.wait_until(limit) == std::future_status::ready;
    {
        std::lock_guard lock(m_mutex);
        m_pending.erase(request.number);
    }
    return isReady ? request.reply.get() : std::nullopt;
}

std::optional<message> peer_network::ask(const std::string& peerAddress, message body, deadline limit)
{
    return finishRequest(startRequest(peerAddress, std::move(body)), limit);
}

std::size_t peer_network::askAll(
    const std::vector<std::string>& peerAddresses, const message& body, deadline limit)
{
    std::vector<started_request> requests;
    for (const auto& each : peerAddresses) {
        requests.push_back(startRequest(each, body));
    }
    std::size_t replies = 0;
    for (auto& each : requests) {
        replies += finishRequest(std::move(each), limit) ? 1 : 0;
    }
    return replies;
}

void peer_network::keepLinks(std::vector<std::string> peerAddresses)
{
    m_transport.post([this, wanted = std::move(peerAddresses)] {
        m_kept = { wanted.begin(), wanted.end() };
        m_kept.erase(m_address);
    });
}

void peer_network::setDropFilter(std::function<bool(const std::string&)> drops)
{
    m_transport.post([this, drops = std::move(drops)] { m_dropsSending = drops; });
}

void peer_network::opened(link_id link, bool isOutgoing)
{
    auto found = m_links.find(link);
    if (!isOutgoing) {
        auto state = std::make_unique<link_state>(session_role::acceptor, *this);
        state->openUntil = deadlineAfter(handshakeLimit);
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
    auto address = addressOf(*state);
    auto byAddress = m_byAddress.find(address);
    if (byAddress != m_byAddress.end() && byAddress->second == link) {
        m_byAddress.erase(byAddress);
    }
    m_counts.links = m_links.size();
    if (!state->dialed.empty()) {
        m_redialAt[state->dialed] = deadlineAfter(redialPause);
    }
    failRequestsTo(address);
    if (state->session.isOpen()) {
        logEvent(event::peerLinkDown, { { "peer", address } });
        m_onLink(state->session.remote(), false);
    } else if (!state->dialed.empty()) {
        m_onLink({ "", state->dialed }, false);
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
    auto step = state.session.receive(payload, why);
    if (!step) {
        ++m_counts.dropped;
        logEvent(event::peerMessageDropped, { { "peer", addressOf(state) }, { "cause", why.text } });
        if (!state.session.isOpen()) {
            m_transport.close(link);
        }
        return;
    }
    if (step->reply) {
        m_transport.send(link, *step->reply);
    }
    if (step->isNowOpen) {
        auto now = steady_clock::now();
        state.lastEcho = now;
        state.nextHeartbeat = now;
        state.idleUntil = now + m_options.idleLimit;
        m_byAddress[state.session.remote().peerAddress] = link;
        m_counts.links = m_links.size();
        logEvent(event::peerLinkUp, { { "peer", addressOf(state) } });
        m_onLink(state.session.remote(), true);
        for (const auto& each : std::exchange(state.queued, {})) {
            transmit(link, state, each);
        }
    }
    if (step->received) {
        handle(link, state, std::move(*step->received));
    }
}

void peer_network::handle(link_id link, link_state& state, envelope received)
{
    if (const auto* beat = std::get_if<heartbeat>(&received.body)) {
        transmit(link, state, { 0, false, heartbeat_echo { beat->number } });
        return;
    }
    if (std::holds_alternative<heartbeat_echo>(received.body)) {
        state.lastEcho = steady_clock::now();
        return;
    }
    state.idleUntil = deadlineAfter(m_options.idleLimit);
    if (received.isReply) {
        std::lock_guard lock(m_mutex);
        auto found = m_pending.find(received.request);
        if (found != m_pending.end()) {
            found->second.reply.set_value(std::move(received.body));
            m_pending.erase(found);
        }
        return;
    }
    auto reply = m_onMessage(state.session.remote(), received.body);
    if (reply && received.request != 0) {
        transmit(link, state, { received.request, true, std::move(*reply) });
    }
}

void peer_network::ticked()
{
    auto now = steady_clock::now();
    std::vector<link_id> ended;
    for (auto& [link, state] : m_links) {
        bool isOpen = state->session.isOpen();
        bool isStuck = isOpen && now - state->lastEcho > m_options.heartbeat * m_options.missedHeartbeats;
        bool isIdle = isOpen && hasPassed(state->idleUntil, now) && !isKept(addressOf(*state));
        bool isUnopened = !isOpen && hasPassed(state->openUntil, now);
        if (isStuck || isIdle || isUnopened) {
            ended.push_back(link);
        } else if (isOpen) {
            heartbeatOn(link, *state, now);
        }
    }
    for (auto link : ended) {
        m_transport.close(link);
        closed(link);
    }
    for (const auto& address : m_kept) {
        auto redial = m_redialAt.find(address);
        bool mayDial = redial == m_redialAt.end() || hasPassed(redial->second, now);
        if (mayDial && !m_byAddress.contains(address)) {
            dial(address, std::nullopt);
        }
    }
}

void peer_network::heartbeatOn(link_id link, link_state& state, steady_clock::time_point now)
{
    if (!hasPassed(state.nextHeartbeat, now)) {
        return;
    }
    transmit(link, state, { 0, false, heartbeat { ++state.heartbeats } });
    state.nextHeartbeat = now + m_options.heartbeat;
}

void peer_network::sendNow(const std::string& peerAddress, envelope sent)
{
    link_id link = 0;
    if (auto* state = openLinkTo(peerAddress, link)) {
        state->idleUntil = deadlineAfter(m_options.idleLimit);
        transmit(link, *state, sent);
        return;
    }
    for (auto& [id, state] : m_links) {
        if (state->dialed == peerAddress && !state->session.isOpen()) {
            if (state->queued.size() < m_options.maxQueued) {
                state->queued.push_back(std::move(sent));
            }
            return;
        }
    }
    dial(peerAddress, std::move(sent));
}

void peer_network::dial(const std::string& peerAddress, std::optional<envelope> first)
{
    auto parsed = parseAddress(peerAddress);
    bool isDialing = std::any_of(m_links.begin(), m_links.end(), [&](const auto& item) {
        return item.second->dialed == peerAddress && !item.second->session.isOpen();
    });
    if (!parsed || isDialing || m_links.size() >= m_options.maxLinks) {
        return;
    }
    auto state = std::make_unique<link_state>(session_role::connector, *this);
    state->dialed = peerAddress;
    state->openUntil = deadlineAfter(handshakeLimit);
    if (first) {
        state->queued.push_back(std::move(*first));
    }
    m_links[m_transport.connect(*parsed)] = std::move(state);
}

void peer_network::transmit(link_id link, link_state& state, const envelope& sent)
{
    auto payload = state.session.seal(sent);
    if (isDropped(addressOf(state))) {
        return;
    }
    m_counts.bytesSent += payload.size();
    ++m_counts.messagesSent;
    m_transport.send(link, std::move(payload));
}

peer_network::link_state* peer_network::openLinkTo(const std::string& peerAddress, link_id& link)
{
    auto found = m_byAddress.find(peerAddress);
    if (found == m_byAddress.end()) {
        return nullptr;
    }
    link = found->second;
    return m_links.at(link).get();
}

bool peer_network::isDropped(const std::string& peerAddress) const
{
    return m_dropsSending && m_dropsSending(peerAddress);
}

bool peer_network::isKept(const std::string& peerAddress) const { return m_kept.contains(peerAddress); }

std::string peer_network::addressOf(const link_state& state) const
{
    return state.session.isOpen() ? state.session.remote().peerAddress : state.dialed;
}

void peer_network::failRequestsTo(const std::string& peerAddress)
{
    std::lock_guard lock(m_mutex);
    for (auto each = m_pending.begin(); each != m_pending.end();) {
        if (each->second.peerAddress == peerAddress) {
            each->second.reply.set_value(std::nullopt);
            each = m_pending.erase(each);
        } else {
            ++each;
        }
    }
}

}
