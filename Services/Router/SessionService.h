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

/// Handling of a session whose pinned version is withdrawn or no longer allowed: pin it to the proposed version, or refuse
/// the request.
enum class WithdrawnPinPolicy { Replace, Refuse };

struct PinRequest {
    SessionName name;
    /// Pin from the session token of the request, if it contains one.
    std::optional<SessionPin> tokenPin;
    /// Pin for a session that has none yet or that must leave its pinned version.
    SessionPin proposed;
    /// Configuration revision on which `proposed` and `isInService` are based.
    std::uint64_t revision = 0;
    /// Whether new requests may run on the pinned version under this revision.
    std::function<bool(const SessionPin &)> isInService;
    WithdrawnPinPolicy withdrawnPolicy = WithdrawnPinPolicy::Replace;
};

struct PinResult {
    SessionPin pin;
    /// Previous version of a session that was moved; empty if the session kept its version.
    std::string movedFrom;
    /// Revision of the stored pin, set if it is newer than the revision of the request and the pinned version is not in service
    /// under the latter. The pin is then unresolved, and the caller must retry after adopting this revision.
    std::optional<std::uint64_t> newerRevision;

    auto operator<=>(const PinResult &) const = default;
};

/// Resolves session pins (design section 5.3). All instances agree on a pin, because the first pin of a session is written to
/// the store only if none exists, and a move replaces exactly the object version that was read (compare-and-swap). Runs on the
/// control thread.
class SessionService
{
public:
    explicit SessionService(ObjectStoreClient &store);

    boost::asio::awaitable<Outcome<PinResult, ApiError>> resolve(PinRequest request);

private:
    struct StoredPin {
        SessionPin pin;
        /// Configuration revision under which the pin was created.
        std::uint64_t revision = 0;
        ObjectVersion version = 0;
    };

    boost::asio::awaitable<Outcome<StoredPin, ApiError>> readOrCreate(const std::string &objectName, const PinRequest &request);
    static std::optional<StoredPin> parsePin(const StoredObject &object);

    ObjectStoreClient &store;
    PinCache cache;
};

} // namespace Godwitfork
