#include "LibGateway/PeerReport.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <cmath>
#include <limits>
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
    report.endpoints[endpointKey("e5")] = {0, 0ms, {}, std::nullopt, {0.8, 0.4}};
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

TEST_CASE("The evidence of an endpoint's speed takes a few bytes, and none where capacity is not learned", "[peer]")
{
    // 76 instances report on 60 endpoints, and hubs receive some 50 reports a second.
    PeerReport report = fullReport();
    report.endpoints.clear();
    for (int i = 0; i < 60; ++i) {
        report.endpoints[endpointKey("e" + std::to_string(i))] = {2, 120ms, {}, 40ms};
    }
    const std::size_t before = encodePeerReport(report).size();
    for (auto &[key, usage] : report.endpoints) {
        usage.relativeTimes = {0.4, 0.25};
    }
    // Two numbers for each, and the two empty ones of failures that stand before them.
    const std::size_t after = encodePeerReport(report).size();
    CHECK(after - before <= 60 * 6);
    INFO("bytes of a report on 60 endpoints, before and after: " << before << ", " << after);
    CHECK(after > before);
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

TEST_CASE("An odd item of a report is left out and counted, and the other items are decoded", "[peer]")
{
    // Guards against loads, verdicts and departures of a whole fleet that are lost because of one item that an instance does not understand.
    const PeerReport full = fullReport();
    const nlohmann::json message = nlohmann::json::from_cbor(encodePeerReport(full));
    const auto decodedWith = [&message](std::size_t field, const nlohmann::json &item) {
        nlohmann::json odd = message;
        if (odd.at(field).is_object()) {
            odd.at(field)["odd"] = item;
        } else {
            odd.at(field).insert(odd.at(field).begin(), item);
        }
        std::string bytes;
        nlohmann::json::to_cbor(odd, bytes);
        return decodePeerReport(bytes);
    };
    constexpr double infinity = std::numeric_limits<double>::infinity();
    const std::vector<std::pair<std::size_t, nlohmann::json>> oddItems = {
        {4, {1, -3}},
        {4, {1, 4294967297}},
        {4, {1, 1, std::numeric_limits<std::int64_t>::max()}},
        {4, {-1, 1}},
        {4, nlohmann::json::array()},
        {4, "x"},
        {5, {{infinity, 1}, {1, 1}, 1, 1}},
        {5, {{1, std::nan("")}, {1, 1}, 1, 1}},
        {5, {{1, 1}, {1, 1}, std::numeric_limits<std::int64_t>::max(), 1}},
        {5, nullptr},
        {6, {7, 1}},
        {6, {"e1", 7, 400}},
        {7, {"\xff\xfe", 1}},
        {7, {"e9"}},
        {7, {std::string(1'000'000, 'x'), 1}},
        {8, {"pool", "v2", 9}},
        {8,
         {"pool",
          "v2",
          1,
          std::numeric_limits<std::int64_t>::max(),
          true,
          nlohmann::json::object(),
          nlohmann::json::object(),
          nlohmann::json::object(),
          nlohmann::json::array(),
          true}},
        {9, {1, 7, 0, true}},
        {9, {-1, nlohmann::json::array(), 0, true}},
        {10, {"e1", 1, infinity, 0}},
        {10, 7},
    };
    for (const auto &[field, item] : oddItems) {
        INFO(field << " " << item.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).substr(0, 200));
        const auto decoded = decodedWith(field, item);
        REQUIRE(decoded);
        CHECK_FALSE(decoded.value().faults.empty());
        PeerReport understood = decoded.value();
        understood.faults.clear();
        if (field == 9 && item.at(0) == 1) {
            // The evidence without its crashes.
            REQUIRE(!understood.promptEvidence.empty());
            understood.promptEvidence.erase(understood.promptEvidence.begin());
        }
        CHECK(understood == full);
    }
}

TEST_CASE("A summary's member whose address is none is left out", "[peer]")
{
    // Guards against a hub that cannot be reached: any text was taken for an address, and the highest quota made it the hub of all.
    PeerSummary summary;
    summary.members = {{{"entry-1", "10.0.0.1:7000", 250, "north"}, 800ms}};
    const std::string valid = encodePeerSummary(summary);
    for (const std::string odd : {"", "nowhere", "10.0.0.1", "10.0.0.1:0", "10.0.0.1:70000", "host.example:80"}) {
        PeerSummary withOdd = summary;
        withOdd.members.push_back({{"entry-2", odd, 1000, "north"}, 0ms});
        const auto decoded = decodePeerSummary(encodePeerSummary(withOdd));
        REQUIRE(decoded);
        CHECK(decoded.value().members == summary.members);
        CHECK(decoded.value().faults.size() == 1);
        PeerReport report = fullReport();
        report.sender.address = odd;
        const auto ofSender = decodePeerReport(encodePeerReport(report));
        REQUIRE(ofSender);
        CHECK(ofSender.value().sender.address.empty());
        CHECK(ofSender.value().leaving == report.leaving);
    }
    CHECK(decodePeerSummary(valid).value() == summary);
}
