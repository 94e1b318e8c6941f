#pragma once

#include "LibHttp/HttpClient.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Version of an object. The store increases it with every write to any object; 0 means that the object does not exist.
using ObjectVersion = std::uint64_t;

/// One object of the platform's object store. `value` is JSON text.
struct StoredObject {
    std::string name;
    ObjectVersion version = 0;
    std::string value;

    auto operator<=>(const StoredObject &) const = default;
};

enum class StoreFailure {
    /// The write condition was not met; nothing was written.
    Conflict,
    NotFound,
    /// The request did not reach the store, or the store responded with status 503.
    Unavailable,
    /// The request may have taken effect, but no valid response was received.
    Unknown,
    /// The store rejected the request, for example because of a value over 1 MB.
    Rejected,
};

struct StoreError {
    StoreFailure failure = StoreFailure::Unavailable;
    std::string message;
    /// Current version of the object if `failure` is `Conflict`.
    ObjectVersion currentVersion = 0;

    auto operator<=>(const StoreError &) const = default;
};

template<typename T>
using StoreOutcome = Outcome<T, StoreError>;

enum class WriteConditionKind { Always, CreateOnly, VersionMatches };

struct WriteCondition {
    WriteConditionKind kind = WriteConditionKind::Always;
    ObjectVersion version = 0;
};

WriteCondition createOnly();
WriteCondition ifVersion(ObjectVersion version);

/// Client of the platform's object API, for an io_context that is run by a single thread. The store counts every call.
class ObjectStoreClient
{
public:
    ObjectStoreClient(HttpClient &client, HttpAddress address, Duration timeout);

    boost::asio::awaitable<StoreOutcome<StoredObject>> read(std::string name);
    /// Writes a value if the condition is met and returns the new version.
    boost::asio::awaitable<StoreOutcome<ObjectVersion>> write(std::string name, std::string value, WriteCondition condition);
    boost::asio::awaitable<StoreOutcome<ObjectVersion>> remove(std::string name, WriteCondition condition);
    /// Returns all objects whose names start with `prefix`, ordered by name, with one request per page.
    boost::asio::awaitable<StoreOutcome<std::vector<StoredObject>>> list(std::string prefix);
    /// Waits up to `wait` for an object with the prefix to get a version above `after`. Returns the changed objects; an empty
    /// value means that the object was removed. `onHeartbeat` is called for each heartbeat of the store: the first is sent when
    /// the watch starts, each further one at least a second after the previous one.
    boost::asio::awaitable<StoreOutcome<std::vector<StoredObject>>>
    watch(std::string prefix, ObjectVersion after, Duration wait, std::function<void()> onHeartbeat);

private:
    boost::asio::awaitable<StoreOutcome<HttpResponse>> call(HttpRequest request);

    HttpClient &client;
    HttpAddress address;
    HttpCallOptions options;
};

} // namespace Godwitfork
