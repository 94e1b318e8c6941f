#pragma once

#include "LibHttp/HttpClient.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Version of an object: grows with every write in the store, over all objects; 0 means that the object does not exist.
using ObjectVersion = std::uint64_t;

/// One object of the platform's store. `value` is JSON text.
struct StoredObject {
    std::string name;
    ObjectVersion version = 0;
    std::string value;

    auto operator<=>(const StoredObject &) const = default;
};

enum class StoreFailure {
    /// The condition did not hold; nothing was written.
    Conflict,
    NotFound,
    /// The request did not reach the store.
    Unavailable,
    /// The request may have taken effect, but its answer was lost.
    Unknown,
    /// The store refused the request, for example a value over 1 MB.
    Rejected,
};

struct StoreError {
    StoreFailure failure = StoreFailure::Unavailable;
    std::string message;
    /// The version that the object has, if `failure` is `Conflict`.
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

/// Client of the platform's object API, for one io_context that is run by one thread. Each call counts at the store.
class ObjectStoreClient
{
public:
    ObjectStoreClient(HttpClient &client, HttpAddress address, Duration timeout);

    boost::asio::awaitable<StoreOutcome<StoredObject>> read(std::string name);
    /// Returns the new version.
    boost::asio::awaitable<StoreOutcome<ObjectVersion>> write(std::string name, std::string value, WriteCondition condition);
    boost::asio::awaitable<StoreOutcome<ObjectVersion>> remove(std::string name, WriteCondition condition);
    /// All objects whose names start with `prefix`, in name order; reads further pages as needed.
    boost::asio::awaitable<StoreOutcome<std::vector<StoredObject>>> list(std::string prefix);
    /// Waits up to `wait` for an object with the prefix to pass `after`. Returns the changed objects; an empty value
    /// means that the object was removed. `onHeartbeat` runs each time the store shows that it is alive.
    boost::asio::awaitable<StoreOutcome<std::vector<StoredObject>>>
    watch(std::string prefix, ObjectVersion after, Duration wait, std::function<void()> onHeartbeat);

private:
    boost::asio::awaitable<StoreOutcome<HttpResponse>> call(HttpRequest request);

    HttpClient &client;
    HttpAddress address;
    HttpCallOptions options;
};

} // namespace Godwitfork
