#include "PeerService.h"

#include "JournalLinks.h"
#include "LibCore/Log.h"
#include "LibHttp/HttpMessage.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
const std::string membersPrefix = "members/";
constexpr Duration gossipInterval = std::chrono::milliseconds(500);
constexpr Duration watchTimeout = std::chrono::seconds(30);
constexpr Duration retryDelay = std::chrono::seconds(1);
/// Time without messages from an instance after which its member object is removed (design section 5.10).
constexpr Duration memberRemovalTimeout = std::chrono::seconds(60);

std::string encodeMember(const PeerMember &member)
{
    return nlohmann::json {
        {"incarnation", member.incarnation}, {"instance", member.instance}, {"failure_domain", member.failureDomain}, {"peer_address", member.peerAddress}}
        .dump();
}

PeerMember parseMember(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return {};
    }
    return {json.value("incarnation", ""), json.value("instance", ""), json.value("failure_domain", ""), json.value("peer_address", "")};
}

PeerNetworkOptions networkOptions(const RouterSettings &settings, const std::string &incarnation)
{
    PeerNetworkOptions options;
    options.self = incarnation;
    options.sharedKey = settings.peerKey;
    options.listenHost = settings.peerListen.host;
    options.listenPort = settings.peerListen.port;
    return options;
}

MembershipLimits membershipLimits(const RouterSettings &settings)
{
    MembershipLimits limits;
    limits.lease.lease = settings.configurationLease;
    return limits;
}
} // namespace

PeerService::PeerService(Asio::io_context &context,
                         const RouterSettings &settings,
                         RouterStatus &status,
                         ObjectStoreClient &store,
                         LedgerService &ledger,
                         std::string incarnation)
    : context(context), status(status), store(store), ledger(ledger), leaseDuration(settings.configurationLease), random(systemSeededRandomSource())
{
    PeerHandlers handlers;
    handlers.message = [this](const std::string &sender, const PeerMessage &message) { this->receive(sender, message); };
    this->network = std::make_unique<PeerNetwork>(
        networkOptions(settings, incarnation), handlers, [&context](std::function<void()> task) { Asio::post(context, std::move(task)); });
    const HttpAddress listen {settings.peerListen.host, this->network->port()};
    this->self = {std::move(incarnation), settings.instance, settings.failureDomain, toText(listen)};
    this->membership = std::make_unique<Membership>(this->self, membershipLimits(settings));
    connectJournal(this->ledger, *this->network);
}

void PeerService::setRevisionListener(RevisionListener newListener)
{
    this->listener = std::move(newListener);
}

void PeerService::start()
{
    Asio::co_spawn(this->context, this->watchMembers(), Asio::detached);
    Asio::co_spawn(this->context, this->gossipLoop(), Asio::detached);
}

const MemberTable &PeerService::members() const
{
    return this->membership->members();
}

std::string PeerService::address() const
{
    return this->self.peerAddress;
}

void PeerService::receiveConfiguration(std::uint64_t revision, const std::string &body, MonotonicTime requestSent)
{
    this->send(this->membership->takeFromStore(revision, body, requestSent, this->random, monotonicNow()));
    this->publishMembershipState();
}

void PeerService::receiveHeartbeat(std::uint64_t revision, MonotonicTime requestSent, int heartbeat)
{
    this->membership->takeHeartbeat(revision, requestSent, heartbeat);
    this->publishMembershipState();
}

void PeerService::receive(const std::string &sender, const PeerMessage &message)
{
    if (!handleJournalMessage(this->ledger, sender, message)) {
        this->send(this->membership->receive(sender, message, this->random, monotonicNow()));
        this->publishMembershipState();
    }
}

void PeerService::send(const OutgoingMessages &messages)
{
    for (const OutgoingMessage &outgoing : messages) {
        this->network->send(outgoing.receiver, outgoing.message);
    }
}

void PeerService::publishMembershipState()
{
    this->listener(this->membership->revision(), this->membership->configuration());
    const MonotonicTime now = monotonicNow();
    if (this->membership->mayAdmit(now)) {
        const auto age = this->membership->lease().confirmationAge(now);
        if (age) {
            this->status.extendLease(now - *age + this->leaseDuration);
        }
    }
}

