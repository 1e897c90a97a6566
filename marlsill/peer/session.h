#pragma once

// Authentication of one peer link: its handshake and its message authentication codes.
//
//     session link(session_role::connector, fleetKey, self);
//     send(link.start());
//     auto result = link.receive(bytes, why); // A handshake reply to send, or an authenticated message.
//
// In the handshake, each side proves that it holds the fleet key with an HMAC over the nonces of both.
// Afterwards every message carries an HMAC over its sequence number and its bytes, under a key derived for
// this link and direction, so that forged, altered, replayed, reordered and reflected messages are rejected.
// Messages are not encrypted.

#include "marlsill/base/reason.h"
#include "marlsill/peer/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marlsill::peer {

// Which side of the link this process is.
enum class session_role {
    connector,
    acceptor,
};

// Identifies the VM at one end of a link.
struct session_identity {
    std::string incarnation;
    std::string peerAddress;
};

// The result of one accepted payload.
struct receive_result {
    std::optional<std::string> reply; // The next handshake payload to send on the link.
    bool hasOpened = false; // Whether this payload completed the handshake.
    std::optional<envelope> received; // An authenticated message.
};

// One end of a link. Not thread safe.
class session {
public:
    session(session_role role, std::string fleetKey, session_identity self);

    // Returns the first handshake payload; for a connector only.
    std::string start() const;

    // Processes one payload. Returns std::nullopt and sets `why` if it is rejected. A rejected handshake
    // payload fails the session for good; a rejected message leaves the session open.
    std::optional<receive_result> receive(std::string_view payload, reason& why);

    // Returns the authenticated payload of a message. The session must be open.
    std::string seal(const envelope& sent);

    bool isOpen() const { return m_isOpen; }

    // Returns the identity of the other end. It is authenticated only if the session is open.
    const session_identity& remote() const { return m_remote; }

private:
    std::optional<receive_result> receiveHello(const envelope& received, reason& why);
    std::optional<receive_result> receiveReply(const envelope& received, reason& why);
    std::optional<receive_result> receiveConfirm(const envelope& received, reason& why);
    std::optional<receive_result> receiveSealed(std::string_view payload, reason& why);
    std::string computeProof(std::string_view role, const session_identity& prover) const;
    void open();

    const session_role m_role;
    const std::string m_fleetKey;
    const session_identity m_self;
    const std::string m_ownNonce;
    std::string m_remoteNonce;
    session_identity m_remote;
    std::string m_sendKey;
    std::string m_receiveKey;
    std::uint64_t m_sentCount = 0;
    std::uint64_t m_receivedCount = 0;
    bool m_isOpen = false;
    bool m_hasFailed = false;
};

}
