#include "LibGateway/DomainSummaries.h"

#include "LibGateway/PeerReportAggregator.h"

namespace Godwitfork
{

DomainSummaries::DomainSummaries(Duration lifetime) : lifetime(lifetime)
{
}

void DomainSummaries::record(PeerSummary summary, MonotonicTime now)
{
    std::string failureDomain = summary.failureDomain;
    this->entries[std::move(failureDomain)] = {std::move(summary), now};
}

PeerSummary DomainSummaries::total(PeerSummary ownDomain, MonotonicTime now) const
{
    PeerSummary total = std::move(ownDomain);
    for (const auto &[failureDomain, entry] : this->entries) {
        if (failureDomain != total.failureDomain && now - entry.received <= this->lifetime) {
            addSummary(total, entry.summary, now - entry.received);
        }
    }
    total.failureDomain.clear();
    return total;
}

void DomainSummaries::expire(MonotonicTime now)
{
    std::erase_if(this->entries, [&](const auto &entry) { return now - entry.second.received > this->lifetime; });
}

} // namespace Godwitfork
