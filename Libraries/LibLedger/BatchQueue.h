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

/// One object to create: `ledger/<hour>/<writer>-<sequence>`.
struct LedgerBatch {
    std::string name;
    std::vector<SharedRecord> records;
};

enum class BatchWriteResult {
    /// Created, or the name holds the same content.
    Stored,
    /// Refused, timed out, or the answer was lost.
    Failed,
    /// The name holds other content.
    NameTaken,
};

/// Batch objects that one instance has yet to write. A batch keeps its name and content until it is stored, so a retry
/// after a lost answer creates no second object.
class BatchQueue
{
public:
    explicit BatchQueue(std::string writer, std::size_t batchLimitBytes = 512UL * 1024UL);

    /// Splits the records by hour bucket and size and adds the batches.
    void add(const std::vector<SharedRecord> &records);
    /// Batches to write now, each with create-if-absent; after a failure only one, as a probe of the store.
    std::vector<LedgerBatch> due(MonotonicTime now);
    /// Returns the records that are now stored.
    std::vector<SharedRecord> finish(const std::string &name, BatchWriteResult result, MonotonicTime now, RandomSource &random);

    bool isEmpty() const;
    /// False after a failed write until the next successful one.
    bool isStoreReachable() const;
    /// When the next batch can be written; the maximum if every batch is in flight or the queue is empty.
    MonotonicTime nextDue() const;

private:
    struct Pending {
        LedgerBatch batch;
        bool inFlight = false;
    };

    std::string nameFor(const std::string &hour);
    void addBatch(const std::string &hour, std::vector<SharedRecord> records);
    bool isProbeInFlight() const;
    void noteFailure(MonotonicTime now, RandomSource &random);

    std::string writer;
    std::size_t batchLimitBytes;
    std::uint64_t nextSequence = 1;
    std::vector<Pending> pending;
    int consecutiveFailures = 0;
    MonotonicTime retryAt = MonotonicTime::min();
};

} // namespace Godwitfork
