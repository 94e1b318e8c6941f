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

/// Bytes that another library encodes and decodes; this library only transports them.
using OpaqueBytes = std::vector<std::uint8_t>;

/// Identity and address of one router process, as listed for the other instances.
struct PeerMember {
    std::string incarnation;
    std::string instance;
    std::string failureDomain;
    /// Address of the peer listener as `ip:port`.
    std::string peerAddress;

    auto operator<=>(const PeerMember &) const = default;
};

/// Value of `Gossip::confirmationAgeMs` while the sender's revision was never confirmed.
constexpr std::uint32_t neverConfirmed = std::numeric_limits<std::uint32_t>::max();

enum class GossipKind : std::uint8_t { Request, Reply };

struct Gossip {
    std::string sender;
    GossipKind kind = GossipKind::Request;
    std::uint64_t memberListHash = 0;
    /// Time since the newest heartbeat of each member, in units of 100 ms, ordered by incarnation.
    OpaqueBytes heartbeatAges;
    std::uint64_t configurationRevision = 0;
    std::uint32_t confirmationAgeMs = neverConfirmed;
    bool storeReachable = false;
    /// One bit per member, in the order of `heartbeatAges`: set if the member holds `configurationRevision`.
    OpaqueBytes revisionHolders;
    /// Number of this message among the sender's gossip messages to this receiver, counted from 1.
    std::uint64_t sequence = 0;
    /// Newest sequence number that the sender received from this receiver (0 if none) and, in `echoDelayMs`, the time since
    /// then, rounded down. From both the receiver derives an upper bound of this message's age by its own clock.
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

/// The following three are the messages of the write-ahead journal. LibLedger encodes and decodes their bodies.
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

/// Encodes a message as the CBOR map `{"type", "version", "body": [fields in the order of the struct]}`. The body is an array
/// without field names, which keeps a gossip message for 330 members near 400 bytes.
std::string encodePeerMessage(const PeerMessage &message);

/// Decodes a message; returns no message if its type or version is unknown, and fails with `malformed_message` if the bytes
/// are not a valid message. Fields after the known ones are ignored, so that a later release may append fields.
ErrorOr<std::optional<PeerMessage>> decodePeerMessage(std::string_view bytes);

} // namespace Godwitfork
