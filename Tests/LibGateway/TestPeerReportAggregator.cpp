#include "LibGateway/PeerReportAggregator.h"

#include <catch2/catch.hpp>

#include <set>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start {1000s};

PeerReport reportOf(int number, int running)
{
    PeerReport report;
    report.sender = {"entry-" + std::to_string(number), "10.0.0." + std::to_string(number) + ":7000", 0, "north"};
    report.configuration = number;
    report.endpoints[endpointKey("e1")] = {running, 100ms * running, {}, {}};
    report.statistics["pool"] = {{2.0 * running, 1.0 * running}, {0.5 * running, 1.0 * running}, {10 * running, running}};
    report.placements[endpointKey("e1")] = {{static_cast<std::uint64_t>(number), 13000}};
    TrialReport trial;
    trial.service = "pool";
    trial.target = "v2";
    trial.observations.candidateByRoute["r"] = {running, 1, 0};
    report.trials = {trial};
    return report;
}
} // namespace

TEST_CASE("A summary counts each instance's newest report once", "[aggregator]")
{
    PeerReportAggregator aggregator(5s, 8s);
    aggregator.record(reportOf(1, 2), start);
    aggregator.record(reportOf(1, 3), start + 1s);
    aggregator.record(reportOf(2, 4), start + 1s);
    const PeerSummary summary = aggregator.summary(start + 1s);
    CHECK(summary.members.size() == 2);
    CHECK(summary.endpoints.at(endpointKey("e1")).running == 7);
    CHECK(summary.trials.at(0).observations.candidateByRoute.at("r") == AnswerCounts {7, 2, 0});
    CHECK(summary.statistics.at("pool") == ServiceStatistics {{14, 7}, {3.5, 7}, {70, 7}});
    CHECK(summary.placements.at(endpointKey("e1")) == std::vector<CachedPart> {{1, 13000}, {2, 13000}});
    CHECK(summary.configuration == 2);
    CHECK(summary.configurationHolder == "10.0.0.2:7000");
}

TEST_CASE("The report of an instance that sends no more reports expires", "[aggregator]")
{
    // Many processes are killed at the same moment, and their load ends with them.
    PeerReportAggregator aggregator(5s, 8s);
    aggregator.record(reportOf(1, 2), start);
    aggregator.record(reportOf(2, 4), start + 4s);
    aggregator.expire(start + 6s);
    CHECK(aggregator.summary(start + 6s).endpoints.at(endpointKey("e1")).running == 4);
}

TEST_CASE("The age of a roll-out order includes the age of the report", "[aggregator]")
{
    PeerReportAggregator aggregator(5s, 8s);
    PeerReport report = reportOf(1, 1);
    report.trials[0].age = 3s;
    aggregator.record(report, start);
    CHECK(aggregator.summary(start + 2s).trials.at(0).age == 5s);
}

TEST_CASE("The newest output of an endpoint and the newest pin of a session are kept, aged by the time since the report", "[aggregator]")
{
    PeerReportAggregator aggregator(5s, 8s);
    PeerReport first = reportOf(1, 1);
    first.endpoints[endpointKey("e1")].sinceOutput = 100ms;
    first.trials[0].sessions = {{7, "v1", 1s}, {8, "v2", 4s}};
    PeerReport second = reportOf(2, 1);
    second.endpoints[endpointKey("e1")].sinceOutput = 900ms;
    second.trials[0].sessions = {{7, "v2", 3s}};
    aggregator.record(first, start);
    aggregator.record(second, start + 500ms);
    const PeerSummary summary = aggregator.summary(start + 1s);
    CHECK(summary.endpoints.at(endpointKey("e1")).sinceOutput == 1100ms);
    CHECK(summary.trials.at(0).sessions == std::vector<SessionPin> {{7, "v1", 2s}, {8, "v2", 5s}});
    // A restarted instance reports no sessions, while its earlier ones are still open.
    aggregator.record(reportOf(1, 0), start + 1s);
    aggregator.expire(start + 5s);
    CHECK(aggregator.summary(start + 5s).trials.at(0).sessions == std::vector<SessionPin> {{7, "v1", 6s}});
}

TEST_CASE("The own report is subtracted from a summary", "[aggregator]")
{
    PeerReportAggregator aggregator(5s, 8s);
    aggregator.record(reportOf(1, 2), start);
    aggregator.record(reportOf(2, 4), start);
    const PeerSummary summary = aggregator.summary(start);
    CHECK(withoutOwn(summary.endpoints, reportOf(1, 2).endpoints).at(endpointKey("e1")) == EndpointUsage {4, 400ms, {}, {}});
    CHECK(withoutOwn(summary.statistics, reportOf(1, 2).statistics).at("pool") == ServiceStatistics {{8, 4}, {2, 4}, {40, 4}});
    CHECK(withoutOwn(summary.trials[0].observations, reportOf(1, 2).trials[0].observations).candidateByRoute.at("r") == AnswerCounts {4, 1, 0});
    // The hub may still hold an older report of this instance.
    CHECK(withoutOwn(summary.endpoints, reportOf(1, 9).endpoints).at(endpointKey("e1")) == EndpointUsage {0, 0ms, {}, {}});
}

TEST_CASE("Each member has a different rank for a task", "[aggregator]")
{
    std::vector<FleetMember> members;
    for (int i = 1; i <= 9; ++i) {
        members.push_back(reportOf(i, 0).sender);
    }
    std::set<int> ranks;
    for (const FleetMember &member : members) {
        ranks.insert(memberRank(members, member.instance, "pool"));
    }
    CHECK(ranks.size() == 9);
    CHECK(*ranks.begin() == 0);
}
