#include "LibCore/Random.h"
#include "LibPeer/PeerHandshake.h"
#include "LibPeer/PeerMessage.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace Godwitfork;

namespace
{
std::vector<PeerMessage> exampleMessages()
{
    Gossip gossip;
    gossip.sender = "a1b2";
    gossip.kind = GossipKind::Reply;
    gossip.memberListHash = 0xfedcba9876543210;
    gossip.heartbeatAges = {0, 3, 255};
    gossip.configurationRevision = 7;
    gossip.confirmationAgeMs = 1200;
    gossip.storeReachable = true;
    gossip.revisionHolders = {5};
    gossip.sequence = 9;
    gossip.echoSequence = 8;
    gossip.echoDelayMs = 41;
    return {gossip,
            MemberList {{{"a1b2", "instance-1", "north", "127.0.0.1:7001"}}},
            ConfigurationRequest {7},
            ConfigurationReply {7, R"({"revision":7})"},
            JournalAppendMessage {{1, 2, 255}},
            JournalAckMessage {{3}},
            JournalDropMessage {{}},
            EstimateDelta {{{9}}},
            Leaving {"a1b2"}};
}

std::string envelope(const char *type, int version)
{
    std::string bytes;
    nlohmann::json::to_cbor({{"type", type}, {"version", version}, {"body", nlohmann::json::array()}}, bytes);
    return bytes;
}
} // namespace

// Guards against a field that encoding or decoding omits or processes in another order.
TEST_CASE("Decoding an encoded message returns the same message")
{
    for (const PeerMessage &message : exampleMessages()) {
        const auto decoded = decodePeerMessage(encodePeerMessage(message));
        REQUIRE(decoded);
        REQUIRE(decoded.assume_value());
        CHECK(*decoded.assume_value() == message);
    }
}

// Guards against old instances that reject the messages of new ones during an upgrade of godwitfork.
TEST_CASE("Unknown message types and versions are ignored, and missing fields are an error")
{
    const auto unknownType = decodePeerMessage(envelope("tide_table", 1));
    REQUIRE(unknownType);
    CHECK_FALSE(unknownType.assume_value());
    const auto unknownVersion = decodePeerMessage(envelope("leaving", 2));
    REQUIRE(unknownVersion);
    CHECK_FALSE(unknownVersion.assume_value());
    CHECK(decodePeerMessage(envelope("leaving", 1)).assume_error().code == "malformed_message");
}

// Guards against a stack overflow in the recursive CBOR parser.
TEST_CASE("Deeply nested items, indefinite lengths and lengths beyond the input are rejected")
{
    constexpr std::size_t manyLevels = 1'000'000;
    CHECK_FALSE(decodePeerMessage(std::string(manyLevels, '\x81')));
    CHECK_FALSE(decodePeerMessage("\x9f\xff"));
    CHECK_FALSE(decodePeerMessage("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"));
    CHECK_FALSE(decodePeerMessage("\xbb\x80\x00\x00\x00\x00\x00\x00\x00"));
    CHECK_FALSE(decodePeerMessage(""));
}

// Guards against a crash or an unbounded allocation on corrupted bytes.
TEST_CASE("Mutated messages are rejected or decode to a message that can be encoded again")
{
    constexpr int runs = 60'000;
    RandomSource random(20261204);
    std::vector<std::string> seeds;
    for (const PeerMessage &message : exampleMessages()) {
        seeds.push_back(encodePeerMessage(message));
    }
    int decodedRuns = 0;
    for (int run = 0; run < runs; ++run) {
        std::string bytes = seeds[random() % seeds.size()];
        const auto edits = 1 + random() % 4;
        for (std::uint64_t edit = 0; edit < edits && !bytes.empty(); ++edit) {
            const std::size_t place = random() % bytes.size();
            // Most mutations keep the length, because a changed length nearly always fails the depth check.
            switch (random() % 8) {
            case 0:
                bytes.erase(place, 1 + random() % 8);
                break;
            case 1:
                bytes.insert(place, 1 + random() % 8, static_cast<char>(random()));
                break;
            case 2:
                bytes.resize(place);
                break;
            default:
                bytes[place] = static_cast<char>(random());
            }
        }
        const auto decoded = decodePeerMessage(bytes);
        if (decoded && decoded.assume_value()) {
            ++decodedRuns;
            const auto again = decodePeerMessage(encodePeerMessage(*decoded.assume_value()));
            REQUIRE(again);
            REQUIRE(again.assume_value() == decoded.assume_value());
        }
    }
    // If nearly all mutated messages failed the depth check, the decoder itself would not be tested.
    CHECK(decodedRuns > runs / 40);
}

// Guards against a proof that an eavesdropper can replay on another link or reflect to its sender.
TEST_CASE("A replayed or reflected handshake proof is rejected")
{
    PeerHandshake dialer(HandshakeRole::Dialer, "dialer", "acceptor", "key");
    PeerHandshake acceptor(HandshakeRole::Acceptor, "acceptor", "", "key");
    const std::string hello = dialer.hello();
    const std::string challenge = *acceptor.receive(hello);
    const std::string proof = *dialer.receive(challenge);
    CHECK_FALSE(acceptor.receive(proof));
    CHECK(acceptor.state() == PeerHandshake::State::Complete);
    CHECK(acceptor.peer() == "dialer");

    PeerHandshake second(HandshakeRole::Acceptor, "acceptor", "", "key");
    REQUIRE(second.receive(hello));
    second.receive(proof);
    CHECK(second.state() == PeerHandshake::State::Failed);

    PeerHandshake reflected(HandshakeRole::Dialer, "dialer", "", "key");
    reflected.receive(reflected.hello());
    CHECK(reflected.state() == PeerHandshake::State::Failed);

    PeerHandshake wrongPeer(HandshakeRole::Dialer, "dialer", "other", "key");
    PeerHandshake third(HandshakeRole::Acceptor, "acceptor", "", "key");
    wrongPeer.receive(*third.receive(wrongPeer.hello()));
    CHECK(wrongPeer.state() == PeerHandshake::State::Failed);

    CHECK(PeerHandshake(HandshakeRole::Acceptor, "acceptor", "", "").state() == PeerHandshake::State::Failed);
}
