#pragma once

#include "LibMembership/ConfigurationLease.h"
#include "LibMembership/MemberTable.h"

#include <deque>

namespace Godwitfork
{

struct MembershipLimits {
    MemberLimits members;
    LeaseLimits lease;
    /// Number of peers that receive gossip in one round.
    std::size_t peersPerGossipRound = 2;
    /// Number of peers that a new revision is announced to without waiting for the next gossip round.
    std::size_t peersPerAnnouncement = 3;
};

struct OutgoingMessage {
    std::string receiver;
    PeerMessage message;
};

using OutgoingMessages = std::vector<OutgoingMessage>;

/// Gossip protocol, member table and configuration of one instance. It uses no sockets and reads no clock: callers pass in
/// messages and times, and send the messages that are returned.
class Membership
{
public:
    Membership(PeerMember self, MembershipLimits limits);

    /// Performs one gossip round; to be called every 500 ms.
    OutgoingMessages gossip(RandomSource &random, MonotonicTime now);
    /// Handles a message of an authenticated peer. Messages that belong to other libraries are ignored.
    OutgoingMessages receive(const std::string &sender, const PeerMessage &message, RandomSource &random, MonotonicTime now);
    /// Adopts and confirms the configuration that the store returned for a read sent at `requestSent`.
    OutgoingMessages takeFromStore(std::uint64_t revision, const std::string &body, MonotonicTime requestSent, RandomSource &random, MonotonicTime now);
    /// Confirms the lease by a heartbeat of the store, see ConfigurationLease::confirmByHeartbeat.
    void takeHeartbeat(std::uint64_t revision, MonotonicTime watchSent, int heartbeat);
    /// Updates the member table from the list read from the store.
    void takeMemberList(const std::vector<PeerMember> &members, MonotonicTime now);

    /// Whether requests may be admitted now. Also confirms the lease if a majority of the members was seen alive.
    bool mayAdmit(MonotonicTime now);
    std::uint64_t revision() const;
    /// Body of the current configuration.
    const std::string &configuration() const;
    const MemberTable &members() const;
    const ConfigurationLease &lease() const;

private:
    /// State of the exchange with one peer, from which the delay of the peer's messages is bounded.
    struct Exchange {
        /// Sequences and times of the last messages sent to the peer, oldest first.
        std::deque<std::pair<std::uint64_t, MonotonicTime>> sentTimes;
        std::uint64_t newestReceivedSequence = 0;
        /// When the message with `newestReceivedSequence` arrived.
        MonotonicTime receivedAt;
        /// Hash of the last member list sent to the peer.
        std::uint64_t listSentWithHash = 0;
        MonotonicTime listSentAt;
    };

    OutgoingMessage makeGossip(const std::string &receiver, GossipKind kind, MonotonicTime now);
    OutgoingMessages receiveGossip(const std::string &sender, const Gossip &gossip, MonotonicTime now);
    OutgoingMessages announce(RandomSource &random, MonotonicTime now);
    OutgoingMessages adopt(std::uint64_t revision, const std::string &body, RandomSource &random, MonotonicTime now);
    /// Returns the earliest time at which the peer can have created the message, if it echoes a message whose sending time is
    /// still stored.
    std::optional<MonotonicTime> earliestCreation(const Exchange &exchange, const Gossip &gossip, MonotonicTime now) const;

    PeerMember self;
    MembershipLimits limits;
    MemberTable table;
    ConfigurationLease configurationLease;
    std::string body;
    std::map<std::string, Exchange> exchanges;
    /// Last sequence used. Shared by all receivers, so that the sequences a peer receives still increase after an idle exchange
    /// was removed.
    std::uint64_t lastSequence = 0;
    std::uint64_t requestedRevision = 0;
    MonotonicTime requestedAt;
};

} // namespace Godwitfork
