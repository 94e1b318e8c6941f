#include "SessionService.h"

#include "LibCore/Log.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// An entry takes about 200 bytes, so the cache uses at most 20 MB of the 256 MB that an instance reserves for control.
constexpr std::size_t maxCachedPins = 100000;
/// Bound for repeating writes that conflict or whose responses are lost; the store counts as unavailable afterwards.
constexpr int maxAttempts = 4;

std::string encodePin(const SessionPin &pin, std::uint64_t revision)
{
    return nlohmann::json {{"model", pin.model}, {"version", pin.version}, {"revision", revision}}.dump();
}

ApiError storeUnavailable()
{
    return apiError("store_unavailable",
                    "the pinned version of the session cannot be read from the object store; retry with the session token of an earlier response");
}
} // namespace

SessionService::SessionService(ObjectStoreClient &store) : store(store), cache(maxCachedPins)
{
}

Asio::awaitable<Outcome<PinResult, ApiError>> SessionService::resolve(PinRequest request)
{
    const std::string objectName = sessionObjectName(request.name);
    std::optional<SessionPin> knownPin = request.tokenPin;
    if (!knownPin) {
        knownPin = this->cache.find(objectName);
    }
    if (knownPin && request.isInService(*knownPin)) {
        this->cache.put(objectName, *knownPin);
        co_return PinResult {*knownPin, "", std::nullopt};
    }
    this->cache.erase(objectName);
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const auto stored = co_await this->readOrCreate(objectName, request);
        if (!stored) {
            co_return stored.error();
        }
        const StoredPin &current = stored.value();
        const bool isUsable = request.isInService(current.pin);
        // The pinned version may be in service under the newer revision, which this instance has not adopted yet.
        if (!isUsable && current.revision > request.revision) {
            co_return PinResult {current.pin, "", current.revision};
        }
        const std::string previousVersion = knownPin ? knownPin->version : isUsable ? std::string() : current.pin.version;
        if (!previousVersion.empty() && request.withdrawnPolicy == WithdrawnPinPolicy::Refuse) {
            co_return apiError("session_version_withdrawn",
                               "version '" + previousVersion + "', to which this session is pinned, is withdrawn or no longer allowed");
        }
        if (isUsable) {
            this->cache.put(objectName, current.pin);
            co_return PinResult {current.pin, previousVersion, std::nullopt};
        }
        const auto written = co_await this->store.write(objectName, encodePin(request.proposed, request.revision), ifVersion(current.version));
        if (written) {
            logEvent(LogLevel::Info, "session.moved", {{"object", objectName}, {"from", current.pin.version}, {"to", request.proposed.version}});
            this->cache.put(objectName, request.proposed);
            co_return PinResult {request.proposed, previousVersion, std::nullopt};
        }
    }
    co_return storeUnavailable();
}

Asio::awaitable<Outcome<SessionService::StoredPin, ApiError>> SessionService::readOrCreate(const std::string &objectName, const PinRequest &request)
{
    for (int attempt = 0; attempt < maxAttempts; ++attempt) {
        const auto created = co_await this->store.write(objectName, encodePin(request.proposed, request.revision), createOnly());
        if (created) {
            co_return StoredPin {request.proposed, request.revision, created.value()};
        }
        if (created.error().failure == StoreFailure::Unavailable) {
            break;
        }
        // The stored pin takes precedence. After a lost response it may be the pin written here or that of another instance;
        // both are valid.
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
