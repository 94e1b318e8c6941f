#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"
#include "LibLedger/BillingRecord.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Godwitfork
{

using SharedRecord = std::shared_ptr<const BillingRecord>;

/// One batch object to create in the store, named `ledger/<hour>/<writer>-<sequence>`.
struct LedgerBatch {
    std::string name;
    std::vector<SharedRecord> records;
};

enum class BatchWriteResult {
    /// The object was created, or already exists with the same content.
    Stored,
    /// The write was refused or timed out, or its response was lost.
    Failed,
    /// An object of this name exists with different content.
    NameTaken,
};

/// Queue of the batch objects that one instance has not stored yet. A batch keeps its name and content until it is stored,
/// so that a retry after a lost response creates no second object.
class BatchQueue
{
public:
    explicit BatchQueue(std::string writer, std::size_t batchLimitBytes = 512UL * 1024UL);

    /// Groups the records by hour bucket, splits each group at the batch size limit and queues the batches.
    void add(const std::vector<SharedRecord> &records);
    /// Marks the batches that are due as in flight and returns them; each is to be written with create-if-absent. After a
    /// failed write it returns one batch at a time, as a probe of the store.
    std::vector<LedgerBatch> takeDue(MonotonicTime now);
    /// Records the result of a write and returns the records that it stored. A batch whose name is taken gets a new name.
    std::vector<SharedRecord> finish(const std::string &name, BatchWriteResult result, MonotonicTime now, RandomSource &random);

    bool isEmpty() const;
    /// False from a failed write until the next one that gets a definite response.
    bool isStoreReachable() const;
    /// Time at which the next batch can be written. The maximum if the queue is empty, every batch is in flight, or a probe
    /// is.
    MonotonicTime nextDue() const;

private:
    struct Pending {
        LedgerBatch batch;
        bool inFlight = false;
    };

    std::string nameFor(const std::string &hour);
    void addBatch(const std::string &hour, std::vector<SharedRecord> records);
    bool isProbeInFlight() const;
    void recordFailure(MonotonicTime now, RandomSource &random);

    std::string writer;
    std::size_t batchLimitBytes;
    std::uint64_t nextSequence = 1;
    std::vector<Pending> pending;
    int consecutiveFailures = 0;
    MonotonicTime retryAt = MonotonicTime::min();
};

} // namespace Godwitfork
