#include "LibPeer/PeerHandshake.h"

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

// Nonces come from the cryptographic generator, because a predictable one would let a proof be collected in advance.
std::string makeNonce()
{
    std::array<unsigned char, nonceBytes> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return {};
    }
    return sha256Hex(std::string_view(reinterpret_cast<const char *>(bytes.data()), bytes.size()));
}

std::string toBytes(const Json &message)
{
    std::string bytes;
    Json::to_cbor(message, bytes);
    return bytes;
}

std::string textOf(const Json &message, const char *key)
{
    return message.contains(key) && message[key].is_string() ? message[key].get<std::string>() : std::string();
}

bool isPlausibleName(const std::string &incarnation)
{
    return !incarnation.empty() && incarnation.size() <= maxIncarnationBytes && incarnation.find('\n') == std::string::npos;
}
} // namespace

PeerHandshake::PeerHandshake(HandshakeRole role, std::string self, std::string expectedPeer, std::string sharedKey)
    : role(role), self(std::move(self)), expectedPeer(std::move(expectedPeer)), sharedKey(std::move(sharedKey)), ownNonce(makeNonce())
{
    // An empty key would accept everyone who also leaves it out.
    if (this->sharedKey.empty() || this->ownNonce.empty()) {
        this->current = State::Failed;
    }
}

PeerHandshake::State PeerHandshake::state() const
{
    return this->current;
}

const std::string &PeerHandshake::peer() const
{
    return this->peerName;
}

std::string PeerHandshake::hello()
{
    return toBytes({{"type", "hello"}, {"incarnation", this->self}, {"nonce", this->ownNonce}});
}

std::optional<std::string> PeerHandshake::fail()
{
    this->current = State::Failed;
    return std::nullopt;
}

std::string PeerHandshake::proofOf(HandshakeRole prover) const
{
    const bool isDialer = this->role == HandshakeRole::Dialer;
    const std::string &dialer = isDialer ? this->self : this->peerName;
    const std::string &acceptor = isDialer ? this->peerName : this->self;
    const std::string &dialerNonce = isDialer ? this->ownNonce : this->peerNonce;
    const std::string &acceptorNonce = isDialer ? this->peerNonce : this->ownNonce;
    const std::string label = prover == HandshakeRole::Dialer ? "godwitfork peer dialer" : "godwitfork peer acceptor";
    // Names hold no line break, so the text is unambiguous.
    return hmacSha256Hex(this->sharedKey, label + '\n' + dialer + '\n' + acceptor + '\n' + dialerNonce + '\n' + acceptorNonce);
}

std::optional<std::string> PeerHandshake::answerHello(const std::string &incarnation, const std::string &nonce)
{
    if (!isPlausibleName(incarnation) || nonce.size() != this->ownNonce.size() || incarnation == this->self) {
        return this->fail();
    }
    this->peerName = incarnation;
    this->peerNonce = nonce;
    return toBytes({{"type", "challenge"}, {"incarnation", this->self}, {"nonce", this->ownNonce}, {"proof", this->proofOf(HandshakeRole::Acceptor)}});
}

std::optional<std::string> PeerHandshake::answerChallenge(const std::string &incarnation, const std::string &nonce, const std::string &proof)
{
    // An address may have passed to another process since the member list was read.
    if (!isPlausibleName(incarnation) || incarnation == this->self || (!this->expectedPeer.empty() && incarnation != this->expectedPeer)) {
        return this->fail();
    }
    this->peerName = incarnation;
    this->peerNonce = nonce;
    if (!constantTimeEquals(proof, this->proofOf(HandshakeRole::Acceptor))) {
        return this->fail();
    }
    this->current = State::Complete;
    return toBytes({{"type", "proof"}, {"proof", this->proofOf(HandshakeRole::Dialer)}});
}

std::optional<std::string> PeerHandshake::receive(std::string_view bytes)
{
    if (this->current != State::InProgress || !isCborWithinDepth(bytes, maxHandshakeDepth)) {
        return this->fail();
    }
    const Json message = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!message.is_object()) {
        return this->fail();
    }
    const std::string type = textOf(message, "type");
    if (this->role == HandshakeRole::Dialer) {
        return type == "challenge" ? this->answerChallenge(textOf(message, "incarnation"), textOf(message, "nonce"), textOf(message, "proof")) : this->fail();
    }
    if (type == "hello" && this->peerName.empty()) {
        return this->answerHello(textOf(message, "incarnation"), textOf(message, "nonce"));
    }
    if (type == "proof" && !this->peerName.empty() && constantTimeEquals(textOf(message, "proof"), this->proofOf(HandshakeRole::Dialer))) {
        this->current = State::Complete;
        return std::nullopt;
    }
    return this->fail();
}

} // namespace Godwitfork
