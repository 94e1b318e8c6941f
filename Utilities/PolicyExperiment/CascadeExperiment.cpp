#include "CascadeExperiment.h"

#include "LibCascade/Cascade.h"
#include "LibCascade/QualityMultiplier.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <queue>

namespace Godwitfork
{

namespace
{
constexpr double fixedThreshold = 0.8;
constexpr int oracleBisections = 60;
constexpr double oracleHighestPrice = 1e7;

/// Cost and quality that a policy has delivered so far.
struct Tally {
    explicit Tally(const Deployment &deployment) : quality(deployment.accounts.size()), count(deployment.accounts.size())
    {
    }

    void add(std::size_t account, double deliveredQuality, double requestCost)
    {
        this->quality[account] += deliveredQuality;
        this->count[account] += 1;
        this->cost += requestCost;
    }

    std::vector<double> quality;
    std::vector<double> count;
    double cost = 0;
    double explorationCost = 0;
};

PolicyResult resultOf(const std::string &policy, const Deployment &deployment, const Tally &tally)
{
    PolicyResult result {policy, tally.cost, 0, std::numeric_limits<double>::infinity(), tally.explorationCost / tally.cost};
    for (std::size_t account = 0; account < deployment.accounts.size(); ++account) {
        // Allows for rounding only; the oracle meets its target exactly.
        const double margin = tally.quality[account] / tally.count[account] - deployment.accounts[account].target;
        result.accountsAtTarget += margin >= -1e-9 ? 1 : 0;
        result.smallestMargin = std::min(result.smallestMargin, margin);
    }
    return result;
}

using Choice = std::function<std::size_t(const DrawnRequest &)>;

/// A policy that runs only the chosen version, or the cheapest one before it.
PolicyResult
runFixed(const std::string &policy, const Deployment &deployment, const std::vector<DrawnRequest> &requests, bool paysCheapest, const Choice &choice)
{
    Tally tally(deployment);
    for (const DrawnRequest &request : requests) {
        const std::size_t version = choice(request);
        const auto cost = static_cast<double>(deployment.versions[version].cost);
        const double cheapest = paysCheapest && version > 0 ? static_cast<double>(deployment.versions[0].cost) : 0;
        tally.add(request.account, request.answers[version].quality, cost + cheapest);
    }
    return resultOf(policy, deployment, tally);
}

std::size_t oracleChoice(const Deployment &deployment, const DrawnRequest &request, double price, bool paysCheapest)
{
    std::size_t best = 0;
    double bestValue = -std::numeric_limits<double>::infinity();
    for (std::size_t version = 0; version < deployment.versions.size(); ++version) {
        const double cheapest = paysCheapest && version > 0 ? static_cast<double>(deployment.versions[0].cost) : 0;
        const double value = price * request.answers[version].quality - static_cast<double>(deployment.versions[version].cost) - cheapest;
        if (value > bestValue) {
            best = version;
            bestValue = value;
        }
    }
    return best;
}

/// Lowest price for each account at which the oracle meets the account's target over the whole run.
std::vector<double> oraclePrices(const Deployment &deployment, const std::vector<DrawnRequest> &requests, bool paysCheapest)
{
    std::vector<double> low(deployment.accounts.size(), 0);
    std::vector<double> high(deployment.accounts.size(), oracleHighestPrice);
    for (int i = 0; i < oracleBisections; ++i) {
        std::vector<double> surplus(deployment.accounts.size(), 0);
        for (const DrawnRequest &request : requests) {
            const double price = (low[request.account] + high[request.account]) / 2;
            const std::size_t version = oracleChoice(deployment, request, price, paysCheapest);
            surplus[request.account] += request.answers[version].quality - deployment.accounts[request.account].target;
        }
        for (std::size_t account = 0; account < surplus.size(); ++account) {
            (surplus[account] >= 0 ? high : low)[account] = (low[account] + high[account]) / 2;
        }
    }
    return high;
}

PolicyResult runOracle(const std::string &policy, const Deployment &deployment, const std::vector<DrawnRequest> &requests, bool paysCheapest)
{
    const std::vector<double> prices = oraclePrices(deployment, requests, paysCheapest);
    return runFixed(policy, deployment, requests, paysCheapest, [&](const DrawnRequest &request) {
        return oracleChoice(deployment, request, prices[request.account], paysCheapest);
    });
}

/// Rating on its way from the rating service.
struct PendingRating {
    double dueSeconds = 0;
    std::size_t account = 0;
    std::vector<EstimateKey> keys;
    double expected = 0;
    double rating = 0;

