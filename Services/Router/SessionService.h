#pragma once

#include "ApiError.h"
#include "LibObjectStore/ObjectStoreClient.h"
#include "LibSession/PinCache.h"
#include "LibSession/SessionToken.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace Godwitfork
{

/// What to do with a session whose pinned version is out of service.
enum class WithdrawnPin { Replace, Refuse };

struct PinRequest {
    SessionName name;
    /// Pin from the caller's token, if it has one.
    std::optional<SessionPin> token;
    /// Pin for a session that has none yet, or whose version is out of service.
    SessionPin proposed;
    /// Configuration revision that `proposed` and `isInService` follow.
    std::uint64_t revision = 0;
    /// Whether new work may run on a pin under the revision in force.
    std::function<bool(const SessionPin &)> isInService;
    WithdrawnPin withdrawn = WithdrawnPin::Replace;
};

struct PinResult {
    SessionPin pin;
    /// Version that the session had to leave; empty if it kept its version.
    std::string movedFrom;
    /// Set if the stored pin was made under a newer revision that knows more than this instance: nothing was decided, and the
    /// caller asks again once the instance has adopted this revision.
    std::optional<std::uint64_t> newerRevision;

    auto operator<=>(const PinResult &) const = default;
};

/// Resolves session pins (design section 5.3). All instances agree because the first pin of a session is created in the store
/// on the condition that there is none, and a move replaces exactly the pin that was read. Lives on the control thread.
class SessionService
{
public:
    explicit SessionService(ObjectStoreClient &store);

    boost::asio::awaitable<Outcome<PinResult, ApiError>> resolve(PinRequest request);

private:
    struct StoredPin {
        SessionPin pin;
        /// Configuration revision under which the pin was made.
        std::uint64_t revision = 0;
        ObjectVersion version = 0;
    };

    boost::asio::awaitable<Outcome<StoredPin, ApiError>> readOrCreate(const std::string &objectName, const PinRequest &request);
    static std::optional<StoredPin> parsePin(const StoredObject &object);

    ObjectStoreClient &store;
    PinCache cache;
};

} // namespace Godwitfork
