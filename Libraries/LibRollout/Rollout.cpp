#include "LibRollout/Rollout.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Godwitfork
{

namespace
{
// Long enough to detect errors that occur only after a minute of use before the exposure grows.
constexpr Duration minStageDuration = std::chrono::seconds(120);
// Ratings arrive within minutes. A paused version whose ratings are not good by then is withdrawn.
constexpr Duration maxVerificationDuration = std::chrono::seconds(600);

// Number of stages in which `shareLimit` applies. The later stages test the version under load.
constexpr std::size_t limitedStages = 2;
// Permitted number of candidate answers that wait for a rating. Each of them may be bad before this is known, and the test needs about
// 6 ratings.
constexpr double maxUnratedAnswers = 4;

double shareOfStage(const Rollout &rollout, std::size_t stage)
{
    return stage < limitedStages ? std::min(exposureStages[stage], rollout.shareLimit) : exposureStages[stage];
}

bool isFinal(const Rollout &rollout)
{
    return rollout.phase == RolloutPhase::Withdrawn || rollout.phase == RolloutPhase::Completed;
}

Rollout enterPhase(Rollout rollout, RolloutPhase phase, WallTime now)
{
    rollout.phase = phase;
    rollout.phaseStarted = now;
    rollout.test = SequentialTest();
    rollout.pausedByOperator = false;
    return rollout;
}

Rollout enterNextStageOrComplete(Rollout rollout, WallTime now)
{
    if (rollout.stage + 1 == exposureStages.size()) {
        return enterPhase(std::move(rollout), RolloutPhase::Completed, now);
    }
    ++rollout.stage;
    return enterPhase(std::move(rollout), RolloutPhase::Loading, now);
}

Error finishedError(const Rollout &rollout)
{
    return {"rollout_finished", "the roll-out of " + rollout.model + " " + rollout.candidate + " is completed or withdrawn"};
}
} // namespace

Rollout makeRollout(std::string model, std::string stable, std::string candidate, WallTime now)
{
    Rollout rollout;
    rollout.model = std::move(model);
    rollout.stable = std::move(stable);
    rollout.candidate = std::move(candidate);
    rollout.phaseStarted = now;
    return rollout;
}

Rollout takeOver(Rollout rollout, std::uint64_t term)
{
    rollout.term = term;
    return rollout;
}

Rollout limitShare(Rollout rollout, double requestsPerRatingDelay)
{
    rollout.shareLimit = requestsPerRatingDelay > maxUnratedAnswers ? maxUnratedAnswers / requestsPerRatingDelay : 1;
    return rollout;
}

int replicasNeeded(const Rollout &rollout, int replicas)
{
    return static_cast<int>(std::ceil(exposureStages[rollout.stage] * replicas));
}

Rollout recordObservation(Rollout rollout, const ReferenceQuality &reference, const CandidateObservation &observation, WallTime now)
{
    if (isFinal(rollout) || rollout.pausedByOperator) {
        return rollout;
    }
    rollout.test = addObservation(rollout.test, reference, observation);
    if (rollout.phase == RolloutPhase::Paused) {
        const TestVerdict decision = verdict(rollout.test);
        if (decision == TestVerdict::Bad) {
            return enterPhase(std::move(rollout), RolloutPhase::Withdrawn, now);
        }
        // Goes back to loading, because the weights may have been unloaded during the pause.
        return decision == TestVerdict::Good ? enterPhase(std::move(rollout), RolloutPhase::Loading, now) : rollout;
    }
    return hasAlarm(rollout.test) ? enterPhase(std::move(rollout), RolloutPhase::Paused, now) : rollout;
}

Rollout advance(Rollout rollout, int loadedReplicas, int replicas, WallTime now)
{
    const Duration timeInPhase = now - rollout.phaseStarted;
    switch (rollout.phase) {
    case RolloutPhase::Loading:
        if (loadedReplicas < replicasNeeded(rollout, replicas)) {
            return rollout;
        }
        return enterPhase(std::move(rollout), RolloutPhase::Exposing, now);
    case RolloutPhase::Exposing:
        if (timeInPhase < minStageDuration || verdict(rollout.test) != TestVerdict::Good) {
            return rollout;
        }
        return enterNextStageOrComplete(std::move(rollout), now);
    case RolloutPhase::Paused:
        if (rollout.pausedByOperator || timeInPhase < maxVerificationDuration) {
            return rollout;
        }
        return enterPhase(std::move(rollout), RolloutPhase::Withdrawn, now);
    case RolloutPhase::Withdrawn:
    case RolloutPhase::Completed:
        break;
    }
    return rollout;
}

ErrorOr<Rollout> pause(Rollout rollout, WallTime now)
{
    if (isFinal(rollout)) {
        return finishedError(rollout);
    }
    Rollout paused = enterPhase(std::move(rollout), RolloutPhase::Paused, now);
    paused.pausedByOperator = true;
    return paused;
}

ErrorOr<Rollout> resume(Rollout rollout, WallTime now)
{
    if (isFinal(rollout)) {
        return finishedError(rollout);
    }
    if (rollout.phase != RolloutPhase::Paused) {
        return Error {"not_paused", "the roll-out of " + rollout.model + " " + rollout.candidate + " is not paused"};
    }
    return enterPhase(std::move(rollout), RolloutPhase::Loading, now);
}

ErrorOr<Rollout> withdraw(Rollout rollout, WallTime now)
{
    if (isFinal(rollout)) {
        return finishedError(rollout);
    }
    return enterPhase(std::move(rollout), RolloutPhase::Withdrawn, now);
}

double exposureShare(const Rollout &rollout)
{
    switch (rollout.phase) {
    case RolloutPhase::Loading:
        return rollout.stage == 0 ? 0 : shareOfStage(rollout, rollout.stage - 1);
    case RolloutPhase::Exposing:
        return shareOfStage(rollout, rollout.stage);
    case RolloutPhase::Completed:
        return 1;
    case RolloutPhase::Paused:
    case RolloutPhase::Withdrawn:
        break;
    }
    return 0;
}

bool isExposed(const Rollout &rollout, PinState pin, double draw)
{
    return pin == PinState::Unpinned && draw < exposureShare(rollout);
}

} // namespace Godwitfork
