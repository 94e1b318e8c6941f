#pragma once

#include "LibCore/Error.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Godwitfork
{

/// Bytes that another library encodes and that links pass on unread.
using OpaqueBytes = std::vector<std::uint8_t>;

/// One router process as other instances see it.
struct PeerMember {
    std::string incarnation;
    std::string instance;
    std::string failureDomain;
    /// `ip:port` of the peer listener.
    std::string peerAddress;

    auto operator<=>(const PeerMember &) const = default;
};

/// Confirmation age of an instance whose revision was never confirmed.
constexpr std::uint32_t neverConfirmed = std::numeric_limits<std::uint32_t>::max();

enum class GossipKind : std::uint8_t { Request, Reply };

struct Gossip {
    std::string sender;
    GossipKind kind = GossipKind::Request;
    std::uint64_t memberListHash = 0;
    /// Age of the newest sign of life of each member, in units of 100 ms, ordered by incarnation.
    OpaqueBytes heartbeatAges;
    std::uint64_t configurationRevision = 0;
    std::uint32_t confirmationAgeMs = neverConfirmed;
    bool storeReachable = false;
    /// One bit for each member, in the order of `heartbeatAges`: the member holds this revision.
    OpaqueBytes revisionHolders;
    /// Numbers the sender's gossip messages to this receiver from 1.
    std::uint64_t sequence = 0;
    /// Newest sequence that the sender has from this receiver, and the time since then, rounded down. Both let the receiver
    /// bound the age of this message by its own clock. Sequence 0: none.
    std::uint64_t echoSequence = 0;
    std::uint32_t echoDelayMs = 0;

    auto operator<=>(const Gossip &) const = default;
};

struct MemberList {
    std::vector<PeerMember> members;

    auto operator<=>(const MemberList &) const = default;
};

struct ConfigurationRequest {
    std::uint64_t revision = 0;

    auto operator<=>(const ConfigurationRequest &) const = default;
};

struct ConfigurationReply {
    std::uint64_t revision = 0;
    std::string body;

    auto operator<=>(const ConfigurationReply &) const = default;
};

/// Messages of the write-ahead journal. LibLedger encodes and decodes the bodies.
struct JournalAppendMessage {
    OpaqueBytes body;

    auto operator<=>(const JournalAppendMessage &) const = default;
};

struct JournalAckMessage {
    OpaqueBytes body;

    auto operator<=>(const JournalAckMessage &) const = default;
};

struct JournalDropMessage {
    OpaqueBytes body;

    auto operator<=>(const JournalDropMessage &) const = default;
};

struct EstimateDelta {
    std::vector<OpaqueBytes> sums;

    auto operator<=>(const EstimateDelta &) const = default;
};

struct Leaving {
    std::string incarnation;

    auto operator<=>(const Leaving &) const = default;
};

using PeerMessage = std::
    variant<Gossip, MemberList, ConfigurationRequest, ConfigurationReply, JournalAppendMessage, JournalAckMessage, JournalDropMessage, EstimateDelta, Leaving>;

/// CBOR of `{"type", "version", "body": [fields in the order of the struct]}`. An array instead of named fields keeps a
/// gossip message for 330 members near 400 bytes.
std::string encodePeerMessage(const PeerMessage &message);

/// Message of the given bytes; nothing if its type or version is unknown. Fails with `malformed_message`. Fields after the
/// known ones are ignored, so that a later release may append some.
ErrorOr<std::optional<PeerMessage>> decodePeerMessage(std::string_view bytes);

/// True if the bytes are CBOR items of definite length, nested at most `maxDepth` deep. The CBOR reader of nlohmann-json
/// recurses once for each level, so that a short message could otherwise exhaust the stack.
bool isCborWithinDepth(std::string_view bytes, int maxDepth);

} // namespace Godwitfork
