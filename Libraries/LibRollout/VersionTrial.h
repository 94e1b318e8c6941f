#pragma once

#include "LibCore/Time.h"
#include "LibRollout/TrialEvidence.h"

#include <compare>
#include <cstdint>

namespace Godwitfork
{

struct TrialLimits {
    /// Time within which the trial completes or is reverted.
    Duration timeLimit = Duration::zero();
    /// Largest share of the service's requests that a bad candidate may receive within the time limit, 0 to 1.
    double exposureShare = 0.1;
    /// Requests that a bad candidate may receive in addition to that share.
    double exposureTolerance = 0;
};

/// What a trial knows of the service's traffic, over all instances.
struct TrialTraffic {
    /// Answers since the order, of all versions.
    std::int64_t answers = 0;
    std::int64_t candidateAnswers = 0;
    /// Requests in progress, a mean over the last seconds.
    double running = 0;
    /// Slots of one endpoint.
    int slots = 1;
    /// Number of stable endpoints.
    int stableEndpoints = 0;

    auto operator<=>(const TrialTraffic &) const = default;
};

/// Progress of a trial in one instance. A pulse is a short time in which all requests without a session run on the candidate.
struct TrialProgress {
    /// Whether an instance took the last step, after which the stable versions have no requests to compare the candidate with.
    bool isAccepted = false;
    /// Whether the evidence was sound at the last look.
    bool isSound = false;
    /// Number of pulses that have begun.
    int pulses = 0;
    /// Age of the trial at which the newest pulse ends.
    Duration pulseEnd = Duration::zero();

    auto operator<=>(const TrialProgress &) const = default;
};

/// Number of requests that a bad candidate may receive within the time limit, from the traffic so far.
double allowedExposure(const TrialLimits &limits, const TrialTraffic &traffic, Duration age);

/// Begins the pulses that are due. Each lasts until the candidate has had its part of the requests that it may receive, at the present rate.
TrialProgress advancePulses(TrialProgress progress, const TrialLimits &limits, const TrialTraffic &traffic, Duration age);

enum class SessionUse { WithoutSession, WithSession };

/// Where the requests that a trial gives to the candidate run.
struct CandidatePlan {
    /// Share of the requests or sessions that run on the candidate, 0 to 1.
    double share = 0;
    /// Position of the first endpoint to use, in an order that is the same on all instances, and the number of endpoints; 0 means all.
    int firstEndpoint = 0;
    int endpointCount = 0;

    auto operator<=>(const CandidatePlan &) const = default;
};

/// Plan for requests at the trial's age. The share of the sessions is constant for the first half of the time limit, so that no session changes its
/// version, and grows then if the candidate is not known to be sound. Few endpoints get the requests, so that each has the load of a stable one or, in
/// a pulse, that of the whole service.
CandidatePlan candidatePlan(const TrialLimits &limits, const TrialProgress &progress, const TrialTraffic &traffic, Duration age, SessionUse use);

enum class TrialDecision {
    /// The trial goes on at the present share.
    Continue,
    /// All requests may run on the candidate.
    Accept,
    /// The candidate is taken back.
    Reject,
};

/// Whether the endpoint of the candidate with most requests in progress has the load of the load step.
bool isLoaded(const TrialTraffic &traffic, int mostRunning);

enum class LoadStep {
    /// The service has no sessions: its pulses have loaded the candidate.
    NotNeeded,
    /// The candidate was not loaded yet, or not for long enough to show failures.
    Pending,
    Done,
};

/// Decides on the last step. It is taken late, since a fault that shows only with all requests is found after it: a candidate that is suspect by then
/// is taken back.
TrialDecision decideTrial(const TrialLimits &limits, Duration age, TrialEvidence evidence);

/// Whether the instances may not have learned yet which sessions were open when the trial was ordered. Until then no session starts on the
/// candidate, since it may be open on the stable version at another instance.
bool isExchangingSessions(Duration age);

/// Whether sessions may move from the stable versions to the candidate at the trial's age.
bool maySessionsMove(const TrialLimits &limits, Duration age);

/// Whether the trial may be completed: all new requests run on the candidate, and either the stable endpoints have no requests left or the
/// time limit is near.
bool mayComplete(const TrialLimits &limits, Duration age, int stableRequestsRunning);

} // namespace Godwitfork
