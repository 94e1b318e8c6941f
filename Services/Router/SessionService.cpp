#include "SessionService.h"

#include "LibCore/Log.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// About 200 bytes each, so at most 20 MB of the 256 MB that an instance has for control.
constexpr std::size_t cacheCapacity = 100000;
/// Writes that race or whose answers are lost are repeated; more rounds mean that the store is not usable.
constexpr int maxRounds = 4;

std::string pinText(const SessionPin &pin, std::uint64_t revision)
{
    return nlohmann::json {{"model", pin.model}, {"version", pin.version}, {"revision", revision}}.dump();
}

ApiError storeUnavailable()
{
    return apiError("store_unavailable", "the session's version cannot be looked up at the moment; send the session token of an earlier answer");
}
} // namespace

SessionService::SessionService(ObjectStoreClient &store) : store(store), cache(cacheCapacity)
{
}

Asio::awaitable<Outcome<PinResult, ApiError>> SessionService::resolve(PinRequest request)
{
    const std::string objectName = sessionObjectName(request.name);
    std::optional<SessionPin> known = request.token;
    if (!known) {
        known = this->cache.find(objectName);
    }
    if (known && request.isInService(*known)) {
        this->cache.put(objectName, *known);
        co_return PinResult {*known, "", std::nullopt};
    }
    this->cache.erase(objectName);
    for (int round = 0; round < maxRounds; ++round) {
        const auto stored = co_await this->readOrCreate(objectName, request);
        if (!stored) {
            co_return stored.error();
        }
        const StoredPin &current = stored.value();
        const bool isUsable = request.isInService(current.pin);
        // An instance that has not adopted the newer revision takes its versions for withdrawn ones.
        if (!isUsable && current.revision > request.revision) {
            co_return PinResult {current.pin, "", current.revision};
        }
        const std::string left = known ? known->version : isUsable ? std::string() : current.pin.version;
        if (!left.empty() && request.withdrawn == WithdrawnPin::Refuse) {
            co_return apiError("session_version_withdrawn", "version '" + left + "' of this session is withdrawn");
        }
        if (isUsable) {
            this->cache.put(objectName, current.pin);
            co_return PinResult {current.pin, left, std::nullopt};
        }
        const auto written = co_await this->store.write(objectName, pinText(request.proposed, request.revision), ifVersion(current.version));
        if (written) {
            logEvent(LogLevel::Info, "session.moved", {{"object", objectName}, {"from", current.pin.version}, {"to", request.proposed.version}});
            this->cache.put(objectName, request.proposed);
            co_return PinResult {request.proposed, left, std::nullopt};
        }
    }
    co_return storeUnavailable();
}

Asio::awaitable<Outcome<SessionService::StoredPin, ApiError>> SessionService::readOrCreate(const std::string &objectName, const PinRequest &request)
{
    for (int round = 0; round < maxRounds; ++round) {
        const auto created = co_await this->store.write(objectName, pinText(request.proposed, request.revision), createOnly());
        if (created) {
            co_return StoredPin {request.proposed, request.revision, created.value()};
        }
        if (created.error().failure == StoreFailure::Unavailable) {
            break;
        }
        // On a conflict the stored pin counts. After a lost answer it may be this instance's own or another's; both count.
        const auto stored = co_await this->store.read(objectName);
        if (stored) {
            const auto pin = parsePin(stored.value());
            if (pin) {
                co_return *pin;
            }
        } else if (stored.error().failure != StoreFailure::NotFound) {
            break;
        }
    }
    co_return storeUnavailable();
}

std::optional<SessionService::StoredPin> SessionService::parsePin(const StoredObject &object)
{
    const auto json = nlohmann::json::parse(object.value, nullptr, false);
    if (!json.is_object()) {
        logEvent(LogLevel::Warning, "session.malformed", {{"object", object.name}, {"version", object.version}});
        return std::nullopt;
    }
    return StoredPin {{json.value("model", ""), json.value("version", "")}, json.value("revision", std::uint64_t {0}), object.version};
}

} // namespace Godwitfork
