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
constexpr Duration watchTimeout = std::chrono::seconds(30);
/// Heartbeat interval of the store (1 s), shortened by 2 % to tolerate clock drift between the store and this instance.
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
        this->peerService->setRevisionListener([this](std::uint64_t newRevision, const std::string &body) { this->adopt(newRevision, body); });
    }
}

void ControlPlane::setSnapshotListener(SnapshotListener newListener)
{
    this->listener = std::move(newListener);
}

void ControlPlane::start()
{
    Asio::co_spawn(this->context, this->watchConfiguration(), Asio::detached);
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

// The lease starts when the request was sent, because the response may reflect the state of the store at any time since.
void ControlPlane::confirmLease(MonotonicTime requestSent)
{
    if (this->revision > 0) {
        this->status.extendLease(requestSent + this->settings.configurationLease);
    }
}

Asio::awaitable<void> ControlPlane::watchConfiguration()
{
    while (true) {
        bool reachable = co_await this->readConfiguration();
        while (reachable) {
            const MonotonicTime requestSent = monotonicNow();
            const ObjectVersion watchedRevision = this->revision;
            // A stalled connection may deliver heartbeats late, so the lease starts at the earliest time at which the store can have
            // sent that many heartbeats, not at their arrival.
            int heartbeatCount = 0;
            const auto changes =
                co_await this->store.watch(configurationObject, watchedRevision, watchTimeout, [this, watchedRevision, requestSent, &heartbeatCount] {
                    ++heartbeatCount;
                    this->receiveHeartbeat(watchedRevision, requestSent, heartbeatCount);
                });
            reachable = changes.has_value();
            if (!reachable) {
                logEvent(LogLevel::Warning, "store.watch_failed", {{"reason", changes.error().message}});
                break;
            }
            for (const StoredObject &object : changes.value()) {
                this->receiveConfiguration(object, requestSent);
            }
        }
        Asio::steady_timer pause(this->context, retryDelay);
        co_await pause.async_wait(Asio::use_awaitable);
    }
}

Asio::awaitable<bool> ControlPlane::readConfiguration()
{
    const MonotonicTime requestSent = monotonicNow();
    const auto object = co_await this->store.read(configurationObject);
    if (!object) {
        // The store is reachable even if no configuration exists; the watch then waits for the first one.
        co_return object.error().failure == StoreFailure::NotFound;
    }
    this->receiveConfiguration(object.value(), requestSent);
    co_return true;
}

void ControlPlane::receiveConfiguration(const StoredObject &object, MonotonicTime requestSent)
{
    if (object.name != configurationObject || object.value.empty()) {
        return;
    }
    if (this->peerService) {
        this->peerService->receiveConfiguration(object.version, object.value, requestSent);
        return;
    }
    this->adopt(object.version, object.value);
    this->confirmLease(requestSent);
}

void ControlPlane::receiveHeartbeat(ObjectVersion watchedRevision, MonotonicTime requestSent, int heartbeat)
{
    if (this->peerService) {
        this->peerService->receiveHeartbeat(watchedRevision, requestSent, heartbeat);
        return;
    }
    this->confirmLease(requestSent + heartbeatPeriod * (heartbeat - 1));
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
