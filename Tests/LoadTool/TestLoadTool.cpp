#include "LoadTool/Report.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const std::string sample = R"(name: sample
seed: 20261204
duration_s: 40
arrivals:
  requests_per_second: 50
  swings:
    - {at_s: 10, ramp_s: 2, factor: 4, until_s: 20}
accounts:
  - {name: press, key: k, model: blazon}
prompts: [read this]
long_jobs: {share: 0.05, factor: 50}
variants:
  - {name: routers, routers: ["${ROUTER}"]}
)";

Experiment parseSample()
{
    Findings findings;
    Experiment experiment = parseExperiment("sample.yaml", sample, {{"ROUTER", "127.0.0.1:9"}}, findings);
    REQUIRE(findings.toText().empty());
    return experiment;
}

RequestResult resultFor(const PlannedRequest &planned)
{
    RequestResult result;
    result.planned = planned;
    result.status = 200;
    return result;
}
} // namespace

// Guards against a mistyped key or value that silently changes what an experiment measures.
TEST_CASE("Mistakes in an experiment file are reported together with their lines")
{
    Findings findings;
    const std::string text = "name: x\nduraton_s: 5\narrivals:\n  requests_per_second: fast\naccounts: []\nprompts: [a]\nbaseline: b\n"
                             "variants:\n  - {name: v, routers: [nowhere]}\nstreaming_share: .nan\n";
    parseExperiment("x.yaml", text, {}, findings);
    const std::string report = findings.toText();
    for (const char *expected : {"x.yaml:2:12: duraton_s: unknown key",
                                 "duration_s: missing key",
                                 "x.yaml:4:24: arrivals.requests_per_second",
                                 "accounts: at least one",
                                 "variants[0].routers: must be an IP address",
                                 "baseline: must be the name of a variant",
                                 "streaming_share: must be a number"}) {
        INFO(report);
        CHECK(report.find(expected) != std::string::npos);
    }
    Findings missing;
    parseExperiment("s.yaml", sample, {}, missing);
    CHECK(missing.toText().find("s.yaml:13:0: variable 'ROUTER' has no value") != std::string::npos);
}

// Guards against variants that get different loads, and against arrivals that miss the stated rate or swing.
TEST_CASE("The plan follows its seed, rate and swings")
{
    const Experiment experiment = parseSample();
    const auto plan = planRequests(experiment, 0);
    CHECK(plan == planRequests(experiment, 0));
    CHECK(plan != planRequests(experiment, 1));
    CHECK(rateAt(experiment, 11s) == Approx(125));
    const auto countBetween = [&plan](Duration from, Duration until) {
        return std::count_if(plan.begin(), plan.end(), [=](const PlannedRequest &request) { return request.at >= from && request.at < until; });
    };
    // Poisson counts with means of 500 and 1,600; the bounds are four standard deviations wide.
    CHECK(std::abs(countBetween(0s, 10s) - 500) < 90);
    CHECK(std::abs(countBetween(12s, 20s) - 1600) < 160);
    const auto longJobs = std::count_if(plan.begin(), plan.end(), [](const PlannedRequest &request) { return request.isLong; });
    CHECK(static_cast<double>(longJobs) / static_cast<double>(plan.size()) == Approx(0.05).margin(0.02));
}

// Guards against quantiles that are off by more than the stated 1 %.
TEST_CASE("Histogram quantiles are accurate to about 1 %")
{
    LatencyHistogram histogram;
    CHECK(histogram.quantile(0.5) == Duration(0));
    for (int i = 1; i <= 10'000; ++i) {
        histogram.add(Duration(i * 100));
    }
    CHECK(static_cast<double>(histogram.quantile(0.5).count()) == Approx(500'000).epsilon(0.011));
    CHECK(static_cast<double>(histogram.quantile(0.99).count()) == Approx(990'000).epsilon(0.011));
}

// Guards against an incomplete or failed response that counts as an answer.
TEST_CASE("Responses are read as answered, refused or unknown")
{
    const std::string first = R"({"choices":[{"delta":{"content":"[m:1 abc] one"}}]})";
    const std::string last = R"({"choices":[{"delta":{"content":" [end 9]"}}],"usage":{"prompt_tokens":4,"completion_tokens":9},
        "godwitfork":{"cost_microunits":70}})";
    RequestResult result = resultFor({});
    ResponseReader reader(result);
    CHECK(reader.takeEvent(first));
    CHECK(reader.takeEvent(last));
    SECTION("complete")
    {
        CHECK_FALSE(reader.takeEvent("[DONE]"));
        reader.finishStream();
        CHECK(result.caller.outcome == CallerOutcome::Answered);
        CHECK(result.caller.textRequestId == "abc");
        CHECK(result.caller.textEndTokens == 9);
        CHECK(result.caller.reportedCompletionTokens == 9);
        CHECK(result.caller.reportedCost == 70);
    }
    SECTION("without the end mark")
    {
        reader.finishStream();
        CHECK(result.caller.outcome == CallerOutcome::Unknown);
        CHECK(result.code == "truncated");
    }
    SECTION("with an error event")
    {
        reader.takeEvent(R"({"error":{"code":"endpoint_failed","ran":"unknown"}})");
        reader.finishStream();
        CHECK(result.caller.outcome == CallerOutcome::Unknown);
        CHECK(result.caller.ran == "unknown");
    }
    SECTION("refused")
    {
        result.status = 503;
        reader.takeBody(R"({"error":{"code":"overloaded","ran":"no","request_id":"abc"}})");
        CHECK(result.caller.outcome == CallerOutcome::Refused);
        CHECK(result.caller.ran == "no");
        CHECK(result.caller.requestId == "abc");
    }
}

// Guards against figures that include the warm-up or lose requests from the accounting.
TEST_CASE("The report leaves out the warm-up and counts by status and code")
{
    Experiment experiment = parseSample();
    experiment.warmup = 1s;
    PlannedRequest early;
    PlannedRequest late;
    late.at = 2s;
    std::vector<RequestResult> results {resultFor(early), resultFor(late), resultFor(late)};
    results[1].caller.outcome = CallerOutcome::Answered;
    results[1].code = "ok";
    results[1].firstByte = 5ms;
    Report report;
    report.statistics.push_back(summarize(experiment, results, 0, -1));
    const VariantStatistics &all = report.statistics[0];
    CHECK(all.sent == 2);
    CHECK(all.answered + all.refused + all.unknown == 2);
    CHECK(all.codes.at({200, "ok"}) == 1);
    CHECK(toJson(experiment, report)["results"][0]["first_byte"]["median_ms"].get<double>() == Approx(5).epsilon(0.011));
    CHECK(toTable(experiment, report).find("check: not run") != std::string::npos);
}
