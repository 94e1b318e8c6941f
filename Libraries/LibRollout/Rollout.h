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

/// Share of the unpinned requests that run on the candidate in each stage, 0 to 1.
constexpr std::array<double, 5> exposureStages = {0.01, 0.05, 0.2, 0.5, 1.0};

enum class RolloutPhase {
    /// Replicas load the weights for the current stage; the exposure is still that of the previous stage.
    Loading,
    Exposing,
    /// Paused by the test or an operator; no request runs on the candidate.
    Paused,
    /// Final: the candidate is rejected. The object remains, so that the version cannot be rolled out again.
    Withdrawn,
    /// Final: the candidate is the stable version.
    Completed
};

/// Content of the object `rollouts/<model>/<candidate>`. Each change is written by an update that is conditional on the object version
/// it was computed from.
struct Rollout {
    std::string model;
    std::string stable;
    std::string candidate;
    RolloutPhase phase = RolloutPhase::Loading;
    std::size_t stage = 0;
    /// Term of the lease under which the object was last taken over.
    std::uint64_t term = 0;
    WallTime phaseStarted;
    /// Evidence of the current phase; after an automatic pause it is that of the ratings that still arrive.
    SequentialTest test;
    bool pausedByOperator = false;
    /// Upper limit of the exposure in the first two stages, 0 to 1; see `limitShare`.
    double shareLimit = 1;

    auto operator<=>(const Rollout &) const = default;
};

/// Returns the initial state of a roll-out. It is written only if the object does not exist.
Rollout makeRollout(std::string model, std::string stable, std::string candidate, WallTime now);

/// Returns the state after a change of the lease holder. Only the term changes, so that an interrupted roll-out continues.
Rollout takeOver(Rollout rollout, std::uint64_t term);

/// Limits the exposure of the first two stages so that at most 4 candidate answers wait for their ratings on average.
/// `requestsPerRatingDelay` is the number of unpinned requests during the mean delay of a rating.
Rollout limitShare(Rollout rollout, double requestsPerRatingDelay);

/// Number of replicas that must have loaded the candidate's weights before the current stage starts.
int replicasNeeded(const Rollout &rollout, int replicas);

/// Adds ratings and answers of the candidate. An alarm pauses the roll-out; while the test has paused it, the ratings that still arrive
/// decide whether it is withdrawn or resumes its stage.
Rollout recordObservation(Rollout rollout, const ReferenceQuality &reference, const CandidateObservation &observation, WallTime now);

/// Makes the transitions that depend on time and loaded weights. Starts the stage once enough replicas have the weights, enters the next
/// stage after a good verdict and at least 120 s, and withdraws a version that the test has paused for 600 s.
Rollout advance(Rollout rollout, int loadedReplicas, int replicas, WallTime now);

/// Commands of an operator. All fail with `rollout_finished` in a final phase, and `resume` fails with `not_paused` in any other phase
/// than `Paused`.
ErrorOr<Rollout> pause(Rollout rollout, WallTime now);
ErrorOr<Rollout> resume(Rollout rollout, WallTime now);
ErrorOr<Rollout> withdraw(Rollout rollout, WallTime now);

enum class PinState { Unpinned, Pinned };

/// Share of the unpinned requests that run on the candidate in the current phase, 0 to 1.
double exposureShare(const Rollout &rollout);

/// Whether a request runs on the candidate. `draw` is uniform in [0, 1).
bool isExposed(const Rollout &rollout, PinState pin, double draw);

std::string toStoredJson(const Rollout &rollout);
/// Parses the text of the stored object. Fails with `invalid_rollout` if it is malformed.
ErrorOr<Rollout> rolloutFromStoredJson(std::string_view text);

} // namespace Godwitfork
