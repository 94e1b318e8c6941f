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

/// Owner of the control state. Every member runs on the control thread, which runs `context`.
class ControlPlane
{
public:
    using SnapshotListener = std::function<void(const SnapshotPointer &)>;

    ControlPlane(boost::asio::io_context &context, const RouterSettings &settings, RouterStatus &status);

    /// Called on the control thread for every new snapshot.
    void onSnapshot(SnapshotListener listener);
    void start();

    boost::asio::io_context &executionContext();
    LedgerService &ledger();
    SessionService &sessions();
    ObjectStoreClient &objectStore();
    /// Null if the settings name no peer listener.
    PeerService *peers();
    /// Name of this run of the process: the instance's name and a random part.
    const std::string &incarnation() const;

private:
    boost::asio::awaitable<void> followConfiguration();
    boost::asio::awaitable<bool> readConfiguration();
    void takeFromStore(const StoredObject &object, MonotonicTime asked);
    void takeHeartbeat(ObjectVersion watched, MonotonicTime asked, int heartbeat);
    void adopt(ObjectVersion newRevision, const std::string &body);
    void confirm(MonotonicTime asked);

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
