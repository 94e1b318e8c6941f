#pragma once

#include "LibCore/Error.h"
#include "LibCore/Time.h"
#include "LibRollout/SequentialTest.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace Godwitfork
{

/// Share of the unpinned requests that run on the candidate in each stage.
constexpr std::array<double, 5> exposureStages = {0.01, 0.05, 0.2, 0.5, 1.0};

enum class RolloutPhase {
    /// Weights for the current stage are being loaded; the exposure is still the one of the previous stage.
    Loading,
    Exposing,
    /// Stopped by the test or an operator; nothing is exposed.
    Paused,
    /// Final. The object remains, so that the version cannot be rolled out again.
    Withdrawn,
    /// Final. The candidate is the stable version.
    Completed
};

/// Content of the object `rollouts/<model>/<candidate>`. Each change is written by conditional update from the object
/// version that it was computed from.
struct Rollout {
    std::string model;
    std::string stable;
    std::string candidate;
    RolloutPhase phase = RolloutPhase::Loading;
    std::size_t stage = 0;
    /// Term of the lease whose holder wrote last.
    std::uint64_t term = 0;
    WallTime phaseStarted;
    /// Evidence of the stage, or after an automatic pause that of the ratings which arrive late.
    SequentialTest test;
    bool pausedByOperator = false;
    /// Upper limit of the exposure in the first two stages; see limitShare.
    double shareLimit = 1;

    auto operator<=>(const Rollout &) const = default;
};

/// First state of a roll-out, to be created only if its object does not exist.
Rollout makeRollout(std::string model, std::string stable, std::string candidate, WallTime now);

/// State after a change of holder. Everything but the term stays, so that a roll-out that stopped partway goes on.
Rollout takeOver(Rollout rollout, std::uint64_t term);

/// Limits the exposure of the stages up to 5 % so that few answers wait for their ratings at any time. The argument is
/// the number of unpinned requests during the mean delay of a rating.
Rollout limitShare(Rollout rollout, double requestsPerRatingDelay);

/// Number of replicas that must have the candidate's weights before the current stage starts.
int replicasNeeded(const Rollout &rollout, int replicas);

/// Adds ratings and answers. A bad verdict pauses; while paused by the test, the ratings that still arrive decide
/// between withdrawal and resumption of the stage.
Rollout recordObservation(Rollout rollout, const ReferenceQuality &reference, const CandidateObservation &observation, WallTime now);

/// Moves on with time and loaded weights: starts the stage once enough replicas are loaded, goes to the next stage after a
/// good verdict and the shortest stage duration, and withdraws a paused version that no rating has cleared in time.
Rollout advance(Rollout rollout, int loadedReplicas, int replicas, WallTime now);

/// Operator's orders. `resume` fails with `not_paused`, all fail with `rollout_finished` on a final state.
ErrorOr<Rollout> pause(Rollout rollout, WallTime now);
ErrorOr<Rollout> resume(Rollout rollout, WallTime now);
ErrorOr<Rollout> withdraw(Rollout rollout, WallTime now);

enum class PinState { Unpinned, Pinned };

/// Share of the unpinned requests that may run on the candidate now.
double exposureShare(const Rollout &rollout);

/// Whether a request runs on the candidate. `draw` is uniform in [0, 1).
bool isExposed(const Rollout &rollout, PinState pin, double draw);

std::string toStoredJson(const Rollout &rollout);
/// Fails with `invalid_rollout` for malformed text.
ErrorOr<Rollout> rolloutFromStoredJson(std::string_view text);

} // namespace Godwitfork
