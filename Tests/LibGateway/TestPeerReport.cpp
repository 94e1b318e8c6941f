#include "LibGateway/PeerReport.h"

#include <catch2/catch.hpp>

#include <random>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
PeerReport fullReport()
{
    PeerReport report;
    report.sender = {"entry-1", "10.0.0.1:7000", 120, "north"};
    report.configuration = 12;
    report.endpoints[endpointKey("e1")] = {3, 450ms, {1.5, 4}, 120ms};
    report.endpoints[endpointKey("e3")] = {1, 0ms, {}, std::nullopt};
    report.endpoints[endpointKey("e4")] = {0, 0ms, {}, 0ms};
    report.statistics["pool"] = {{12.25, 3.5}, {7, 20}, {200, 30}};
    report.placements[endpointKey("e1")] = {{0xfedcba9876543210, 13000}, {7, 400}};
    report.leaving = {{"e2", 1700000000000}};
    TrialReport trial;
    trial.service = "pool";
    trial.target = "v2";
    trial.state = RolloutState::InProgress;
    trial.age = 1500ms;
    trial.isAccepted = true;
    trial.observations.candidateByRoute["r"] = {5, 1, 2, {5, 2500, 4000}};
    trial.observations.candidateByEndpoint["e1"] = {5, 1, 2};
    trial.observations.stableByRoute["r"] = {50, 1, 0, {48, -1200, 30500}};
    trial.sessions = {{0xfedcba9876543210, "v1", 2500ms}};
    report.trials = {trial};
    report.promptEvidence = {{0xfedcba9876543210, {{7, 0xfedcba9876543211, 350ms}, {8, 3, 0ms}}, 0ms, true}, {5, {}, std::nullopt, false}};
    return report;
}
} // namespace

TEST_CASE("A report is equal after encoding and decoding", "[peer]")
{
    const auto decoded = decodePeerReport(encodePeerReport(fullReport()));
    REQUIRE(decoded);
    CHECK(decoded.value() == fullReport());
}

TEST_CASE("A summary is equal after encoding and decoding", "[peer]")
{
    PeerSummary summary;
    summary.failureDomain = "north";
    summary.memberCount = 1;
    summary.members = {{{"entry-1", "10.0.0.1:7000", 250, "north"}, 800ms}};
    summary.listsAllMembers = false;
    summary.oldestUnlisted = 900ms;
    summary.configuration = 12;
    summary.configurationHolder = "10.0.0.1:7000";
    summary.endpoints = fullReport().endpoints;
    summary.statistics = fullReport().statistics;
    summary.placements = fullReport().placements;
    summary.leaving = fullReport().leaving;
    summary.trials = fullReport().trials;
    summary.promptEvidence = fullReport().promptEvidence;
    const auto decoded = decodePeerSummary(encodePeerSummary(summary));
    REQUIRE(decoded);
    CHECK(decoded.value() == summary);
}

TEST_CASE("Decoding a malformed report fails and does not throw", "[peer]")
{
    // A message of another release or a damaged one must not end the process by an exception.
    const std::string bytes = encodePeerReport(fullReport());
    std::mt19937_64 random(20261204);
    int failures = 0;
    for (int i = 0; i < 5000; ++i) {
        std::string damaged = bytes.substr(0, random() % (bytes.size() + 1));
        for (int j = 0; j < 3 && !damaged.empty(); ++j) {
            damaged[random() % damaged.size()] = static_cast<char>(random());
        }
        failures += decodePeerReport(damaged) ? 0 : 1;
    }
    CHECK(failures > 0);
    CHECK_FALSE(decodePeerReport(""));
    CHECK_FALSE(decodePeerReport(std::string(100000, '\x81')));
}
