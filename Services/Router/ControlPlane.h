#pragma once

#include "LedgerService.h"
#include "LibHttp/HttpClient.h"
#include "LibObjectStore/ObjectStoreClient.h"
#include "PeerService.h"
#include "RouterSettings.h"
#include "RouterStatus.h"
#include "RoutingSnapshot.h"
#include "SessionService.h"

#include <functional>
#include <memory>
#include <string>

namespace Godwitfork
{

/// Owns the services of the control thread and keeps the configuration up to date. All members run on the control thread,
/// which runs `context`.
class ControlPlane
{
public:
    using SnapshotListener = std::function<void(const SnapshotPointer &)>;

    ControlPlane(boost::asio::io_context &context, const RouterSettings &settings, RouterStatus &status);

    /// Sets the function that is called on the control thread for every new snapshot.
    void setSnapshotListener(SnapshotListener listener);
    void start();

    boost::asio::io_context &executionContext();
    LedgerService &ledger();
    SessionService &sessions();
    ObjectStoreClient &objectStore();
    /// Returns null if the settings contain no `peer_listen` address.
    PeerService *peers();
    /// Unique name of this run of the process: the instance name and a random suffix.
    const std::string &incarnation() const;

private:
    boost::asio::awaitable<void> watchConfiguration();
    /// Reads the configuration once. Returns whether the store is reachable.
    boost::asio::awaitable<bool> readConfiguration();
    void receiveConfiguration(const StoredObject &object, MonotonicTime requestSent);
    void receiveHeartbeat(ObjectVersion watchedRevision, MonotonicTime requestSent, int heartbeat);
    void adopt(ObjectVersion newRevision, const std::string &body);
    void confirmLease(MonotonicTime requestSent);

    boost::asio::io_context &context;
    const RouterSettings &settings;
    RouterStatus &status;
    std::string incarnationName;
    HttpClient client;
    ObjectStoreClient store;
    LedgerService ledgerService;
    SessionService sessionService;
    SnapshotListener listener;
    ObjectVersion revision = 0;
    std::unique_ptr<PeerService> peerService;
};

} // namespace Godwitfork
