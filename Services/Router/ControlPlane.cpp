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
}

void ControlPlane::onSnapshot(SnapshotListener newListener)
{
    this->listener = std::move(newListener);
}

void ControlPlane::start()
{
    Asio::co_spawn(this->context, this->followConfiguration(), Asio::detached);
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
            // A heartbeat is sent after the store compared the version, so it confirms the revision as of its arrival.
            const auto changes = co_await this->store.watch(configurationObject, this->revision, watchTime, [this] { this->confirm(monotonicNow()); });
            reachable = changes.has_value();
            if (!reachable) {
                logEvent(LogLevel::Warning, "store.watch_failed", {{"reason", changes.error().message}});
                break;
            }
            for (const StoredObject &object : changes.value()) {
                this->adopt(object);
            }
            this->confirm(asked);
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
    this->adopt(object.value());
    this->confirm(asked);
    co_return true;
}

void ControlPlane::adopt(const StoredObject &object)
{
    if (object.name != configurationObject || object.version <= this->revision || object.value.empty()) {
        return;
    }
    auto configuration = configurationFromJson(object.value);
    if (!configuration) {
        logEvent(LogLevel::Error, "configuration.invalid", {{"revision", object.version}, {"reason", configuration.error().message}});
        return;
    }
    const auto site = configuration.value().sites.find(this->settings.site);
    if (site == configuration.value().sites.end()) {
        logEvent(LogLevel::Error, "configuration.site_missing", {{"revision", object.version}, {"site", this->settings.site}});
        return;
    }
    this->revision = object.version;
    logEvent(LogLevel::Info, "configuration.adopted", {{"revision", object.version}});
    this->listener(std::make_shared<const RoutingSnapshot>(object.version, std::move(site->second)));
}

} // namespace Godwitfork