    bool operator>(const PendingRating &other) const
    {
        return this->dueSeconds > other.dueSeconds;
    }
};

/// The decisions of LibCascade on drawn requests.
class CascadeRun
{
public:
    CascadeRun(const Deployment &deployment, std::uint64_t seed) : deployment(deployment), random(seed), tally(deployment)
    {
        for (const VersionModel &version : deployment.versions) {
            this->steps.push_back({version.name, version.cost});
        }
        this->steps = cascadeOrder(this->steps);
        for (const AccountModel &account : deployment.accounts) {
            this->multipliers.push_back(makeMultiplier(account.target, this->steps.back().expectedCost));
        }
    }

    void serve(const DrawnRequest &drawn, double now)
    {
        this->takeRatings(now);
        const AccountModel &account = this->deployment.accounts[drawn.account];
        QualityMultiplier &multiplier = this->multipliers[drawn.account];
        CascadeRequest request {account.name, this->deployment.classes[drawn.taskClass].name, this->steps, multiplierValue(multiplier), false, 0};
        request.explore = drawExploration(this->random);
        request.explorationDraw = std::uniform_real_distribution<double>()(this->random);

        std::size_t step = firstStep(this->estimates, request);
        double cost = 0;
        std::vector<EstimateKey> keys;
        StepDecision decision;
        bool explored = false;
        while (true) {
            const DrawnAnswer &answer = drawn.answers[step];
            const std::string &version = this->steps[step].version;
            const int bin = confidenceBin(answer.confidence);
            cost += static_cast<double>(this->steps[step].expectedCost);
            this->estimates.recordAnswer(request.account, request.taskClass, version, bin);
            keys.push_back({request.account, request.taskClass, version, version, bin});
            decision = decideStep(this->estimates, request, step, answer.confidence);
            explored = explored || decision.explored;
            if (!decision.escalateTo) {
                break;
            }
            step = *decision.escalateTo;
        }
        // The rating says what the delivered version does after each signal that the request has shown.
        for (EstimateKey &key : keys) {
            key.version = this->steps[step].version;
        }
        recordDelivery(multiplier, decision.expectedRating);
        this->pending.push({now + drawn.ratingDelaySeconds, drawn.account, keys, decision.expectedRating, drawn.answers[step].rating});
        this->tally.add(drawn.account, drawn.answers[step].quality, cost);
        if (explored && keys.size() > 1) {
            this->tally.explorationCost += cost - static_cast<double>(this->steps[0].expectedCost);
        }
    }

    PolicyResult result() const
    {
        return resultOf("godwitfork", this->deployment, this->tally);
    }

private:
    void takeRatings(double now)
    {
        while (!this->pending.empty() && this->pending.top().dueSeconds <= now) {
            const PendingRating &rated = this->pending.top();
            for (const EstimateKey &key : rated.keys) {
                this->estimates.recordRating(key, rated.rating);
            }
            recordLateRating(this->multipliers[rated.account], rated.expected, rated.rating);
            this->pending.pop();
        }
    }

    const Deployment &deployment;
    RandomSource random;
    Tally tally;
    QualityEstimates estimates {"experiment"};
    std::vector<CascadeStep> steps;
    std::vector<QualityMultiplier> multipliers;
    std::priority_queue<PendingRating, std::vector<PendingRating>, std::greater<>> pending;
};
} // namespace

std::vector<PolicyResult> runCascadeExperiment(const Deployment &deployment, std::uint64_t seed, int requests)
{
    RandomSource random(seed);
    std::vector<DrawnRequest> drawn;
    drawn.reserve(static_cast<std::size_t>(requests));
    for (int i = 0; i < requests; ++i) {
        drawn.push_back(drawRequest(deployment, random));
    }
    CascadeRun run(deployment, random());
    for (int i = 0; i < requests; ++i) {
        run.serve(drawn[static_cast<std::size_t>(i)], i / deployment.requestsPerSecond);
    }
    const std::size_t best = deployment.versions.size() - 1;
    return {run.result(),
            runFixed("always best", deployment, drawn, false, [best](const DrawnRequest &) { return best; }),
            runFixed("always cheapest", deployment, drawn, false, [](const DrawnRequest &) { return std::size_t(0); }),
            runFixed("fixed threshold 0.8",
                     deployment,
                     drawn,
                     true,
                     [best](const DrawnRequest &request) { return request.answers[0].confidence < fixedThreshold ? best : 0; }),
            runOracle("oracle that pays the cheapest step first", deployment, drawn, true),
            runOracle("oracle", deployment, drawn, false)};
}

} // namespace Godwitfork
