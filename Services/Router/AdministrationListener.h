#pragma once

#include "ControlPlane.h"
#include "LibAdministration/AdministrationApi.h"
#include "LibHttp/HttpServer.h"
#include "RouterSettings.h"
#include "RouterStatus.h"
#include "RoutingSnapshot.h"

namespace Godwitfork
{

/// Serves the administration API on the control thread, on an address separate from the caller API.
class AdministrationListener
{
public:
    AdministrationListener(const RouterSettings &settings, ControlPlane &control, const RouterStatus &status);

    HttpAddress address() const;
    void start();
    void stop();
    void setSnapshot(SnapshotPointer newSnapshot);

private:
    AdministrationContext makeContext();
    std::vector<std::string> operatorKeyHashes() const;
    InstanceState ownState() const;
    /// State of this instance, followed by the state of the other members as reported by gossip.
    std::vector<InstanceState> instanceStates() const;

    const RouterSettings &settings;
    ControlPlane &control;
    const RouterStatus &status;
    SnapshotPointer snapshot;
    AdministrationApi api;
    MemoryBudget memory;
    HttpServer server;
};

} // namespace Godwitfork
