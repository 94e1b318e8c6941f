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

constexpr Duration pauseBetweenTries = std::chrono::milliseconds(100);
/// With the client's timeout of 2 s for each call, an apply ends within about 15 s of a store that never answers.
constexpr int maxTries = 4;
/// Lost races in a row before a change gives up; each one means that another operator's change was stored.
constexpr int maxLostRaces = 20;
/// The store's limit for a value.
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

/// Revision that a token was stored as, or 0. Exactly one revision can replace another, so the one that replaced
/// `note.basedOn` tells whether this apply took effect, also after further revisions. Walks back from `current`.
Asio::awaitable<StoreOutcome<ObjectVersion>> findToken(const ObjectStoreOperations &objects, const ConfigurationRecord &current, const ApplyNote &note)
{
    ConfigurationRecord record = current;
    while (record.revision > note.basedOn) {
        if (record.note.token == note.token) {
            co_return record.revision;
        }
        if (record.note.basedOn <= note.basedOn) {
            break;
        }
        const auto object = co_await objects.read(historyName(record.note.basedOn));
        if (!object) {
            co_return object.error();
        }
        CO_TRY(older, toRecord(object.value()));
        record = std::move(older);
    }
    co_return ObjectVersion {0};
}

Asio::awaitable<StoreOutcome<ObjectVersion>> findEarlierTry(const ObjectStoreOperations &objects, const ConfigurationRecord &current, const ApplyNote &note)
{
    if (note.basedOn == 0) {
        co_return current.note.token == note.token ? current.revision : ObjectVersion {0};
    }
    co_return co_await findToken(objects, current, note);
}

/// Copies a revision to the history before it is replaced, so that no revision is lost if the process ends between two
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

/// State of one apply over its tries.
struct ApplyAttempt {
    ApplyNote note;
    std::string value;
    /// True once a write was sent whose result is not known. From then on "not written" must be proved by a read.
    bool isWriteOpen = false;
    /// What the caller has just read as the current revision; spares the first try a read, which takes a second on a slow
    /// store. The conditional write finds out if it is outdated.
    std::optional<ConfigurationRecord> known;
};

ApplyResult unfinished(const ApplyAttempt &attempt, const StoreError &error)
{
    if (attempt.isWriteOpen) {
        return makeResult(ApplyStatus::Unknown, 0, "the result of the write is not known: " + error.message);
    }
    return makeResult(ApplyStatus::Unavailable, 0, error.message);
}

Asio::awaitable<StoreOutcome<ConfigurationRecord>> takeKnownOrRead(const ObjectStoreOperations &objects, ApplyAttempt &attempt)
{
    if (attempt.known) {
        ConfigurationRecord known = std::move(*attempt.known);
        attempt.known.reset();
        co_return known;
    }
    co_return co_await readCurrent(objects);
}

Asio::awaitable<ApplyResult> finishApply(const ObjectStoreOperations &objects, ApplyAttempt attempt);

