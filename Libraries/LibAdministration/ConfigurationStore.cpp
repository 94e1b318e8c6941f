#include "LibAdministration/ConfigurationStore.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <optional>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
const std::string currentName = "configuration/current";
const std::string historyPrefix = "configuration/history/";

constexpr Duration retryDelay = std::chrono::milliseconds(100);
/// With the client's timeout of 2 s per call, an apply ends after about 15 s if the store never responds.
constexpr int maxAttempts = 4;
/// Consecutive conflicts after which a change fails. Each conflict means that another operator's change was stored.
constexpr int maxConflicts = 20;
/// Limit of the store for the size of a value.
constexpr std::size_t maxValueBytes = 1'000'000;

ApplyResult makeResult(ApplyStatus status, ObjectVersion revision, std::string message = {})
{
    return {status, revision, std::move(message)};
}

StoreOutcome<ConfigurationRecord> toRecord(const StoredObject &object)
{
    auto record = recordFromObject(object);
    if (!record) {
        return StoreError {StoreFailure::Rejected, object.name + ": " + record.error().message, 0};
    }
    return std::move(record).assume_value();
}

/// Revision that was stored with the token, or 0. Follows the revisions back from `current` to `metadata.basedOn`. Only one
/// revision can replace `metadata.basedOn`, so its token shows whether this apply took effect, even after later revisions.
Asio::awaitable<StoreOutcome<ObjectVersion>> findToken(const ObjectStoreOperations &objects, const ConfigurationRecord &current, const ApplyMetadata &metadata)
{
    ConfigurationRecord record = current;
    while (record.revision > metadata.basedOn) {
        if (record.metadata.token == metadata.token) {
            co_return record.revision;
        }
        if (record.metadata.basedOn <= metadata.basedOn) {
            break;
        }
        const auto object = co_await objects.read(historyName(record.metadata.basedOn));
        if (!object) {
            co_return object.error();
        }
        CO_TRY(older, toRecord(object.value()));
        record = std::move(older);
    }
    co_return ObjectVersion {0};
}

Asio::awaitable<StoreOutcome<ObjectVersion>>
findPreviousAttempt(const ObjectStoreOperations &objects, const ConfigurationRecord &current, const ApplyMetadata &metadata)
{
    if (metadata.basedOn == 0) {
        co_return current.metadata.token == metadata.token ? current.revision : ObjectVersion {0};
    }
    co_return co_await findToken(objects, current, metadata);
}

/// Copies a revision to the history before it is replaced, so that no revision is lost if the process ends between the two
/// writes.
Asio::awaitable<StoreOutcome<ObjectVersion>> archive(const ObjectStoreOperations &objects, const ConfigurationRecord &record)
{
    if (record.revision == 0) {
        co_return ObjectVersion {0};
    }
    auto written = co_await objects.write(historyName(record.revision), toHistoryValue(record), createOnly());
    if (!written && written.error().failure == StoreFailure::Conflict) {
        // Another apply archived the same revision.
        co_return written.error().currentVersion;
    }
    co_return written;
}

/// State of one apply across its attempts.
struct ApplyOperation {
    ApplyMetadata metadata;
    std::string value;
    /// True once a write was sent whose result is unknown. Only a read can then show that nothing was written.
    bool hasUnknownWrite = false;
    /// Current revision that the caller has just read. Saves the first attempt a read, which takes a second on a slow store.
    /// The conditional write fails if the revision is outdated.
    std::optional<ConfigurationRecord> cachedCurrent;
};

ApplyResult unresolvedResult(const ApplyOperation &operation, const StoreError &error)
{
    if (operation.hasUnknownWrite) {
        return makeResult(ApplyStatus::Unknown, 0, "the result of the write is unknown: " + error.message);
    }
    return makeResult(ApplyStatus::Unavailable, 0, error.message);
}

Asio::awaitable<StoreOutcome<ConfigurationRecord>> takeCachedOrReadCurrent(const ObjectStoreOperations &objects, ApplyOperation &operation)
{
    if (operation.cachedCurrent) {
        ConfigurationRecord cachedCurrent = std::move(*operation.cachedCurrent);
        operation.cachedCurrent.reset();
        co_return cachedCurrent;
    }
    co_return co_await readCurrent(objects);
}

Asio::awaitable<ApplyResult> applyWithRetries(const ObjectStoreOperations &objects, ApplyOperation operation);

/// Makes one attempt. Returns an empty result if another attempt may determine the outcome; `lastError` then has the reason.
Asio::awaitable<std::optional<ApplyResult>> attemptApply(const ObjectStoreOperations &objects, ApplyOperation &operation, StoreError &lastError)
{
    const auto current = co_await takeCachedOrReadCurrent(objects, operation);
    if (!current) {
        lastError = current.error();
        co_return std::nullopt;
    }
    if (current.value().revision != operation.metadata.basedOn) {
        const auto ownRevision = co_await findToken(objects, current.value(), operation.metadata);
        if (!ownRevision) {
            lastError = ownRevision.error();
            co_return std::nullopt;
        }
        if (ownRevision.value() != 0) {
            co_return makeResult(operation.hasUnknownWrite ? ApplyStatus::Applied : ApplyStatus::AlreadyApplied, ownRevision.value());
        }
        co_return makeResult(ApplyStatus::Conflict, current.value().revision, "the current revision is " + std::to_string(current.value().revision));
    }
    const auto archived = co_await archive(objects, current.value());
    if (!archived) {
        lastError = archived.error();
        co_return std::nullopt;
    }
    const WriteCondition condition = operation.metadata.basedOn == 0 ? createOnly() : ifVersion(operation.metadata.basedOn);
    const auto written = co_await objects.write(currentName, operation.value, condition);
    if (written) {
        co_return makeResult(ApplyStatus::Applied, written.value());
    }
    lastError = written.error();
    if (lastError.failure == StoreFailure::Rejected && !operation.hasUnknownWrite) {
        co_return makeResult(ApplyStatus::Refused, 0, "the store refused the write: " + lastError.message);
    }
    // Writing again under the same condition is safe: if this write took effect, the next one fails, and the stored token
    // identifies this write.
    operation.hasUnknownWrite = operation.hasUnknownWrite || lastError.failure == StoreFailure::Unknown;
    co_return std::nullopt;
}
} // namespace

