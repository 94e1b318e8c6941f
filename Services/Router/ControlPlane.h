#pragma once

#include "LedgerService.h"
#include "LibHttp/HttpClient.h"
#include "LibObjectStore/ObjectStoreClient.h"
#include "RouterSettings.h"
#include "RouterStatus.h"
#include "RoutingSnapshot.h"
#include "SessionService.h"

#include <functional>
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
    /// Name of this run of the process: the instance's name and a random part.
    const std::string &incarnation() const;

private:
    boost::asio::awaitable<void> followConfiguration();
    boost::asio::awaitable<bool> readConfiguration();
    void adopt(const StoredObject &object);
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
};

} // namespace Godwitfork
