#include "RolloutExperiment.h"

#include "LibRollout/Rollout.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <queue>

namespace Godwitfork
{

namespace
{
constexpr int replicas = 20;
constexpr int referenceSamples = 2000;
constexpr double badFactor = 0.75;
constexpr int observedSeconds = 3600;
constexpr int turnWindowSeconds = 120;
constexpr double canaryShare = 0.05;
constexpr int canarySeconds = 600;
// One-sided 1 % quantile of the normal distribution.
constexpr double canaryQuantile = 2.326;

WallTime wallTime(int second)
{
    return WallTime(std::chrono::seconds(second));
}

double drawCandidateRating(const Deployment &deployment, bool bad, RandomSource &random)
{
    const DrawnRequest request = drawRequest(deployment, random);
    const double quality = request.answers.back().quality;
    return bad ? drawRating(quality * badFactor, random) : request.answers.back().rating;
}

/// Ratings of the stable version, from a sample as the controller sees it.
struct Reference {
    ReferenceQuality quality;
    double mean = 0;
    double variance = 0;
};

Reference sampleReference(const Deployment &deployment, RandomSource &random)
{
    Reference reference;
    double sum = 0;
    double squares = 0;
    for (int i = 0; i < referenceSamples; ++i) {
        const double rating = drawCandidateRating(deployment, false, random);
        ++reference.quality.ratings[static_cast<std::size_t>(ratingBin(rating))];
        sum += rating;
        squares += rating * rating;
    }
    reference.mean = sum / referenceSamples;
    reference.variance = squares / referenceSamples - reference.mean * reference.mean;
    return reference;
}

struct LateRating {
    double dueSeconds = 0;
    double rating = 0;

    bool operator>(const LateRating &other) const
    {
        return this->dueSeconds > other.dueSeconds;
    }
};

/// One roll-out in steps of a second, from its start to its end.
struct RolloutRun {
    RolloutRun(const Deployment &deployment, RandomSource &random)
        : deployment(deployment)
        , random(random)
        , reference(sampleReference(deployment, random).quality)
        , rollout(limitShare(makeRollout("model", "1", "2", wallTime(0)), deployment.requestsPerSecond * deployment.ratingDelaySeconds))
    {
    }

    bool finished() const
    {
        return this->rollout.phase == RolloutPhase::Withdrawn || this->rollout.phase == RolloutPhase::Completed;
    }

    /// Serves one second; returns the number of requests that ran on the candidate.
    int tick(bool bad)
    {
        const int arrivals = std::poisson_distribution<int>(this->deployment.requestsPerSecond)(this->random);
        int exposed = 0;
        for (int i = 0; i < arrivals; ++i) {
            const double draw = std::uniform_real_distribution<double>()(this->random);
            if (isExposed(this->rollout, PinState::Unpinned, draw)) {
                ++exposed;
                const double due = this->second + drawDelay(this->deployment, this->random);
                this->pending.push({due, drawCandidateRating(this->deployment, bad, this->random)});
            }
        }
        this->takeRatings(exposed);
        this->rollout = advance(this->rollout, replicas, replicas, wallTime(this->second));
        this->wasPaused = this->wasPaused || this->rollout.phase == RolloutPhase::Paused;
        ++this->second;
        return exposed;
    }

    void takeRatings(int answers)
    {
        CandidateObservation observation {{}, answers, 0};
        while (!this->pending.empty() && this->pending.top().dueSeconds <= this->second) {
            ++observation.ratings[static_cast<std::size_t>(ratingBin(this->pending.top().rating))];
            this->pending.pop();
        }
        this->rollout = recordObservation(this->rollout, this->reference, observation, wallTime(this->second));
    }

    const Deployment &deployment;
    RandomSource &random;
    ReferenceQuality reference;
    Rollout rollout;
    std::priority_queue<LateRating, std::vector<LateRating>, std::greater<>> pending;
    int second = 0;
    bool wasPaused = false;
};

/// Whether a canary of 5 % passes; its version turns bad at the given second.
bool canaryPasses(const Deployment &deployment, int turnSecond, RandomSource &random)
{
    const Reference reference = sampleReference(deployment, random);
    double sum = 0;
    int count = 0;
    for (int second = 0; second < canarySeconds; ++second) {
        const int exposed = std::poisson_distribution<int>(deployment.requestsPerSecond * canaryShare)(random);
        for (int i = 0; i < exposed; ++i) {
            if (second + drawDelay(deployment, random) < canarySeconds) {
                sum += drawCandidateRating(deployment, second >= turnSecond, random);
                ++count;
            }
        }
    }
    return sum / count > reference.mean - canaryQuantile * std::sqrt(reference.variance / count);
}
} // namespace

RolloutResult runBadVersion(const Deployment &deployment, std::uint64_t seed, std::size_t stage, int repetitions)
{
    RandomSource random(seed);
    RolloutResult total;
    int valid = 0;
    while (valid < repetitions) {
        RolloutRun run(deployment, random);
        const int wait = std::uniform_int_distribution<int>(0, turnWindowSeconds - 1)(random);
        while (!run.finished() && (run.rollout.stage < stage || run.rollout.phase != RolloutPhase::Exposing)) {
            run.tick(false);
        }
        for (int i = 0; i < wait && !run.finished(); ++i) {
            run.tick(false);
        }
        if (run.finished()) {
            continue;
        }
        ++valid;
        const int turned = run.second;
        total.expectedSampleNumber += expectedSampleNumber(run.reference);
        const int end = turned + observedSeconds;
        while (!run.finished() && run.second < end) {
            total.badRequests += run.tick(true);
        }
        // No test follows a completed roll-out: every later request runs on the bad version.
        if (run.rollout.phase == RolloutPhase::Completed) {
            total.badRequests += deployment.requestsPerSecond * (end - run.second);
        }
        total.missed += run.rollout.phase == RolloutPhase::Withdrawn ? 0 : 1;

        const bool passes = canaryPasses(deployment, wait, random);
        total.canaryBadRequests += deployment.requestsPerSecond * canaryShare * (canarySeconds - wait);
        total.canaryBadRequests += passes ? deployment.requestsPerSecond * (observedSeconds - canarySeconds + wait) : 0;
        total.noneBadRequests += deployment.requestsPerSecond * observedSeconds;
    }
    total.badRequests /= repetitions;
    total.canaryBadRequests /= repetitions;
    total.noneBadRequests /= repetitions;
    total.expectedSampleNumber /= repetitions;
    total.missed /= repetitions;
    return total;
}

FalseAlarmResult runGoodVersion(const Deployment &deployment, std::uint64_t seed, int repetitions)
{
    RandomSource random(seed);
    FalseAlarmResult total;
    for (int i = 0; i < repetitions; ++i) {
        RolloutRun run(deployment, random);
        while (!run.finished() && run.second < 4 * observedSeconds) {
            run.tick(false);
        }
        total.paused += run.wasPaused ? 1 : 0;
        total.withdrawn += run.rollout.phase == RolloutPhase::Withdrawn ? 1 : 0;
        total.seconds += run.second;
        total.canaryRefused += canaryPasses(deployment, std::numeric_limits<int>::max(), random) ? 0 : 1;
    }
    total.paused /= repetitions;
    total.withdrawn /= repetitions;
    total.seconds /= repetitions;
    total.canaryRefused /= repetitions;
    return total;
}

} // namespace Godwitfork
