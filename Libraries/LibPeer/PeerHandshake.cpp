#include "LibPeer/PeerHandshake.h"

#include "LibCore/CborDepth.h"
#include "LibCore/Digest.h"
#include "LibPeer/PeerMessage.h"

#include <nlohmann/json.hpp>
#include <openssl/rand.h>

#include <array>

namespace Godwitfork
{

namespace
{
using Json = nlohmann::json;

constexpr std::size_t nonceBytes = 32;
constexpr std::size_t maxIncarnationBytes = 128;
constexpr int maxHandshakeDepth = 1;

// Uses the cryptographic generator: with predictable nonces, an attacker could collect proofs in advance.
std::string makeNonce()
{
    std::array<unsigned char, nonceBytes> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return {};
    }
    return sha256Hex(std::string_view(reinterpret_cast<const char *>(bytes.data()), bytes.size()));
}

std::string toCbor(const Json &message)
{
    std::string bytes;
    Json::to_cbor(message, bytes);
    return bytes;
}

std::string stringField(const Json &message, const char *key)
{
    return message.contains(key) && message[key].is_string() ? message[key].get<std::string>() : std::string();
}

bool isValidIncarnation(const std::string &incarnation)
{
    return !incarnation.empty() && incarnation.size() <= maxIncarnationBytes && incarnation.find('\n') == std::string::npos;
}
} // namespace

PeerHandshake::PeerHandshake(HandshakeRole role, std::string self, std::string expectedPeer, std::string sharedKey)
    : role(role), self(std::move(self)), expectedPeer(std::move(expectedPeer)), sharedKey(std::move(sharedKey)), ownNonce(makeNonce())
{
    // An empty key would authenticate every process that has no key either.
    if (this->sharedKey.empty() || this->ownNonce.empty()) {
        this->currentState = State::Failed;
    }
}

PeerHandshake::State PeerHandshake::state() const
{
    return this->currentState;
}

const std::string &PeerHandshake::peer() const
{
    return this->peerIncarnation;
}

std::string PeerHandshake::hello()
{
    return toCbor({{"type", "hello"}, {"incarnation", this->self}, {"nonce", this->ownNonce}});
}

std::optional<std::string> PeerHandshake::fail()
{
    this->currentState = State::Failed;
    return std::nullopt;
}

std::string PeerHandshake::computeProof(HandshakeRole prover) const
{
    const bool isDialer = this->role == HandshakeRole::Dialer;
    const std::string &dialer = isDialer ? this->self : this->peerIncarnation;
    const std::string &acceptor = isDialer ? this->peerIncarnation : this->self;
    const std::string &dialerNonce = isDialer ? this->ownNonce : this->peerNonce;
    const std::string &acceptorNonce = isDialer ? this->peerNonce : this->ownNonce;
    const std::string label = prover == HandshakeRole::Dialer ? "godwitfork peer dialer" : "godwitfork peer acceptor";
    // Incarnations contain no line break, so different inputs never give the same text.
    return hmacSha256Hex(this->sharedKey, label + '\n' + dialer + '\n' + acceptor + '\n' + dialerNonce + '\n' + acceptorNonce);
}

std::optional<std::string> PeerHandshake::answerHello(const std::string &incarnation, const std::string &nonce)
{
    if (!isValidIncarnation(incarnation) || nonce.size() != this->ownNonce.size() || incarnation == this->self) {
        return this->fail();
    }
    this->peerIncarnation = incarnation;
    this->peerNonce = nonce;
    return toCbor({{"type", "challenge"}, {"incarnation", this->self}, {"nonce", this->ownNonce}, {"proof", this->computeProof(HandshakeRole::Acceptor)}});
}

std::optional<std::string> PeerHandshake::answerChallenge(const std::string &incarnation, const std::string &nonce, const std::string &proof)
{
    // Another process may have taken over the address since the member list was read.
    if (!isValidIncarnation(incarnation) || incarnation == this->self || (!this->expectedPeer.empty() && incarnation != this->expectedPeer)) {
        return this->fail();
    }
    this->peerIncarnation = incarnation;
    this->peerNonce = nonce;
    if (!constantTimeEquals(proof, this->computeProof(HandshakeRole::Acceptor))) {
        return this->fail();
    }
    this->currentState = State::Complete;
    return toCbor({{"type", "proof"}, {"proof", this->computeProof(HandshakeRole::Dialer)}});
}

std::optional<std::string> PeerHandshake::receive(std::string_view bytes)
{
    if (this->currentState != State::InProgress || !isCborWithinDepth(bytes, maxHandshakeDepth)) {
        return this->fail();
    }
    const Json message = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!message.is_object()) {
        return this->fail();
    }
    const std::string type = stringField(message, "type");
    if (this->role == HandshakeRole::Dialer) {
        return type == "challenge" ? this->answerChallenge(stringField(message, "incarnation"), stringField(message, "nonce"), stringField(message, "proof"))
                                   : this->fail();
    }
    if (type == "hello" && this->peerIncarnation.empty()) {
        return this->answerHello(stringField(message, "incarnation"), stringField(message, "nonce"));
    }
    if (type == "proof" && !this->peerIncarnation.empty() && constantTimeEquals(stringField(message, "proof"), this->computeProof(HandshakeRole::Dialer))) {
        this->currentState = State::Complete;
        return std::nullopt;
    }
    return this->fail();
}

} // namespace Godwitfork
