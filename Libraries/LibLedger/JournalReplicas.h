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

/// Journal replicas that one keeper holds for other owners.
class JournalReplicas
{
public:
    /// Takes the entries if nothing before them is missing, and acknowledges what is held without a gap. No answer if
    /// the message belongs to an earlier term.
    std::optional<JournalAck> receive(const JournalAppend &message);
    /// Drops stored records; a release is confirmed.
    std::optional<JournalAck> receive(const JournalDrop &message);
    /// Takes out the replica of a dead owner: its billing records, and an interrupted record for each open request. The
    /// caller passes them to Journal::adopt. To be repeated while `owners` names a dead owner, because a late message
    /// starts a new replica.
    std::vector<BillingRecord> recover(const std::string &owner);

    std::vector<std::string> owners() const;
    std::size_t memoryBytes() const;

private:
    struct Replica {
        std::uint64_t term = 0;
        std::uint64_t through = 0;
        std::uint64_t droppedThrough = 0;
        std::map<std::uint64_t, JournalEntry> records;
        std::map<std::string, JournalEntry> open;
        /// Open requests of earlier terms that the present term has not sent yet.
        std::set<std::string> supersededOpen;
        std::size_t bytes = 0;
    };

    static void beginTerm(Replica &replica, std::uint64_t term);
    static void take(Replica &replica, const JournalEntry &entry);
    static void dropSuperseded(Replica &replica);
    static void eraseOpen(Replica &replica, const std::string &requestId);

    std::map<std::string, Replica> replicas;
};

} // namespace Godwitfork
