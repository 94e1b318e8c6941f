#include "LibGateway/EndpointAnnouncements.h"
#include "LibGateway/PeerReportAggregator.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
constexpr Duration step = 10ms;
constexpr Duration reportInterval = 400ms;
/// Time from the first answer with a limit to the moment from which the limit binds.
constexpr Duration contactTime = 3s;
constexpr Duration window = 4s;
constexpr Duration playTime = 25s;
const MonotonicTime start {1000s};
const std::string endpoint = "limited";

struct Told {
    MonotonicTime at;
    bool isTold = false;
};

/// Instances in front of one endpoint that names a limit; each sends it requests whenever it may. Instances restart, and reports get lost.
int mostInWindow(double limit, int instances, double demandPerInstance, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> fraction(0, 1);
    std::vector<EndpointAnnouncements> limits(static_cast<std::size_t>(instances));
    std::vector<Told> told(limits.size());
    std::vector<MonotonicTime> nextReports(limits.size(), start);
    PeerReportAggregator hub(5s, 5s);
    std::deque<MonotonicTime> counted;
    std::size_t most = 0;
    for (MonotonicTime now = start; now < start + playTime; now += step) {
        for (std::size_t i = 0; i < limits.size(); ++i) {
            if (fraction(random) < 0.0002) {
                limits[i] = EndpointAnnouncements();
                told[i] = Told();
            }
            if (now >= nextReports[i]) {
                nextReports[i] = now + reportInterval;
                PeerReport report;
                report.sender.instance = std::to_string(i);
                report.limits = limits[i].report(now);
                if (fraction(random) < 0.9) {
                    hub.record(report, now);
                    limits[i].merge(hub.summary(now).limits, now);
                }
                limits[i].setRank(endpoint, static_cast<int>(i), instances, now);
            }
            if (fraction(random) > demandPerInstance * std::chrono::duration<double>(step).count()
                || limits[i].timeToRequest(endpoint, 1, now) > Duration::zero()) {
                continue;
            }
            limits[i].recordRequest(endpoint, 1, now);
            if (told[i].isTold && now >= told[i].at + 500ms && now > start + contactTime) {
                counted.push_back(now);
            }
            limits[i].record(endpoint, 1, limit, now);
            if (!told[i].isTold) {
                told[i] = {now, true};
            }
        }
        while (!counted.empty() && counted.front() <= now - window) {
            counted.pop_front();
        }
        most = std::max(most, counted.size());
    }
    return static_cast<int>(most);
}
} // namespace

TEST_CASE("All instances together keep to the limit that an endpoint has named", "[limits]")
{
    // Guards against LIMIT: each instance alone would keep to the limit, and their sum would not.
    constexpr double usable = 0.8;
    constexpr std::uint64_t seeds = 20;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        for (const double limit : {0.0, 0.3, 1.0, 2.5, 8.0, 40.0}) {
            for (const int instances : {1, 9, 60}) {
                INFO("seed " << seed << ", limit " << limit << ", instances " << instances);
                CHECK(mostInWindow(limit, instances, 4, seed) <= usable * (1.5 * limit * 4 + 5));
            }
        }
    }
}

TEST_CASE("An endpoint with a limit is used up to a good part of it", "[limits]")
{
    for (const double limit : {1.0, 2.5, 8.0}) {
        INFO(limit);
        CHECK(mostInWindow(limit, 9, 4, 1) >= 2 * limit);
    }
}

TEST_CASE("A limit ends when the endpoint stops naming it, at all instances", "[limits]")
{
    EndpointAnnouncements own;
    EndpointAnnouncements other;
    CHECK(own.record("e", 1, 2.0, start) == LimitChange::Named);
    CHECK(own.record("e", 1, 2.0, start + 1s) == LimitChange::None);
    CHECK(own.record("e", 1, 3.0, start + 2s) == LimitChange::Changed);
    other.merge(own.report(start + 2s), start + 2s);
    CHECK(other.timeToRequest("e", 1, start + 2s) > Duration::zero());
    CHECK(own.record("e", 1, std::nullopt, start + 3s) == LimitChange::Lifted);
    CHECK(own.timeToRequest("e", 1, start + 3s) == Duration::zero());
    other.merge(own.report(start + 3s), start + 3s);
    CHECK(other.timeToRequest("e", 1, start + 3s) == Duration::zero());
}

TEST_CASE("A new incarnation of an endpoint has no limit and an older observation does not return", "[limits]")
{
    EndpointAnnouncements limits;
    limits.record("e", 1, 0.5, start);
    CHECK(limits.timeToRequest("e", 1, start) > Duration::zero());
    CHECK(limits.timeToRequest("e", 2, start) == Duration::zero());
    limits.record("e", 2, 7.0, start + 1s);
    limits.merge({{"e", 1, 0.5, 0s}}, start + 2s);
    CHECK(limits.states().at("e").requestsPerSecond == 7.0);
    limits.merge({{"e", 2, 3.0, 5s}}, start + 2s);
    CHECK(limits.states().at("e").requestsPerSecond == 7.0);
    limits.merge({{"e", 2, std::nullopt, 100ms}}, start + 2s);
    CHECK(limits.timeToRequest("e", 2, start + 2s) == Duration::zero());
}

TEST_CASE("Limits are part of the reports between instances", "[limits]")
{
    PeerReport report;
    report.limits = {{"e", 17, 2.5, 300ms}, {"f", 0, std::nullopt, 0s}};
    CHECK(decodePeerReport(encodePeerReport(report)).value().limits == report.limits);
    PeerSummary summary;
    summary.limits = report.limits;
    CHECK(decodePeerSummary(encodePeerSummary(summary)).value().limits == report.limits);
}

TEST_CASE("An endpoint that says it is leaving gets nothing more from this instance, and its next incarnation does", "[announcements]")
{
    // Guards against DRAIN: the store's older list still had the endpoint as ready.
    EndpointAnnouncements announcements;
    CHECK(announcements.recordLeaving("e", 3, start));
    CHECK_FALSE(announcements.recordLeaving("e", 3, start + 1s));
    announcements.merge({{"e", 3, std::nullopt, 0s}}, start + 2s);
    announcements.prune(start + 60s);
    CHECK(announcements.timeToRequest("e", 3, start + 60s) == Duration::max());
    CHECK(announcements.timeToRequest("e", 4, start + 60s) == Duration::zero());
    announcements.record("e", 4, std::nullopt, start + 61s);
    CHECK_FALSE(announcements.recordLeaving("e", 2, start + 62s));
    CHECK(announcements.timeToRequest("e", 4, start + 62s) == Duration::zero());
}

TEST_CASE("An endpoint that closes itself gets nothing until its time is over, then one request first", "[announcements]")
{
    // Guards against BUDGET: more than two requests reach an endpoint in the time for which it wanted none.
    EndpointAnnouncements announcements;
    CHECK(announcements.recordClosed("e", 1, 2s, start));
    CHECK_FALSE(announcements.recordClosed("e", 1, 1s, start + 500ms));
    CHECK(announcements.timeToRequest("e", 1, start + 500ms) == 1500ms);
    CHECK(announcements.timeToRequest("e", 1, start + 2s) == Duration::zero());
    announcements.recordRequest("e", 1, start + 2s);
    CHECK(announcements.timeToRequest("e", 1, start + 2s) > Duration::zero());
    CHECK(announcements.timeToRequest("e", 1, start + 2500ms) == Duration::zero());
    announcements.recordRequest("e", 1, start + 2500ms);
    CHECK(announcements.timeToRequest("e", 1, start + 2500ms) == Duration::zero());
}
