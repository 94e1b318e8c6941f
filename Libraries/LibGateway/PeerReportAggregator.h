#pragma once

#include "LibGateway/PeerReport.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace Godwitfork
{

/// Newest report of every live instance of a failure domain, held by a hub and added up to a summary.
class PeerReportAggregator
{
public:
    /// Creates an empty aggregator; `lifetime` is the age after which `expire` drops a report, `sessionLifetime` the idle time after which
    /// it drops a session.
    PeerReportAggregator(Duration lifetime, Duration sessionLifetime);

    /// Replaces the sender's last report.
    void record(PeerReport report, MonotonicTime now);
    /// Drops reports older than the lifetime.
    void expire(MonotonicTime now);
    /// Returns the sum of all reports.
    PeerSummary summary(MonotonicTime now) const;

private:
    struct Entry {
        PeerReport report;
        MonotonicTime received;
    };

    struct OpenSession {
        std::string version;
        MonotonicTime lastUse;
    };

    void recordSessions(const TrialReport &trial, MonotonicTime now);
    void setSessions(TrialReport &trial, MonotonicTime now) const;

    Duration lifetime;
    Duration sessionLifetime;
    /// Newest reports by instance id.
    std::map<std::string, Entry> entries;
    /// Reported sessions by service, target version and session. They outlive the reports, since an instance that restarts reports none.
    std::map<std::pair<std::string, std::string>, std::map<std::uint64_t, OpenSession>> openSessions;
};

/// Adds a summary that was received `age` ago to a total.
void addSummary(PeerSummary &total, const PeerSummary &added, Duration age);

/// Returns the rank of an instance among the members for a task by rendezvous hashing, from 0.
int memberRank(const std::vector<FleetMember> &members, const std::string &instance, const std::string &task);

/// Subtracts one instance's own usage and statistics from those of a summary; results below 0 become 0.
EndpointUsageMap withoutOwn(const EndpointUsageMap &total, const EndpointUsageMap &own);
ServiceStatisticsMap withoutOwn(const ServiceStatisticsMap &total, const ServiceStatisticsMap &own);
/// Subtracts one instance's own observations from those of a summary; results below 0 become 0.
TrialObservations withoutOwn(const TrialObservations &total, const TrialObservations &own);

} // namespace Godwitfork
