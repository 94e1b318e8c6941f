#pragma once

#include "LibAdministration/ConfigurationRecord.h"

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Calls of the object API that the configuration needs; tests replace them.
struct ObjectStoreOperations {
    std::function<boost::asio::awaitable<StoreOutcome<StoredObject>>(std::string name)> read;
    std::function<boost::asio::awaitable<StoreOutcome<ObjectVersion>>(std::string name, std::string value, WriteCondition condition)> write;
    std::function<boost::asio::awaitable<StoreOutcome<std::vector<StoredObject>>>(std::string prefix)> list;
    /// Waits between two tries of a write.
    std::function<boost::asio::awaitable<void>()> pause;
};

/// The calls on a client. Both arguments must outlive the result.
ObjectStoreOperations makeObjectStoreOperations(ObjectStoreClient &client, boost::asio::io_context &context);

enum class ApplyStatus {
    Applied,
    /// An earlier try of the same token took effect.
    AlreadyApplied,
    /// Another revision took the place; nothing was written.
    Conflict,
    /// The change itself is not allowed; nothing was written.
    Refused,
    /// The store could not be reached; nothing was written.
    Unavailable,
    /// The write may or may not take effect. Repeating it with the same token is safe.
    Unknown,
};

struct ApplyResult {
    ApplyStatus status = ApplyStatus::Unavailable;
    /// The new revision; for `Conflict` the one that is current.
    ObjectVersion revision = 0;
    std::string message;

    auto operator<=>(const ApplyResult &) const = default;
};

/// Changes a configuration in place, or refuses with a reason.
using ConfigurationChange = std::function<ErrorOr<void>(Configuration &configuration)>;

/// The revision `configuration/current`; `NotFound` becomes revision 0 with an empty configuration.
boost::asio::awaitable<StoreOutcome<ConfigurationRecord>> readCurrent(const ObjectStoreOperations &objects);

/// All revisions from the newest to the oldest, at most `limit`.
boost::asio::awaitable<StoreOutcome<std::vector<ConfigurationRecord>>> readHistory(const ObjectStoreOperations &objects, std::size_t limit);

/// One revision, current or archived.
boost::asio::awaitable<StoreOutcome<ConfigurationRecord>> readRevision(const ObjectStoreOperations &objects, ObjectVersion revision);

/// Replaces the revision `note.basedOn` if it is still current. Returns `Applied` only when the revision is stored.
boost::asio::awaitable<ApplyResult> applyConfiguration(const ObjectStoreOperations &objects, ApplyNote note, Configuration configuration);

/// Applies a change to whatever revision is current, again after each lost race. An earlier try of the same token is
/// recognised in any revision after `note.basedOn`, which is the one that was current before the first try; with 0 only
/// in the current one.
boost::asio::awaitable<ApplyResult> changeConfiguration(const ObjectStoreOperations &objects, ApplyNote note, ConfigurationChange change);

} // namespace Godwitfork
