#pragma once

#include "LibGateway/PeerReport.h"

#include <map>
#include <string>

namespace Godwitfork
{

/// Newest summary of every other failure domain, held by a hub.
class DomainSummaries
{
public:
    /// Creates an empty set; a summary that is older than `lifetime` is not counted.
    explicit DomainSummaries(Duration lifetime);

    /// Replaces the last summary of the same failure domain.
    void record(PeerSummary summary, MonotonicTime now);
    /// Returns the sum of the hub's own failure domain and the newest summaries of the others.
    PeerSummary total(PeerSummary ownDomain, MonotonicTime now) const;
    /// Drops summaries older than the lifetime.
    void expire(MonotonicTime now);

private:
    struct Entry {
        PeerSummary summary;
        MonotonicTime received;
    };

    Duration lifetime;
    std::map<std::string, Entry> entries;
};

} // namespace Godwitfork