ObjectStoreOperations makeObjectStoreOperations(ObjectStoreClient &client, Asio::io_context &context)
{
    ObjectStoreOperations objects;
    objects.read = [&client](std::string name) { return client.read(std::move(name)); };
    objects.write = [&client](std::string name, std::string value, WriteCondition condition) {
        return client.write(std::move(name), std::move(value), condition);
    };
    objects.list = [&client](std::string prefix) { return client.list(std::move(prefix)); };
    objects.waitBeforeRetry = [&context]() -> Asio::awaitable<void> {
        Asio::steady_timer timer(context, retryDelay);
        co_await timer.async_wait(Asio::use_awaitable);
    };
    return objects;
}

Asio::awaitable<StoreOutcome<ConfigurationRecord>> readCurrent(const ObjectStoreOperations &objects)
{
    const auto object = co_await objects.read(currentName);
    if (object) {
        co_return toRecord(object.value());
    }
    if (object.error().failure == StoreFailure::NotFound) {
        co_return ConfigurationRecord();
    }
    co_return object.error();
}

Asio::awaitable<StoreOutcome<std::vector<ConfigurationRecord>>> readHistory(const ObjectStoreOperations &objects, std::size_t limit)
{
    // Lists before reading the current revision. A revision replaced between the two calls is then missing from the result;
    // in the other order it could appear twice.
    CO_TRY(archived, co_await objects.list(historyPrefix));
    CO_TRY(current, co_await readCurrent(objects));
    std::vector<ConfigurationRecord> records;
    if (current.revision != 0) {
        records.push_back(std::move(current));
    }
    for (auto object = archived.rbegin(); object != archived.rend() && records.size() < limit; ++object) {
        CO_TRY(record, toRecord(*object));
        // An apply that failed after archiving leaves a history entry of the revision that is still current.
        if (records.empty() || record.revision < records.back().revision) {
            records.push_back(std::move(record));
        }
    }
    records.resize(std::min(records.size(), limit));
    co_return records;
}

Asio::awaitable<StoreOutcome<ConfigurationRecord>> readRevision(const ObjectStoreOperations &objects, ObjectVersion revision)
{
    CO_TRY(current, co_await readCurrent(objects));
    if (current.revision == revision) {
        co_return current;
    }
    CO_TRY(object, co_await objects.read(historyName(revision)));
    co_return toRecord(object);
}

Asio::awaitable<ApplyResult> applyConfiguration(const ObjectStoreOperations &objects, ApplyMetadata metadata, Configuration configuration)
{
    ApplyOperation operation;
    operation.value = toStoredValue(metadata, configuration);
    operation.metadata = std::move(metadata);
    co_return co_await applyWithRetries(objects, std::move(operation));
}

namespace
{
Asio::awaitable<ApplyResult> applyWithRetries(const ObjectStoreOperations &objects, ApplyOperation operation)
{
    if (operation.value.size() > maxValueBytes) {
        co_return makeResult(ApplyStatus::Refused, 0, "the configuration is larger than the store's limit of 1 MB");
    }
    StoreError lastError;
    for (int i = 0; i < maxAttempts; ++i) {
        if (i > 0) {
            co_await objects.waitBeforeRetry();
        }
        const auto result = co_await attemptApply(objects, operation, lastError);
        if (result) {
            co_return *result;
        }
    }
    co_return unresolvedResult(operation, lastError);
}
} // namespace

Asio::awaitable<ApplyResult> changeConfiguration(const ObjectStoreOperations &objects, ApplyMetadata metadata, ConfigurationChange change)
{
    ApplyResult result;
    for (int i = 0; i < maxConflicts; ++i) {
        const auto current = co_await readCurrent(objects);
        if (!current) {
            co_return makeResult(ApplyStatus::Unavailable, 0, current.error().message);
        }
        const auto previousAttempt = co_await findPreviousAttempt(objects, current.value(), metadata);
        if (!previousAttempt) {
            co_return makeResult(ApplyStatus::Unavailable, 0, previousAttempt.error().message);
        }
        if (previousAttempt.value() != 0) {
            co_return makeResult(ApplyStatus::AlreadyApplied, previousAttempt.value());
        }
        Configuration changed = current.value().configuration;
        const auto accepted = change(changed);
        if (!accepted) {
            co_return makeResult(ApplyStatus::Refused, current.value().revision, accepted.error().message);
        }
        metadata.basedOn = current.value().revision;
        ApplyOperation operation;
        operation.metadata = metadata;
        operation.value = toStoredValue(metadata, changed);
        operation.cachedCurrent = current.value();
        result = co_await applyWithRetries(objects, std::move(operation));
        // A conflict proves that nothing was written with this token, so the change can be based on the new revision.
        if (result.status != ApplyStatus::Conflict) {
            co_return result;
        }
    }
    co_return result;
}

} // namespace Godwitfork
