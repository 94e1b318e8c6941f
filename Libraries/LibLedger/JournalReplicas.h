#pragma once

#include "LibLedger/JournalEntry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Journal replicas that one instance holds for other owners.
class JournalReplicas
{
public:
    /// Applies the entries unless entries before them are missing, and returns an acknowledgement of the sequence up to which
    /// the replica has no gap. Returns nothing for a message of an earlier term.
    std::optional<JournalAck> receive(const JournalAppend &message);
    /// Removes records that the store contains. A release removes the whole replica, unless that is of a later term, and
    /// returns a confirmation.
    std::optional<JournalAck> receive(const JournalDrop &message);
    /// Removes the replica of a dead owner and returns its billing records, with an interrupted record for each open request.
    /// The caller passes them to Journal::adopt. To be repeated while `owners` contains a dead owner, because a delayed
    /// message creates a new replica.
    std::vector<BillingRecord> recover(const std::string &owner);

    /// Incarnations of the owners that have a replica here.
    std::vector<std::string> owners() const;
    std::size_t memoryBytes() const;

private:
    struct Replica {
        std::uint64_t term = 0;
        /// Sequence up to which the replica has no gap in this term.
        std::uint64_t receivedThrough = 0;
        /// Sequence up to which records are in the store and have been dropped here.
        std::uint64_t droppedThrough = 0;
        /// Entries with a billing record, by sequence.
        std::map<std::uint64_t, JournalEntry> records;
        /// Entries of open requests, by request identity.
        std::map<std::string, JournalEntry> openRequests;
        /// Identities of open requests from earlier terms that no message of the current term has contained.
        std::set<std::string> supersededRequests;
        std::size_t bytes = 0;
    };

    static void beginTerm(Replica &replica, std::uint64_t term);
    static void apply(Replica &replica, const JournalEntry &entry);
    static void dropSuperseded(Replica &replica);
    static void eraseOpen(Replica &replica, const std::string &requestId);

    std::map<std::string, Replica> replicas;
};

} // namespace Godwitfork
