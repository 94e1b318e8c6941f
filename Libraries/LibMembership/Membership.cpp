#include "LibMembership/Membership.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
constexpr std::size_t maxSentTimes = 4;
// A hold time measured by a peer's clock is reduced by 1/1000, because that clock may run fast.
constexpr int clockDriftDivisor = 1000;
// An exchange is removed after this time without a message in either direction.
constexpr Duration exchangeRetention = std::chrono::minutes(5);
// A configuration has up to 1 MB, and several peers announce a revision at once.
constexpr Duration configurationRequestInterval = std::chrono::milliseconds(300);
// A list of 330 members has about 26 KB, so it is not sent with each exchange while two lists differ.
constexpr Duration listRepeatInterval = std::chrono::seconds(5);
} // namespace

Membership::Membership(PeerMember self, MembershipLimits limits)
    : self(self), limits(limits), table(std::move(self), limits.members), configurationLease(limits.lease)
{
}

OutgoingMessage Membership::makeGossip(const std::string &receiver, GossipKind kind, MonotonicTime now)
{
    Exchange &exchange = this->exchanges[receiver];
    Gossip gossip;
    gossip.sender = this->self.incarnation;
    gossip.kind = kind;
    gossip.memberListHash = this->table.listHash();
    gossip.heartbeatAges = this->table.encodedAges(now);
    gossip.configurationRevision = this->configurationLease.revision();
    if (const auto since = this->table.majorityAliveSince(now)) {
        this->configurationLease.confirmByMajority(*since);
    }
    if (const auto age = this->configurationLease.confirmationAge(now)) {
        // Rounded up, so that receivers never take the confirmation as later than it was.
        const auto milliseconds = std::chrono::ceil<std::chrono::milliseconds>(*age).count();
        gossip.confirmationAgeMs = static_cast<std::uint32_t>(std::clamp<std::int64_t>(milliseconds, 0, neverConfirmed));
    }
    gossip.storeReachable = this->configurationLease.isStoreReachable(now);
    gossip.revisionHolders = this->table.encodedHolders();
    gossip.sequence = ++this->lastSequence;
    gossip.echoSequence = exchange.newestReceivedSequence;
    if (exchange.newestReceivedSequence > 0) {
        gossip.echoDelayMs = static_cast<std::uint32_t>(std::chrono::floor<std::chrono::milliseconds>(now - exchange.receivedAt).count());
    }
    exchange.sentTimes.emplace_back(gossip.sequence, now);
    if (exchange.sentTimes.size() > maxSentTimes) {
        exchange.sentTimes.pop_front();
    }
    return {receiver, std::move(gossip)};
}

OutgoingMessages Membership::gossip(RandomSource &random, MonotonicTime now)
{
    OutgoingMessages messages;
    for (const std::string &peer : this->table.choosePeers(random, this->limits.peersPerGossipRound, now)) {
        messages.push_back(this->makeGossip(peer, GossipKind::Request, now));
    }
    std::erase_if(this->exchanges, [now](const auto &entry) {
        return now - entry.second.receivedAt > exchangeRetention
            && (entry.second.sentTimes.empty() || now - entry.second.sentTimes.back().second > exchangeRetention);
    });
    return messages;
}

OutgoingMessages Membership::announce(RandomSource &random, MonotonicTime now)
{
    OutgoingMessages messages;
    for (const std::string &peer : this->table.choosePeers(random, this->limits.peersPerAnnouncement, now)) {
        messages.push_back(this->makeGossip(peer, GossipKind::Request, now));
    }
    return messages;
}

// The peer created the message at least `echoDelayMs` after it received the echoed one, and that one was sent at a known time
// of the local clock. Clock times of two instances are never compared.
std::optional<MonotonicTime> Membership::earliestCreation(const Exchange &exchange, const Gossip &gossip, MonotonicTime now) const
{
    for (const auto &[sequence, sentAt] : exchange.sentTimes) {
        if (sequence == gossip.echoSequence) {
            const Duration hold = std::chrono::milliseconds(gossip.echoDelayMs);
            return std::min(now, sentAt + hold - hold / clockDriftDivisor);
        }
    }
    return std::nullopt;
}

