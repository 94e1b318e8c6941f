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

std::string pinText(const SessionPin &pin)
{
    return nlohmann::json {{"model", pin.model}, {"version", pin.version}}.dump();
}

std::optional<SessionPin> parsePin(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return std::nullopt;
    }
    return SessionPin {json.value("model", ""), json.value("version", "")};
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
    if (!known) {
        const auto stored = co_await this->readOrCreate(objectName, request.proposed);
        if (!stored) {
            co_return stored.error();
        }
        known = stored.value().pin;
    }
    if (request.isInService(*known)) {
        this->cache.put(objectName, *known);
        co_return PinResult {*known, ""};
    }
    if (request.withdrawn == WithdrawnPin::Refuse) {
        co_return apiError("session_version_withdrawn", "version '" + known->version + "' of this session is withdrawn");
    }
    this->cache.erase(objectName);
    auto moved = co_await this->move(request, objectName);
    if (moved && moved.value().movedFrom.empty()) {
        // Another instance moved the session first; this caller still learns that its version changed.
        moved.value().movedFrom = known->version;
    }
    co_return moved;
}

Asio::awaitable<Outcome<SessionService::StoredPin, ApiError>> SessionService::readOrCreate(const std::string &objectName, const SessionPin &proposed)
{
    for (int round = 0; round < maxRounds; ++round) {
        const auto created = co_await this->store.write(objectName, pinText(proposed), createOnly());
        if (created) {
            co_return StoredPin {proposed, created.value()};
        }
        if (created.error().failure == StoreFailure::Unavailable) {
            break;
        }
        // On a conflict the stored pin counts. After a lost answer it may be this instance's own or another's; both count.
        const auto stored = co_await this->store.read(objectName);
        if (stored) {
            const auto pin = parsePin(stored.value().value);
            if (pin) {
                co_return StoredPin {*pin, stored.value().version};
            }
        } else if (stored.error().failure != StoreFailure::NotFound) {
            break;
        }
    }
    co_return storeUnavailable();
}

Asio::awaitable<Outcome<PinResult, ApiError>> SessionService::move(const PinRequest &request, const std::string &objectName)
{
    for (int round = 0; round < maxRounds; ++round) {
        const auto stored = co_await this->readOrCreate(objectName, request.proposed);
        if (!stored) {
            co_return stored.error();
        }
        const StoredPin &current = stored.value();
        if (request.isInService(current.pin)) {
            this->cache.put(objectName, current.pin);
            co_return PinResult {current.pin, ""};
        }
        const auto written = co_await this->store.write(objectName, pinText(request.proposed), ifVersion(current.version));
        if (written) {
            logEvent(LogLevel::Info, "session.moved", {{"object", objectName}, {"from", current.pin.version}, {"to", request.proposed.version}});
            this->cache.put(objectName, request.proposed);
            co_return PinResult {request.proposed, current.pin.version};
        }
    }
    co_return storeUnavailable();
}

} // namespace Godwitfork
