#pragma once

#include "LibLedger/BillingRecord.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Request that may have reached an endpoint and has no billing record yet.
struct OpenRequest {
    std::string requestId;
    std::string account;
    std::string site;

    auto operator<=>(const OpenRequest &) const = default;
};

/// Entry of an owner's journal: an open request, or the billing record that replaces it.
struct JournalEntry {
    std::uint64_t sequence = 0;
    /// Identity, client account and site of the request; also set if the entry has a record.
    OpenRequest open;
    /// Null while the request is open. Shared by the journal, the batches and the messages.
    std::shared_ptr<const BillingRecord> record;
    /// Approximate size of the entry, for the memory and message limits.
    std::size_t bytes = 0;

    bool operator==(const JournalEntry &other) const;
};

/// Message of an owner that replicates journal entries to one replica holder. A term begins when the owner selects the
/// holder. The first message of a term has `previousSequence` 0, and the messages of a term together contain every entry
/// that is not stored.
struct JournalAppend {
    std::string owner;
    std::uint64_t term = 0;
    /// Highest sequence sent before in this term. A holder that has not received everything up to it must not acknowledge
    /// this message.
    std::uint64_t previousSequence = 0;
    /// Highest sequence that this message covers.
    std::uint64_t sequence = 0;
    std::vector<JournalEntry> entries;
    /// True if the owner has nothing more to send, so that open requests left from earlier terms are superseded.
    bool complete = true;

    bool operator==(const JournalAppend &) const = default;
};

enum class ReplicaRelease { Keep, Release };

/// Acknowledgement by a replica holder: it stores everything of `owner` up to `sequence` in `term`, or, with `Release`, has
/// dropped the replica of that term.
struct JournalAck {
    std::string owner;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    ReplicaRelease release = ReplicaRelease::Keep;

    auto operator<=>(const JournalAck &) const = default;
};

/// Message of an owner that lets a replica holder drop the billing records up to `throughSequence`, because the store
/// contains them. With `Release`, the holder drops everything of this term and earlier ones.
struct JournalDrop {
    std::string owner;
    std::uint64_t term = 0;
    std::uint64_t throughSequence = 0;
    ReplicaRelease release = ReplicaRelease::Keep;

    auto operator<=>(const JournalDrop &) const = default;
};

/// Makes the entry of an open request.
JournalEntry openEntry(std::uint64_t sequence, OpenRequest open);
/// Makes the entry of a billing record.
JournalEntry recordEntry(std::uint64_t sequence, BillingRecord record);

/// Makes the record of a request whose owner died before it appended one: outcome interrupted, amount 0.
ErrorOr<BillingRecord> interruptedRecord(const OpenRequest &open);

} // namespace Godwitfork
