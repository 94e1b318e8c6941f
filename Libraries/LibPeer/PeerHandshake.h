#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Godwitfork
{

enum class HandshakeRole { Dialer, Acceptor };

/// Proof of the shared peer key in both directions. The dialer sends a nonce, the acceptor answers with its own nonce and
/// its proof, and the dialer sends its proof. Each proof is an HMAC-SHA-256 over the role, both nonces and both incarnations,
/// so it can be neither replayed nor reflected. The bytes that follow on the link are not encrypted.
class PeerHandshake
{
public:
    /// `expectedPeer` is the incarnation that the dialer wants to reach; empty accepts any.
    PeerHandshake(HandshakeRole role, std::string self, std::string expectedPeer, std::string sharedKey);

    enum class State { InProgress, Complete, Failed };

    /// First message of the dialer.
    std::string hello();
    /// Takes a message and returns the one to send, if any.
    std::optional<std::string> receive(std::string_view bytes);
    State state() const;
    /// Incarnation of the other side; meaningful once the handshake is complete.
    const std::string &peer() const;

private:
    std::optional<std::string> fail();
    std::optional<std::string> answerHello(const std::string &incarnation, const std::string &nonce);
    std::optional<std::string> answerChallenge(const std::string &incarnation, const std::string &nonce, const std::string &proof);
    std::string proofOf(HandshakeRole prover) const;

    HandshakeRole role;
    std::string self;
    std::string expectedPeer;
    std::string sharedKey;
    std::string ownNonce;
    std::string peerNonce;
    std::string peerName;
    State current = State::InProgress;
};

} // namespace Godwitfork
