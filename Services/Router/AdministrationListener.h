#pragma once

#include "ControlPlane.h"
#include "LibAdministration/AdministrationApi.h"
#include "LibHttp/HttpServer.h"
#include "RouterSettings.h"
#include "RouterStatus.h"
#include "RoutingSnapshot.h"

namespace Godwitfork
{

/// Serves the administration API on the control thread, on an address apart from the callers'.
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
    /// Own state, then the other members as gossip shows them.
    std::vector<InstanceState> instanceStates() const;

    const RouterSettings &settings;
    ControlPlane &control;
    const RouterStatus &status;
    SnapshotPointer snapshot;
    AdministrationApi api;
    HttpServer server;
};

} // namespace Godwitfork
