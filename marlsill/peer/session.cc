#include "marlsill/peer/session.h"

#include "marlsill/base/hash.h"
#include "marlsill/base/random.h"

namespace marlsill::peer {

namespace {

    constexpr std::size_t tagLength = 32; // Hexadecimal digits; the HMAC is truncated to 128 bits.
    constexpr std::size_t maxHandshakeBytes = 1024;

    std::string computeTag(const std::string& key, std::uint64_t sequence, std::string_view bytes)
    {
        auto authenticated = std::to_string(sequence) + ":";
        authenticated.append(bytes);
        return hmacSha256Hex(key, authenticated).substr(0, tagLength);
    }

}

session::session(session_role role, std::string fleetKey, session_identity self)
    : m_role(role)
    , m_fleetKey(std::move(fleetKey))
    , m_self(std::move(self))
    , m_ownNonce(randomId() + randomId())
{
}

std::string session::start() const
{
    return encode(
        { 0, false, hello { protocolVersion, m_self.incarnation, m_self.peerAddress, m_ownNonce } });
}

std::string session::computeProof(std::string_view role, const session_identity& prover) const
{
    bool isConnector = m_role == session_role::connector;
    const auto& connectorNonce = isConnector ? m_ownNonce : m_remoteNonce;
    const auto& acceptorNonce = isConnector ? m_remoteNonce : m_ownNonce;
    std::string text(role);
    for (const auto& each : { connectorNonce, acceptorNonce, prover.incarnation, prover.peerAddress }) {
        text += "|" + each;
    }
    return hmacSha256Hex(m_fleetKey, text);
}

void session::open()
{
    bool isConnector = m_role == session_role::connector;
    auto fromConnector = computeProof("key-from-connector", {});
    auto fromAcceptor = computeProof("key-from-acceptor", {});
    m_sendKey = isConnector ? fromConnector : fromAcceptor;
    m_receiveKey = isConnector ? fromAcceptor : fromConnector;
    m_isOpen = true;
}

std::optional<receive_result> session::receive(std::string_view payload, reason& why)
{
    if (m_hasFailed) {
        return fail(why, reason_code::invalid, "the handshake failed earlier");
    }
    if (m_isOpen) {
        return receiveSealed(payload, why);
    }
    auto received = payload.size() <= maxHandshakeBytes ? decode(payload, why) : std::nullopt;
    std::optional<receive_result> result;
    if (received && m_role == session_role::connector) {
        result = receiveReply(*received, why);
    } else if (received) {
        result = m_remoteNonce.empty() ? receiveHello(*received, why) : receiveConfirm(*received, why);
    }
    if (!result) {
        m_hasFailed = true;
        return fail(why, reason_code::invalid, "handshake rejected");
    }
    return result;
}

std::optional<receive_result> session::receiveHello(const envelope& received, reason&)
{
    const auto* request = std::get_if<hello>(&received.body);
    if (!request || request->version != protocolVersion || request->nonce.size() < tagLength) {
        return std::nullopt;
    }
    m_remote = { request->incarnation, request->peerAddress };
    m_remoteNonce = request->nonce;
    hello_reply reply { m_self.incarnation, m_self.peerAddress, m_ownNonce,
        computeProof("acceptor", m_self) };
    return receive_result { .reply = encode({ 0, false, std::move(reply) }) };
}

std::optional<receive_result> session::receiveReply(const envelope& received, reason&)
{
    const auto* reply = std::get_if<hello_reply>(&received.body);
    if (!reply) {
        return std::nullopt;
    }
    m_remote = { reply->incarnation, reply->peerAddress };
    m_remoteNonce = reply->nonce;
    if (!equalInConstantTime(reply->proof, computeProof("acceptor", m_remote))) {
        return std::nullopt;
    }
    open();
    return receive_result {
        .reply = encode({ 0, false, hello_confirm { computeProof("connector", m_self) } }), .hasOpened = true
    };
}

std::optional<receive_result> session::receiveConfirm(const envelope& received, reason&)
{
    const auto* confirm = std::get_if<hello_confirm>(&received.body);
    if (!confirm || !equalInConstantTime(confirm->proof, computeProof("connector", m_remote))) {
        return std::nullopt;
    }
    open();
    return receive_result { .hasOpened = true };
}

std::optional<receive_result> session::receiveSealed(std::string_view payload, reason& why)
{
    if (payload.size() < tagLength) {
        return fail(why, reason_code::invalid, "message is too short to hold an authentication tag");
    }
    auto bytes = payload.substr(tagLength);
    if (!equalInConstantTime(
            payload.substr(0, tagLength), computeTag(m_receiveKey, m_receivedCount, bytes))) {
        return fail(why, reason_code::invalid,
            "authentication tag does not match: message forged, altered, replayed or out of order");
    }
    ++m_receivedCount;
    auto received = decode(bytes, why);
    if (!received) {
        return std::nullopt;
    }
    return receive_result { .received = std::move(received) };
}

std::string session::seal(const envelope& sent)
{
    auto bytes = encode(sent);
    return computeTag(m_sendKey, m_sentCount++, bytes) + bytes;
}

}
