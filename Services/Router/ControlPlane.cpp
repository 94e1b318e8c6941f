#include "ControlPlane.h"

#include "LibCore/Identifier.h"
#include "LibCore/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
const std::string configurationObject = "configuration/current";
constexpr Duration watchTime = std::chrono::seconds(30);
/// Interval of the store's heartbeats, less 2 % for a difference in rate between the two clocks.
constexpr Duration heartbeatPeriod = std::chrono::milliseconds(980);
constexpr Duration retryDelay = std::chrono::milliseconds(250);
constexpr int incarnationRandomBytes = 4;

std::string makeIncarnation(const std::string &instance)
{
    RandomSource random = systemSeededRandomSource();
    return instance + "-" + randomHex(random, incarnationRandomBytes);
}
} // namespace

ControlPlane::ControlPlane(Asio::io_context &context, const RouterSettings &settings, RouterStatus &status)
    : context(context)
    , settings(settings)
    , status(status)
    , incarnationName(makeIncarnation(settings.instance))
    , client(context)
    , store(this->client, settings.store, settings.storeTimeout)
    , ledgerService(context, this->store, status, this->incarnationName, settings.failureDomain)
    , sessionService(this->store)
{
    if (!settings.peerListen.host.empty()) {
        this->peerService = std::make_unique<PeerService>(context, settings, status, this->store, this->ledgerService, this->incarnationName);
        this->peerService->onRevision([this](std::uint64_t newRevision, const std::string &body) { this->adopt(newRevision, body); });
    }
}

void ControlPlane::onSnapshot(SnapshotListener newListener)
{
    this->listener = std::move(newListener);
}

void ControlPlane::start()
{
    Asio::co_spawn(this->context, this->followConfiguration(), Asio::detached);
    if (this->peerService) {
        this->peerService->start();
    }
}

PeerService *ControlPlane::peers()
{
    return this->peerService.get();
}

Asio::io_context &ControlPlane::executionContext()
{
    return this->context;
}

LedgerService &ControlPlane::ledger()
{
    return this->ledgerService;
}

SessionService &ControlPlane::sessions()
{
    return this->sessionService;
}

ObjectStoreClient &ControlPlane::objectStore()
{
    return this->store;
}

const std::string &ControlPlane::incarnation() const
{
    return this->incarnationName;
}

// The lease counts from the moment of the question, because the answer may describe the store at any time since then.
void ControlPlane::confirm(MonotonicTime asked)
{
    if (this->revision > 0) {
        this->status.extendLease(asked + this->settings.configurationLease);
    }
}

Asio::awaitable<void> ControlPlane::followConfiguration()
{
    while (true) {
        bool reachable = co_await this->readConfiguration();
        while (reachable) {
            const MonotonicTime asked = monotonicNow();
            const ObjectVersion watched = this->revision;
            // A frozen connection may deliver heartbeats late, so the lease counts from the time that their number proves.
            int heartbeats = 0;
            const auto changes = co_await this->store.watch(configurationObject, watched, watchTime, [this, watched, asked, &heartbeats] {
                ++heartbeats;
                this->takeHeartbeat(watched, asked, heartbeats);
            });
            reachable = changes.has_value();
            if (!reachable) {
                logEvent(LogLevel::Warning, "store.watch_failed", {{"reason", changes.error().message}});
                break;
            }
            for (const StoredObject &object : changes.value()) {
                this->takeFromStore(object, asked);
            }
        }
        Asio::steady_timer pause(this->context, retryDelay);
        co_await pause.async_wait(Asio::use_awaitable);
    }
}

Asio::awaitable<bool> ControlPlane::readConfiguration()
{
    const MonotonicTime asked = monotonicNow();
    const auto object = co_await this->store.read(configurationObject);
    if (!object) {
        // An absent configuration is an answer too: the watch then waits for the first one.
        co_return object.error().failure == StoreFailure::NotFound;
    }
    this->takeFromStore(object.value(), asked);
    co_return true;
}

void ControlPlane::takeFromStore(const StoredObject &object, MonotonicTime asked)
{
    if (object.name != configurationObject || object.value.empty()) {
        return;
    }
    if (this->peerService) {
        this->peerService->takeFromStore(object.version, object.value, asked);
        return;
    }
    this->adopt(object.version, object.value);
    this->confirm(asked);
}

void ControlPlane::takeHeartbeat(ObjectVersion watched, MonotonicTime asked, int heartbeat)
{
    if (this->peerService) {
        this->peerService->takeHeartbeat(watched, asked, heartbeat);
        return;
    }
    this->confirm(asked + heartbeatPeriod * (heartbeat - 1));
}

void ControlPlane::adopt(ObjectVersion newRevision, const std::string &body)
{
    if (newRevision <= this->revision) {
        return;
    }
    auto configuration = configurationFromJson(body);
    if (!configuration) {
        logEvent(LogLevel::Error, "configuration.invalid", {{"revision", newRevision}, {"reason", configuration.error().message}});
        return;
    }
    const auto site = configuration.value().sites.find(this->settings.site);
    if (site == configuration.value().sites.end()) {
        logEvent(LogLevel::Error, "configuration.site_missing", {{"revision", newRevision}, {"site", this->settings.site}});
        return;
    }
    this->revision = newRevision;
    logEvent(LogLevel::Info, "configuration.adopted", {{"revision", newRevision}});
    this->listener(std::make_shared<const RoutingSnapshot>(newRevision, std::move(site->second)));
}

} // namespace Godwitfork