void PeerService::updateKeepers(MonotonicTime now)
{
    std::vector<JournalPeer> live;
    for (const PeerMember &member : this->members().members()) {
        if (member.incarnation != this->self.incarnation && this->members().stateOf(member.incarnation, now) == MemberState::Alive) {
            live.push_back({member.incarnation, member.failureDomain});
        }
    }
    if (live != this->livePeers) {
        logEvent(LogLevel::Info, "members.live_changed", {{"live_peers", live.size()}});
        this->livePeers = live;
        this->ledger.updatePeers(std::move(live));
    }
    this->ledger.settleDeadOwners([this, now](const std::string &owner) { return this->members().stateOf(owner, now) == MemberState::Dead; });
}

Asio::awaitable<void> PeerService::gossipLoop()
{
    while (!this->leaving) {
        const MonotonicTime now = monotonicNow();
        this->send(this->membership->gossip(this->random, now));
        this->publishMembershipState();
        this->updateKeepers(now);
        Asio::steady_timer timer(this->context, gossipInterval);
        co_await timer.async_wait(Asio::use_awaitable);
    }
}

Asio::awaitable<void> PeerService::watchMembers()
{
    while (!this->leaving) {
        bool reachable = co_await this->readMembers();
        while (reachable && !this->leaving) {
            const auto changes = co_await this->store.watch(membersPrefix, this->membersVersion, watchTimeout, [] {});
            reachable = changes.has_value();
            if (reachable && !changes.value().empty()) {
                reachable = co_await this->readMembers();
            }
            if (reachable) {
                co_await this->removeSilentMembers();
            }
        }
        Asio::steady_timer pause(this->context, retryDelay);
        co_await pause.async_wait(Asio::use_awaitable);
    }
}

Asio::awaitable<bool> PeerService::readMembers()
{
    auto objects = co_await this->store.list(membersPrefix);
    if (!objects) {
        co_return false;
    }
    std::vector<PeerMember> members;
    std::vector<PeerEndpoint> endpoints;
    bool isListed = false;
    for (const StoredObject &object : objects.value()) {
        this->membersVersion = std::max(this->membersVersion, object.version);
        const PeerMember member = parseMember(object.value);
        const HttpAddress address = parseHttpAddress(member.peerAddress);
        if (member.incarnation.empty() || address.host.empty()) {
            continue;
        }
        members.push_back(member);
        if (member.incarnation == this->self.incarnation) {
            isListed = true;
        } else {
            endpoints.push_back({member.incarnation, address.host, address.port});
        }
    }
    if (!isListed && !this->leaving) {
        // The object does not exist yet, or another instance removed it while this one was unreachable.
        const auto written = co_await this->store.write(membersPrefix + this->self.incarnation, encodeMember(this->self), createOnly());
        if (!written && written.error().failure != StoreFailure::Conflict) {
            co_return false;
        }
        members.push_back(this->self);
    }
    this->network->setPeers(std::move(endpoints));
    this->membership->takeMemberList(members, monotonicNow());
    co_return true;
}

Asio::awaitable<void> PeerService::removeSilentMembers()
{
    const std::vector<std::string> silentMembers = this->members().silentMembers(memberRemovalTimeout, monotonicNow());
    for (const std::string &incarnation : silentMembers) {
        const auto object = co_await this->store.read(membersPrefix + incarnation);
        if (object) {
            const auto removed = co_await this->store.remove(object.value().name, ifVersion(object.value().version));
            logEvent(LogLevel::Info, "members.removed_silent", {{"incarnation", incarnation}, {"removed", removed.has_value()}});
        }
    }
}

Asio::awaitable<void> PeerService::leave()
{
    this->leaving = true;
    for (const PeerMember &member : this->members().members()) {
        if (member.incarnation != this->self.incarnation) {
            this->network->send(member.incarnation, Leaving {this->self.incarnation});
        }
    }
    const auto removed = co_await this->store.remove(membersPrefix + this->self.incarnation, WriteCondition());
    if (!removed) {
        logEvent(LogLevel::Warning, "members.not_removed", {{"reason", removed.error().message}});
    }
}

} // namespace Godwitfork
