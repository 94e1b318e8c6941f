#pragma once

#include "LibGateway/PeerReport.h"

#include <map>
#include <string>
#include <vector>

namespace Godwitfork
{

/// The newest report of every instance that a hub heard of lately.
class PeerReportAggregator
{
public:
    /// Reports older than `lifetime` no longer count.
    explicit PeerReportAggregator(Duration lifetime);

    void record(PeerReport report, MonotonicTime now);
    void expire(MonotonicTime now);
    PeerSummary summary(MonotonicTime now) const;

private:
    struct Entry {
        PeerReport report;
        MonotonicTime heard;
    };

    Duration lifetime;
    /// By instance.
    std::map<std::string, Entry> entries;
};

/// Peer listeners of the instances that gather reports. All instances with the same members choose the same ones; those
/// in `avoided` did not answer and are passed over.
std::vector<std::string> chooseHubs(const std::vector<FleetMember> &members, const std::vector<std::string> &avoided);

/// Place of an instance among the members for a task, 0 for the first.
int memberRank(const std::vector<FleetMember> &members, const std::string &instance, const std::string &task);

/// The uses in a summary without one instance's own part.
EndpointUsageMap withoutOwn(const EndpointUsageMap &total, const EndpointUsageMap &own);
ServiceStatisticsMap withoutOwn(const ServiceStatisticsMap &total, const ServiceStatisticsMap &own);
/// The observations in a summary without one instance's own part.
TrialObservations withoutOwn(const TrialObservations &total, const TrialObservations &own);

} // namespace Godwitfork