/// One try. Empty means that another one may settle the outcome; `lastError` then has the reason.
Asio::awaitable<std::optional<ApplyResult>> tryApply(const ObjectStoreOperations &objects, ApplyAttempt &attempt, StoreError &lastError)
{
    const auto current = co_await takeKnownOrRead(objects, attempt);
    if (!current) {
        lastError = current.error();
        co_return std::nullopt;
    }
    if (current.value().revision != attempt.note.basedOn) {
        const auto own = co_await findToken(objects, current.value(), attempt.note);
        if (!own) {
            lastError = own.error();
            co_return std::nullopt;
        }
        if (own.value() != 0) {
            co_return makeResult(attempt.isWriteOpen ? ApplyStatus::Applied : ApplyStatus::AlreadyApplied, own.value());
        }
        co_return makeResult(ApplyStatus::Conflict, current.value().revision, "the current revision is " + std::to_string(current.value().revision));
    }
    const auto archived = co_await archive(objects, current.value());
    if (!archived) {
        lastError = archived.error();
        co_return std::nullopt;
    }
    const WriteCondition condition = attempt.note.basedOn == 0 ? createOnly() : ifVersion(attempt.note.basedOn);
    const auto written = co_await objects.write(currentName, attempt.value, condition);
    if (written) {
        co_return makeResult(ApplyStatus::Applied, written.value());
    }
    lastError = written.error();
    if (lastError.failure == StoreFailure::Rejected && !attempt.isWriteOpen) {
        co_return makeResult(ApplyStatus::Refused, 0, "the store refused the write: " + lastError.message);
    }
    // Writing again under the same condition is safe: if this write took effect, the next one fails, and the token tells
    // whose it was.
    attempt.isWriteOpen = attempt.isWriteOpen || lastError.failure == StoreFailure::Unknown;
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
    objects.pause = [&context]() -> Asio::awaitable<void> {
        Asio::steady_timer timer(context, pauseBetweenTries);
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
    // The list comes first: a revision that is replaced in between is then in the answer as the current one or not at all
    // in the list, and cannot be listed twice.
    CO_TRY(archived, co_await objects.list(historyPrefix));
    CO_TRY(current, co_await readCurrent(objects));
    std::vector<ConfigurationRecord> records;
    if (current.revision != 0) {
        records.push_back(std::move(current));
    }
    for (auto object = archived.rbegin(); object != archived.rend() && records.size() < limit; ++object) {
        CO_TRY(record, toRecord(*object));
        // An apply that lost its race may have archived the revision that is still current.
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

Asio::awaitable<ApplyResult> applyConfiguration(const ObjectStoreOperations &objects, ApplyNote note, Configuration configuration)
{
    ApplyAttempt attempt;
    attempt.value = toStoredValue(note, configuration);
    attempt.note = std::move(note);
    co_return co_await finishApply(objects, std::move(attempt));
}

namespace
{
Asio::awaitable<ApplyResult> finishApply(const ObjectStoreOperations &objects, ApplyAttempt attempt)
{
    if (attempt.value.size() > maxValueBytes) {
        co_return makeResult(ApplyStatus::Refused, 0, "the configuration is larger than the store's limit of 1 MB");
    }
    StoreError lastError;
    for (int i = 0; i < maxTries; ++i) {
        if (i > 0) {
            co_await objects.pause();
        }
        const auto result = co_await tryApply(objects, attempt, lastError);
        if (result) {
            co_return *result;
        }
    }
    co_return unfinished(attempt, lastError);
}
} // namespace

Asio::awaitable<ApplyResult> changeConfiguration(const ObjectStoreOperations &objects, ApplyNote note, ConfigurationChange change)
{
    ApplyResult result;
    for (int i = 0; i < maxLostRaces; ++i) {
        const auto current = co_await readCurrent(objects);
        if (!current) {
            co_return makeResult(ApplyStatus::Unavailable, 0, current.error().message);
        }
        const auto earlier = co_await findEarlierTry(objects, current.value(), note);
        if (!earlier) {
            co_return makeResult(ApplyStatus::Unavailable, 0, earlier.error().message);
        }
        if (earlier.value() != 0) {
            co_return makeResult(ApplyStatus::AlreadyApplied, earlier.value());
        }
        Configuration changed = current.value().configuration;
        const auto accepted = change(changed);
        if (!accepted) {
            co_return makeResult(ApplyStatus::Refused, current.value().revision, accepted.error().message);
        }
        note.basedOn = current.value().revision;
        ApplyAttempt attempt;
        attempt.note = note;
        attempt.value = toStoredValue(note, changed);
        attempt.known = current.value();
        result = co_await finishApply(objects, std::move(attempt));
        // A conflict is proof that nothing was written for this token, so the change may be based on the new revision.
        if (result.status != ApplyStatus::Conflict) {
            co_return result;
        }
    }
    co_return result;
}

} // namespace Godwitfork
