#include "CascadeExperiment.h"
#include "RolloutExperiment.h"

#include "LibRollout/Rollout.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <numeric>
#include <string>
#include <vector>

using namespace Godwitfork;

namespace
{
/// Mean and range over the seeds.
std::string spread(const std::vector<double> &values, int digits)
{
    const double mean = std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
    const auto [low, high] = std::minmax_element(values.begin(), values.end());
    char text[96] = {};
    std::snprintf(text, sizeof(text), "%.*f (%.*f to %.*f)", digits, mean, digits, *low, digits, *high);
    return text;
}

struct Column {
    std::vector<double> ofOracle;
    std::vector<double> ofBest;
    std::vector<double> accounts;
    std::vector<double> margin;
    std::vector<double> exploration;
};

void reportCascade(const Deployment &deployment, const std::vector<std::uint64_t> &seeds, int requests)
{
    std::vector<std::string> order;
    std::map<std::string, Column> columns;
    for (const std::uint64_t seed : seeds) {
        const std::vector<PolicyResult> results = runCascadeExperiment(deployment, seed, requests);
        const double oracle = results.back().cost;
        const auto best = std::find_if(results.begin(), results.end(), [](const PolicyResult &result) { return result.policy == "always best"; });
        for (const PolicyResult &result : results) {
            if (!columns.contains(result.policy)) {
                order.push_back(result.policy);
            }
            Column &column = columns[result.policy];
            column.ofOracle.push_back(result.cost / oracle);
            column.ofBest.push_back(result.cost / best->cost);
            column.accounts.push_back(result.accountsAtTarget);
            column.margin.push_back(result.smallestMargin);
            column.exploration.push_back(result.explorationCostShare);
        }
    }
    std::printf("\n%s: cost at the quality target, %d requests for each of %zu seeds, mean (range)\n\n", deployment.name.c_str(), requests, seeds.size());
    std::printf("| policy | cost / oracle | cost / always best | accounts at target of 10 | smallest margin | exploration share of cost |\n");
    std::printf("| --- | --- | --- | --- | --- | --- |\n");
    for (const std::string &policy : order) {
        const Column &column = columns[policy];
        std::printf("| %s | %s | %s | %s | %s | %s |\n",
                    policy.c_str(),
                    spread(column.ofOracle, 3).c_str(),
                    spread(column.ofBest, 3).c_str(),
                    spread(column.accounts, 1).c_str(),
                    spread(column.margin, 4).c_str(),
                    spread(column.exploration, 4).c_str());
    }
}

void reportRollout(const Deployment &deployment, const std::vector<std::uint64_t> &seeds, int repetitions)
{
    std::printf(
        "\n%s: requests on a version after it turned bad, %d roll-outs for each seed and stage, mean (range)\n\n", deployment.name.c_str(), repetitions);
    std::printf("| stage | godwitfork | expected sample number | ratio | share missed | canary 5 %% | none |\n| --- | --- | --- | --- | --- | --- | --- |\n");
    for (std::size_t stage = 0; stage < exposureStages.size(); ++stage) {
        std::vector<double> bad;
        std::vector<double> samples;
        std::vector<double> ratio;
        std::vector<double> missed;
        std::vector<double> canary;
        std::vector<double> none;
        for (const std::uint64_t seed : seeds) {
            const RolloutResult result = runBadVersion(deployment, seed, stage, repetitions);
            bad.push_back(result.badRequests);
            samples.push_back(result.expectedSampleNumber);
            ratio.push_back(result.badRequests / result.expectedSampleNumber);
            missed.push_back(result.missed);
            canary.push_back(result.canaryBadRequests);
            none.push_back(result.noneBadRequests);
        }
        std::printf("| %.0f %% | %s | %s | %s | %s | %s | %s |\n",
                    exposureStages[stage] * 100,
                    spread(bad, 1).c_str(),
                    spread(samples, 1).c_str(),
                    spread(ratio, 2).c_str(),
                    spread(missed, 3).c_str(),
                    spread(canary, 0).c_str(),
                    spread(none, 0).c_str());
    }
    std::vector<double> paused;
    std::vector<double> withdrawn;
    std::vector<double> seconds;
    std::vector<double> canary;
    for (const std::uint64_t seed : seeds) {
        const FalseAlarmResult result = runGoodVersion(deployment, seed, repetitions);
        paused.push_back(result.paused);
        withdrawn.push_back(result.withdrawn);
        seconds.push_back(result.seconds);
        canary.push_back(result.canaryRefused);
    }
    std::printf("\nGood roll-outs: paused %s, withdrawn %s, duration %s s; refused by the canary %s\n",
                spread(paused, 4).c_str(),
                spread(withdrawn, 4).c_str(),
                spread(seconds, 0).c_str(),
                spread(canary, 4).c_str());
}
} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Measures the decisions of LibCascade and LibRollout on drawn requests", ' ', "1");
        TCLAP::ValueArg<std::uint64_t> firstSeed("", "first-seed", "first of the consecutive seeds", false, 1, "number", command);
        TCLAP::ValueArg<int> seedCount("", "seeds", "number of seeds", false, 5, "number", command);
        TCLAP::ValueArg<int> requests("", "requests", "requests for each seed; 0 leaves the cascade out", false, 60000, "number", command);
        TCLAP::ValueArg<int> repetitions("", "rollouts", "roll-outs for each seed and stage; 0 leaves the roll-out out", false, 100, "number", command);
        command.parse(argc, argv);
        std::vector<std::uint64_t> seeds(static_cast<std::size_t>(std::max(1, seedCount.getValue())));
        std::iota(seeds.begin(), seeds.end(), firstSeed.getValue());
        for (const Deployment &deployment : {ljungberg(), kalendarwerk()}) {
            if (requests.getValue() > 0) {
                reportCascade(deployment, seeds, requests.getValue());
            }
            if (repetitions.getValue() > 0) {
                reportRollout(deployment, seeds, repetitions.getValue());
            }
        }
    } catch (const TCLAP::ArgException &error) {
        std::fprintf(stderr, "%s: %s\n", error.argId().c_str(), error.error().c_str());
        return 2;
    }
    return 0;
}
