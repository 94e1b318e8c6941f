#pragma once

#include "LibGateway/PeerReportAggregator.h"
#include "LibGateway/VersionPolicy.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Godwitfork
{

/// What is wrong with the new version of a service.
enum class VersionFault {
    None,
    Errors,
    /// Errors that begin some seconds after the order.
    LateErrors,
    Slow,
    ErrorsOnOneRoute,
    /// Errors of endpoints of which half of the slots are in use.
    ErrorsUnderLoad,
};

/// A fleet of entry instances in front of one service.
struct TrialScenario {
    std::string name;
    int instances = 9;
    int endpointsPerVersion = 3;
    int slots = 6;
    double requestsPerSecond = 16;
    Duration serviceTime = std::chrono::milliseconds(60);
    /// Increase of the service time by each other request in progress at the endpoint.
    double slowdownPerRequest = 0.05;
    Duration timeLimit = std::chrono::seconds(15);
    double exposureShare = 0.15;
    int exposureTolerance = 30;
    bool hasSessions = false;
    Duration reportInterval = std::chrono::milliseconds(400);
    /// Share of the answers of the second of the two routes that fail on any version.
    double ownFailureShare = 0.14;
};

struct TrialOutcome {
    int requests = 0;
    int onCandidate = 0;
    /// Requests on the candidate that were sent more than the roll-back limit after its fiftieth bad answer.
    int tooLate = 0;
    bool isCompleted = false;
    bool isReverted = false;

    /// Requests that a bad version may get.
    double allowed(const TrialScenario &scenario) const;
};

/// Plays a roll-out: instances that exchange reports through a hub, endpoints with slots, and callers.
TrialOutcome playTrial(const TrialScenario &scenario, VersionFault fault, std::uint64_t seed);

} // namespace Godwitfork
