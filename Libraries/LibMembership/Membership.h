#pragma once

#include "LibMembership/ConfigurationLease.h"
#include "LibMembership/MemberTable.h"

#include <deque>

namespace Godwitfork
{

struct MembershipLimits {
    MemberLimits members;
    LeaseLimits lease;
    std::size_t gossipPeers = 2;
    /// Peers that are told of a new revision at once.
    std::size_t announcedPeers = 3;
};

struct OutgoingMessage {
    std::string receiver;
    PeerMessage message;
};

using OutgoingMessages = std::vector<OutgoingMessage>;

/// Gossip, members and configuration of one instance, without sockets or clocks: messages and times go in, messages to send
/// come out.
class Membership
{
public:
    Membership(PeerMember self, MembershipLimits limits);

    /// One gossip round; to be called each 500 ms.
    OutgoingMessages gossip(RandomSource &random, MonotonicTime now);
    /// Takes a message of an authenticated peer. Messages of other libraries are ignored.
    OutgoingMessages receive(const std::string &sender, const PeerMessage &message, RandomSource &random, MonotonicTime now);
    /// The store answered a read sent at `requestSent` with this configuration.
    OutgoingMessages takeFromStore(std::uint64_t revision, const std::string &body, MonotonicTime requestSent, RandomSource &random, MonotonicTime now);
    /// A heartbeat of the store arrived, see ConfigurationLease::confirmByHeartbeat.
    void takeHeartbeat(std::uint64_t revision, MonotonicTime watchSent, int heartbeat);
    void takeMemberList(const std::vector<PeerMember> &members, MonotonicTime now);

    /// Whether work may be admitted now.
    bool mayAdmit(MonotonicTime now);
    std::uint64_t revision() const;
    const std::string &configuration() const;
    const MemberTable &members() const;
    const ConfigurationLease &lease() const;

private:
    /// Messages exchanged with one peer, for bounding the delay of the peer's messages.
    struct Exchange {
        std::deque<std::pair<std::uint64_t, MonotonicTime>> sentTimes;
        std::uint64_t newestReceived = 0;
        MonotonicTime receivedAt;
        std::uint64_t listSentWithHash = 0;
        MonotonicTime listSentAt;
    };

    OutgoingMessage makeGossip(const std::string &receiver, GossipKind kind, MonotonicTime now);
    OutgoingMessages receiveGossip(const std::string &sender, const Gossip &gossip, MonotonicTime now);
    OutgoingMessages announce(RandomSource &random, MonotonicTime now);
    OutgoingMessages adopt(std::uint64_t revision, const std::string &body, RandomSource &random, MonotonicTime now);
    std::optional<MonotonicTime> creationBound(const Exchange &exchange, const Gossip &gossip, MonotonicTime now) const;

    PeerMember self;
    MembershipLimits limits;
    MemberTable table;
    ConfigurationLease configurationLease;
    std::string body;
    std::map<std::string, Exchange> exchanges;
    /// One sequence for all receivers, so that it still rises after an idle exchange was forgotten.
    std::uint64_t lastSequence = 0;
    std::uint64_t requestedRevision = 0;
    MonotonicTime requestedAt;
};

} // namespace Godwitfork
