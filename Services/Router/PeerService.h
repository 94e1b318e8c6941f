#pragma once

#include "LedgerService.h"
#include "LibCore/Random.h"
#include "LibMembership/Membership.h"
#include "LibObjectStore/ObjectStoreClient.h"
#include "LibPeer/PeerNetwork.h"
#include "RouterSettings.h"
#include "RouterStatus.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Links with the other routers: gossip, member objects, the configuration through peers, the configuration lease, and the
/// journal's keepers. Lives on the control thread; the links have a thread of their own and post their messages here.
class PeerService
{
public:
    /// Called when a peer brought a greater revision.
    using RevisionListener = std::function<void(std::uint64_t revision, const std::string &body)>;

    PeerService(boost::asio::io_context &context,
                const RouterSettings &settings,
                RouterStatus &status,
                ObjectStoreClient &store,
                LedgerService &ledger,
                std::string incarnation);

    void onRevision(RevisionListener listener);
    void start();
    /// The store answered a read that was sent at `asked`.
    void takeFromStore(std::uint64_t revision, const std::string &body, MonotonicTime asked);
    /// Heartbeat number `heartbeat`, from 1, on a watch for changes after `revision` that was sent at `asked`.
    void takeHeartbeat(std::uint64_t revision, MonotonicTime asked, int heartbeat);
    /// Announces a planned stop to all members and removes the own member object.
    boost::asio::awaitable<void> leave();

    const MemberTable &members() const;
    std::string address() const;

private:
    boost::asio::awaitable<void> gossipLoop();
    boost::asio::awaitable<void> followMembers();
    boost::asio::awaitable<bool> readMembers();
    boost::asio::awaitable<void> removeSilentMembers();
    void receive(const std::string &sender, const PeerMessage &message);
    void send(const OutgoingMessages &messages);
    void updateState();
    void updateKeepers(MonotonicTime now);

    boost::asio::io_context &context;
    RouterStatus &status;
    ObjectStoreClient &store;
    LedgerService &ledger;
    Duration lease;
    RandomSource random;
    PeerMember self;
    RevisionListener listener;
    std::vector<JournalPeer> livePeers;
    bool leaving = false;
    ObjectVersion membersVersion = 0;
    std::unique_ptr<Membership> membership;
    /// Last member, so that its thread ends before the state that its messages use.
    std::unique_ptr<PeerNetwork> network;
};

} // namespace Godwitfork
