#pragma once

#include "LibLedger/BillingRecord.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// A request that may have reached an endpoint and has no billing record yet.
struct OpenRequest {
    std::string requestId;
    std::string account;
    std::string site;

    auto operator<=>(const OpenRequest &) const = default;
};

/// One entry of an owner's journal: an open request, or the billing record that replaces it.
struct JournalEntry {
    std::uint64_t sequence = 0;
    OpenRequest open;
    /// Null while the request is open. Shared, because the journal, batches and messages refer to the same record.
    std::shared_ptr<const BillingRecord> record;
    /// Encoded size, for the memory limit.
    std::size_t bytes = 0;

    bool operator==(const JournalEntry &other) const;
};

/// Entries for one keeper. A term is one appointment of that keeper; its first message holds every entry that is not yet
/// stored and has `previousSequence` 0.
struct JournalAppend {
    std::string owner;
    std::uint64_t term = 0;
    /// Highest sequence sent before in this term; a keeper that has not received it must not acknowledge more.
    std::uint64_t previousSequence = 0;
    std::uint64_t sequence = 0;
    std::vector<JournalEntry> entries;

    bool operator==(const JournalAppend &) const = default;
};

enum class ReplicaRelease { Keep, Release };

/// The keeper holds everything of `owner` up to `sequence` in `term`, or has released that term.
struct JournalAck {
    std::string owner;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    ReplicaRelease release = ReplicaRelease::Keep;

    auto operator<=>(const JournalAck &) const = default;
};

/// Billing records up to `throughSequence` are stored. With `Release`, the keeper is no longer needed and drops
/// everything of this term and earlier ones.
struct JournalDrop {
    std::string owner;
    std::uint64_t term = 0;
    std::uint64_t throughSequence = 0;
    ReplicaRelease release = ReplicaRelease::Keep;

    auto operator<=>(const JournalDrop &) const = default;
};

JournalEntry openEntry(std::uint64_t sequence, OpenRequest open);
JournalEntry recordEntry(std::uint64_t sequence, BillingRecord record);

/// Record of a request whose owner died before it wrote one: outcome interrupted, amount 0.
ErrorOr<BillingRecord> interruptedRecord(const OpenRequest &open);

} // namespace Godwitfork
