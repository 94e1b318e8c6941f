#include "LibLedger/BatchQueue.h"

#include "LibCore/Identifier.h"
#include "LibLedger/RecordCodec.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
// A single failure is usually a lost response, and a prompt retry under the same name shows whether the object exists.
constexpr Duration firstRetryDelay = std::chrono::seconds(1);
// Upper bound of the random retry delay, which spreads the flushes of all instances after a store outage.
constexpr Duration outageRetrySpread = std::chrono::seconds(10);
} // namespace

BatchQueue::BatchQueue(std::string writer, std::size_t batchLimitBytes) : writer(std::move(writer)), batchLimitBytes(batchLimitBytes)
{
}

std::string BatchQueue::nameFor(const std::string &hour)
{
    return "ledger/" + hour + "/" + this->writer + "-" + std::to_string(this->nextSequence++);
}

void BatchQueue::addBatch(const std::string &hour, std::vector<SharedRecord> records)
{
    this->pending.push_back({{this->nameFor(hour), std::move(records)}, false});
}

void BatchQueue::add(const std::vector<SharedRecord> &records)
{
    std::map<std::string, std::vector<SharedRecord>> byHour;
    for (const SharedRecord &record : records) {
        byHour[hourBucketOf(record->requestId())].push_back(record);
    }
    for (const auto &[hour, hourRecords] : byHour) {
        std::vector<SharedRecord> part;
        std::size_t bytes = 0;
        for (const SharedRecord &record : hourRecords) {
            const std::size_t size = encodedSize(*record);
            if (!part.empty() && bytes + size > this->batchLimitBytes) {
                this->addBatch(hour, std::exchange(part, {}));
                bytes = 0;
            }
            part.push_back(record);
            bytes += size;
        }
        this->addBatch(hour, std::move(part));
    }
}

std::vector<LedgerBatch> BatchQueue::takeDue(MonotonicTime now)
{
    std::vector<LedgerBatch> batches;
    const bool probing = !this->isStoreReachable();
    if (now < this->retryAt || this->isProbeInFlight()) {
        return batches;
    }
    for (Pending &entry : this->pending) {
        if (entry.inFlight) {
            continue;
        }
        entry.inFlight = true;
        batches.push_back(entry.batch);
        if (probing) {
            break;
        }
    }
    return batches;
}

std::vector<SharedRecord> BatchQueue::finish(const std::string &name, BatchWriteResult result, MonotonicTime now, RandomSource &random)
{
    const auto found = std::ranges::find_if(this->pending, [&name](const Pending &entry) { return entry.batch.name == name; });
    if (found == this->pending.end()) {
        return {};
    }
    found->inFlight = false;
    if (result == BatchWriteResult::Failed) {
        this->recordFailure(now, random);
        return {};
    }
    this->consecutiveFailures = 0;
    this->retryAt = MonotonicTime::min();
    if (result == BatchWriteResult::NameTaken) {
        const std::string hour = hourBucketOf(found->batch.records.front()->requestId());
        found->batch.name = this->nameFor(hour);
        return {};
    }
    std::vector<SharedRecord> stored = std::move(found->batch.records);
    this->pending.erase(found);
    return stored;
}

void BatchQueue::recordFailure(MonotonicTime now, RandomSource &random)
{
    this->consecutiveFailures += 1;
    if (this->consecutiveFailures == 1) {
        this->retryAt = now + firstRetryDelay;
        return;
    }
    std::uniform_int_distribution<Duration::rep> delay(0, outageRetrySpread.count());
    this->retryAt = now + Duration(delay(random));
}

bool BatchQueue::isProbeInFlight() const
{
    return !this->isStoreReachable() && std::ranges::any_of(this->pending, &Pending::inFlight);
}

bool BatchQueue::isEmpty() const
{
    return this->pending.empty();
}

bool BatchQueue::isStoreReachable() const
{
    return this->consecutiveFailures == 0;
}

MonotonicTime BatchQueue::nextDue() const
{
    const bool waiting = std::ranges::any_of(this->pending, [](const Pending &entry) { return !entry.inFlight; });
    return waiting && !this->isProbeInFlight() ? this->retryAt : MonotonicTime::max();
}

} // namespace Godwitfork
