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

/// Communication with the other routers: gossip, member objects in the store, distribution of the configuration, the
/// configuration lease, and the journal keepers, which are the peers that hold replicas of the journal. Runs on the control
/// thread; the links run on a separate thread and post received messages to the control thread.
class PeerService
{
public:
    /// Called with the newest received configuration revision after each change of the membership state.
    using RevisionListener = std::function<void(std::uint64_t revision, const std::string &body)>;

    PeerService(boost::asio::io_context &context,
                const RouterSettings &settings,
                RouterStatus &status,
                ObjectStoreClient &store,
                LedgerService &ledger,
                std::string incarnation);

    /// Sets the function that receives the configuration; must be called before `start`.
    void setRevisionListener(RevisionListener listener);
    void start();
    /// Processes a configuration that the store returned for a request sent at `requestSent`.
    void receiveConfiguration(std::uint64_t revision, const std::string &body, MonotonicTime requestSent);
    /// Processes heartbeat number `heartbeat`, counted from 1, on a watch for changes after `revision` that was sent at
    /// `requestSent`.
    void receiveHeartbeat(std::uint64_t revision, MonotonicTime requestSent, int heartbeat);
    /// Announces a planned stop to all members and removes the member object of this instance from the store.
    boost::asio::awaitable<void> leave();

    const MemberTable &members() const;
    std::string address() const;

private:
    boost::asio::awaitable<void> gossipLoop();
    boost::asio::awaitable<void> watchMembers();
    /// Reads the member objects and registers this instance if it is missing. Returns whether the store is reachable.
    boost::asio::awaitable<bool> readMembers();
    boost::asio::awaitable<void> removeSilentMembers();
    void receive(const std::string &sender, const PeerMessage &message);
    void send(const OutgoingMessages &messages);
    /// Passes the configuration to the listener and extends the configuration lease.
    void publishMembershipState();
    /// Passes the live peers to the ledger and takes over the journals of dead owners.
    void updateKeepers(MonotonicTime now);

    boost::asio::io_context &context;
    RouterStatus &status;
    ObjectStoreClient &store;
    LedgerService &ledger;
    Duration leaseDuration;
    RandomSource random;
    PeerMember self;
    RevisionListener listener;
    std::vector<JournalPeer> livePeers;
    bool leaving = false;
    ObjectVersion membersVersion = 0;
    std::unique_ptr<Membership> membership;
    /// Declared last, so that its thread ends before the state that its message handlers use is destroyed.
    std::unique_ptr<PeerNetwork> network;
};

} // namespace Godwitfork
