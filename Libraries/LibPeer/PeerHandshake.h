#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Godwitfork
{

enum class HandshakeRole { Dialer, Acceptor };

/// Challenge-response handshake in which both sides of a link prove that they hold the shared peer key. The dialer sends a
/// nonce, the acceptor replies with its own nonce and its proof, and the dialer sends its proof. Each proof is an
/// HMAC-SHA-256 over the role, both nonces and both incarnations, so it can be neither replayed nor reflected. The messages
/// that follow on the link are not encrypted.
class PeerHandshake
{
public:
    /// `expectedPeer` is the incarnation that the dialer connects to; an empty one accepts any peer.
    PeerHandshake(HandshakeRole role, std::string self, std::string expectedPeer, std::string sharedKey);

    enum class State { InProgress, Complete, Failed };

    /// Returns the first message of the handshake, which the dialer sends.
    std::string hello();
    /// Processes a message of the peer and returns the reply, if there is one.
    std::optional<std::string> receive(std::string_view bytes);
    State state() const;
    /// Incarnation of the peer; valid once the handshake is complete.
    const std::string &peer() const;

private:
    std::optional<std::string> fail();
    std::optional<std::string> answerHello(const std::string &incarnation, const std::string &nonce);
    std::optional<std::string> answerChallenge(const std::string &incarnation, const std::string &nonce, const std::string &proof);
    std::string computeProof(HandshakeRole prover) const;

    HandshakeRole role;
    std::string self;
    std::string expectedPeer;
    std::string sharedKey;
    std::string ownNonce;
    std::string peerNonce;
    std::string peerIncarnation;
    State currentState = State::InProgress;
};

} // namespace Godwitfork