OutgoingMessages Membership::receiveGossip(const std::string &sender, const Gossip &gossip, MonotonicTime now)
{
    if (gossip.sender != sender) {
        return {};
    }
    Exchange &exchange = this->exchanges[sender];
    if (gossip.sequence > exchange.newestReceivedSequence) {
        exchange.newestReceivedSequence = gossip.sequence;
        exchange.receivedAt = now;
    }
    OutgoingMessages messages;
    const std::uint64_t ownRevision = this->configurationLease.revision();
    if (gossip.configurationRevision > ownRevision) {
        // The ages in the message may stem from members that hold the newer revision. Merged while this instance still has the old
        // one, they could form a majority that confirms the old revision, so they are ignored until the new one is adopted.
        if (this->requestedRevision < gossip.configurationRevision || now - this->requestedAt >= configurationRequestInterval) {
            this->requestedRevision = gossip.configurationRevision;
            this->requestedAt = now;
            messages.push_back({sender, ConfigurationRequest {gossip.configurationRevision}});
        }
    } else {
        if (const auto created = this->earliestCreation(exchange, gossip, now)) {
            this->table.recordAlive(sender, *created);
            this->table.mergeAges(gossip.memberListHash, gossip.heartbeatAges, *created);
            if (gossip.confirmationAgeMs != neverConfirmed) {
                this->configurationLease.confirmByPeer(gossip.configurationRevision, *created - std::chrono::milliseconds(gossip.confirmationAgeMs));
            }
        }
        if (gossip.configurationRevision == ownRevision) {
            this->table.addHolder(sender);
            this->table.mergeHolders(gossip.memberListHash, gossip.revisionHolders);
        }
    }
    const std::uint64_t ownHash = this->table.listHash();
    const bool isListAlreadySent = exchange.listSentWithHash == ownHash && now - exchange.listSentAt < listRepeatInterval;
    if (gossip.memberListHash != ownHash && !isListAlreadySent) {
        exchange.listSentWithHash = ownHash;
        exchange.listSentAt = now;
        messages.push_back({sender, MemberList {this->table.members()}});
    }
    if (gossip.kind == GossipKind::Request) {
        messages.push_back(this->makeGossip(sender, GossipKind::Reply, now));
    }
    return messages;
}

OutgoingMessages Membership::receive(const std::string &sender, const PeerMessage &message, RandomSource &random, MonotonicTime now)
{
    if (const auto *gossip = std::get_if<Gossip>(&message)) {
        return this->receiveGossip(sender, *gossip, now);
    }
    if (const auto *list = std::get_if<MemberList>(&message)) {
        this->table.mergeList(list->members, now);
    } else if (std::holds_alternative<ConfigurationRequest>(message)) {
        return {{sender, ConfigurationReply {this->configurationLease.revision(), this->body}}};
    } else if (const auto *reply = std::get_if<ConfigurationReply>(&message)) {
        return this->adopt(reply->revision, reply->body, random, now);
    } else if (const auto *leaving = std::get_if<Leaving>(&message)) {
        // An instance may announce only its own stop.
        if (leaving->incarnation == sender) {
            this->table.removeLeaving(sender);
        }
    }
    return {};
}

OutgoingMessages Membership::adopt(std::uint64_t revision, const std::string &newBody, RandomSource &random, MonotonicTime now)
{
    if (!this->configurationLease.adopt(revision)) {
        return {};
    }
    this->body = newBody;
    this->table.clearHolders();
    return this->announce(random, now);
}

OutgoingMessages
Membership::takeFromStore(std::uint64_t revision, const std::string &newBody, MonotonicTime requestSent, RandomSource &random, MonotonicTime now)
{
    OutgoingMessages messages = this->adopt(revision, newBody, random, now);
    this->configurationLease.confirmByStore(revision, requestSent);
    return messages;
}

void Membership::takeHeartbeat(std::uint64_t revision, MonotonicTime watchSent, int heartbeat)
{
    this->configurationLease.confirmByHeartbeat(revision, watchSent, heartbeat);
}

void Membership::takeMemberList(const std::vector<PeerMember> &members, MonotonicTime now)
{
    this->table.setStoreList(members, now);
}

bool Membership::mayAdmit(MonotonicTime now)
{
    if (const auto since = this->table.majorityAliveSince(now)) {
        this->configurationLease.confirmByMajority(*since);
    }
    return this->configurationLease.mayAdmit(now);
}

std::uint64_t Membership::revision() const
{
    return this->configurationLease.revision();
}

const std::string &Membership::configuration() const
{
    return this->body;
}

const MemberTable &Membership::members() const
{
    return this->table;
}

const ConfigurationLease &Membership::lease() const
{
    return this->configurationLease;
}

} // namespace Godwitfork
