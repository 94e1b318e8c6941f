#include "AdministrationListener.h"

#include <utility>

namespace Godwitfork
{

namespace
{
HttpServerLimits administrationLimits(const RouterSettings &settings)
{
    HttpServerLimits limits = listenerLimits(settings.connections, descriptorShares(descriptorLimit()).others);
    // The store limits a configuration to 1 MB; the request adds a small overhead.
    limits.maxBodyBytes = 2 * 1024 * 1024;
    return limits;
}
} // namespace

AdministrationListener::AdministrationListener(const RouterSettings &settings, ControlPlane &control, const RouterStatus &status)
    : settings(settings)
    , control(control)
    , status(status)
    , api(this->makeContext())
    , memory(memoryLimits(administrationMemory(settings)))
    , server(
          control.executionContext(),
          settings.administrationListen,
          administrationLimits(settings),
          [this](HttpExchange &exchange) { return this->api.handle(exchange); },
          AdministrationApi::refuse)
{
    this->server.setMemory(this->memory);
}

HttpAddress AdministrationListener::address() const
{
    return this->server.address();
}

void AdministrationListener::start()
{
    this->server.start();
}

void AdministrationListener::stop()
{
    this->server.stop();
}

void AdministrationListener::setSnapshot(SnapshotPointer newSnapshot)
{
    this->snapshot = std::move(newSnapshot);
}

AdministrationContext AdministrationListener::makeContext()
{
    AdministrationContext context;
    context.objects = makeObjectStoreOperations(this->control.objectStore(), this->control.executionContext());
    context.operatorKeyHashes = [this] { return this->operatorKeyHashes(); };
    context.instances = [this] { return this->instanceStates(); };
    context.now = wallNow;
    return context;
}

std::vector<std::string> AdministrationListener::operatorKeyHashes() const
{
    // Keys from the settings are always valid: the first configuration is written with one, and they restore access if a
    // configuration contains no usable operator key.
    std::vector<std::string> hashes = this->settings.administrationKeyHashes;
    if (this->snapshot) {
        const std::vector<std::string> &configured = this->snapshot->site().operatorKeyHashes;
        hashes.insert(hashes.end(), configured.begin(), configured.end());
    }
    return hashes;
}

// Gossip only reports which members hold the same revision as this instance, so all other members are listed with
// revision 0.
std::vector<InstanceState> AdministrationListener::instanceStates() const
{
    std::vector<InstanceState> states {this->ownState()};
    if (this->control.peers() == nullptr) {
        return states;
    }
    const MonotonicTime now = monotonicNow();
    const MemberTable &members = this->control.peers()->members();
    const std::set<std::string> holders = members.holderNames();
    for (const PeerMember &member : members.members()) {
        if (member.incarnation == this->control.incarnation()) {
            continue;
        }
        InstanceState state;
        state.instance = member.instance;
        state.incarnation = member.incarnation;
        state.failureDomain = member.failureDomain;
        state.revision = holders.contains(member.incarnation) ? states.front().revision : 0;
        state.isReady = state.revision > 0 && members.stateOf(member.incarnation, now) == MemberState::Alive;
        states.push_back(state);
    }
    return states;
}

InstanceState AdministrationListener::ownState() const
{
    InstanceState state;
    state.instance = this->settings.instance;
    state.incarnation = this->control.incarnation();
    state.failureDomain = this->settings.failureDomain;
    state.site = this->settings.site;
    state.revision = this->snapshot ? this->snapshot->revision() : 0;
    state.isReady = this->status.isAdmitting(monotonicNow());
    return state;
}

} // namespace Godwitfork
