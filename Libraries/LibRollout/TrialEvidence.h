#pragma once

#include "LibRollout/TrialObservations.h"

namespace Godwitfork
{

/// Logarithm of the likelihood ratio of two hypotheses on the candidate's `events` among `answers`: that their rate exceeds the stable versions' rate by
/// `excess` (0 to 1, of the part that has no event), and that it equals it. The stable rate is known from its own counts only.
double excessEvidence(std::int64_t events, std::int64_t answers, std::int64_t stableEvents, std::int64_t stableAnswers, double excess);

/// Whether the candidate is bad by the merged observations of all instances: it fails more often or is slower than the stable versions, in total
/// or on one route, and at least two endpoints (or its only one) are affected.
bool isCandidateBad(const TrialObservations &observations);

/// Whether the candidate fails with all requests, by the observations since `before`, the state when the last step was taken. One endpoint is enough if
/// it had no failure before.
bool isCandidateBadSince(const TrialObservations &observations, const TrialObservations &sinceBefore, const TrialObservations &before);

/// Whether the candidate's answers so far suggest that it fails, on less evidence than `isCandidateBad` requires. A request that failed on
/// a suspected candidate is retried on the stable version.
bool isCandidateSuspect(const TrialObservations &observations);

enum class TrialEvidence {
    /// Too few answers, or no clear difference.
    Undecided,
    /// The candidate is as fast as the stable versions and does not fail more often, on each route with several answers.
    Sound,
    /// The candidate is probably slower or fails more often.
    Suspect,
};

const char *trialEvidenceName(TrialEvidence evidence);

/// Judges the merged observations of all instances on less evidence than `isCandidateBad` requires.
TrialEvidence trialEvidence(const TrialObservations &observations);

} // namespace Godwitfork
