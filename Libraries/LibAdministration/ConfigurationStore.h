#pragma once

#include "LibAdministration/ConfigurationRecord.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Operations of the object store that the administration API uses; tests replace them.
struct ObjectStoreOperations {
    std::function<boost::asio::awaitable<StoreOutcome<StoredObject>>(std::string name)> read;
    std::function<boost::asio::awaitable<StoreOutcome<ObjectVersion>>(std::string name, std::string value, WriteCondition condition)> write;
    std::function<boost::asio::awaitable<StoreOutcome<std::vector<StoredObject>>>(std::string prefix)> list;
    /// Waits before the next attempt of a write.
    std::function<boost::asio::awaitable<void>()> waitBeforeRetry;
};

/// Operations that call a client. Both arguments must outlive the result.
ObjectStoreOperations makeObjectStoreOperations(ObjectStoreClient &client, boost::asio::io_context &context);

enum class ApplyStatus {
    Applied,
    /// An earlier attempt with the same token took effect.
    AlreadyApplied,
    /// The current revision is not the one to be replaced; nothing was written.
    Conflict,
    /// The change is not allowed; nothing was written.
    Refused,
    /// The store was unreachable; nothing was written.
    Unavailable,
    /// The write may have taken effect or may still do so. Repeating it with the same token is safe.
    Unknown,
};

struct ApplyResult {
    ApplyStatus status = ApplyStatus::Unavailable;
    /// Stored revision; the current one for `Conflict`, and for `Refused` if it was read; otherwise 0.
    ObjectVersion revision = 0;
    std::string message;

    auto operator<=>(const ApplyResult &) const = default;
};

/// Changes a configuration in place, or fails with the reason why the change is refused.
using ConfigurationChange = std::function<ErrorOr<void>(Configuration &configuration)>;

/// Reads `configuration/current`. Returns revision 0 with an empty configuration if the object does not exist.
boost::asio::awaitable<StoreOutcome<ConfigurationRecord>> readCurrent(const ObjectStoreOperations &objects);

/// Reads the newest revisions in descending order, at most `limit`.
boost::asio::awaitable<StoreOutcome<std::vector<ConfigurationRecord>>> readHistory(const ObjectStoreOperations &objects, std::size_t limit);

/// Reads one revision, current or archived.
boost::asio::awaitable<StoreOutcome<ConfigurationRecord>> readRevision(const ObjectStoreOperations &objects, ObjectVersion revision);

/// Replaces the revision `metadata.basedOn` if it is still current. Returns `Applied` only when the revision is stored.
boost::asio::awaitable<ApplyResult> applyConfiguration(const ObjectStoreOperations &objects, ApplyMetadata metadata, Configuration configuration);

/// Applies a change to the current revision, and retries after each conflict. `metadata.basedOn` is the revision that was
/// current before the first attempt: an earlier attempt with the same token is detected in any later revision. If it is 0,
/// an earlier attempt is detected only in the current revision.
boost::asio::awaitable<ApplyResult> changeConfiguration(const ObjectStoreOperations &objects, ApplyMetadata metadata, ConfigurationChange change);

} // namespace Godwitfork
