#pragma once

#include "LibGateway/EndpointChooser.h"
#include "LibGateway/PeerReportAggregator.h"
#include "LibOverload/OverloadControl.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// A kind of request with its stated objective, time limit and value.
struct PlayedKind {
    std::string name;
    int priority = 0;
    Duration objective = Duration::zero();
    Duration limit = Duration::zero();
    /// Prompt tokens that the engine has to read.
    std::int64_t tokens = 0;
    std::int64_t outputTokens = 0;
    double value = 1;
    double lateValue = 0.3;
};

/// What callers do when they are refused or kept waiting.
enum class CallerHabit { WaitAsTold, RepeatAtOnce, GiveUp };

/// Load on a pool of engines behind instances that exchange reports.
struct PlayScenario {
    std::string name;
    std::vector<PlayedKind> kinds;
    int engines = 12;
    int slowEngines = 0;
    /// Number of engines, drawn for each request, among which the best one is chosen. With all of them the instances send to the same few engines until the
    /// next summary, and the waits that this causes hide what admission does.
    int sampledEngines = 2;
    int instances = 12;
    /// Work that arrives on average, as a share of the engines' capacity.
    double utilisation = 0.85;
    double waveAmplitude = 0;
    Duration wavePeriod = std::chrono::seconds(11);
    /// Kind whose rate is multiplied from 8 s on.
    int burstKind = -1;
    double burstFactor = 1;
    Duration burstLength = Duration::zero();
    /// Factor on the rate of the first of four accounts from 8 s on.
    double hotFactor = 1;
    /// Engines that are lost between 8 and 14 s.
    int lostEngines = 0;
    CallerHabit habit = CallerHabit::WaitAsTold;
    bool hasAdmission = true;
};

struct PlayCounts {
    int all = 0;
    int onTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;
    double value = 0;
};

struct PlayOutcome {
    PlayCounts total;
    std::map<std::string, PlayCounts> byKind;
    /// Counts by account, by session and by size class within a kind.
    std::map<std::string, PlayCounts> byGroup;
    int refusals = 0;
    /// Refusals while less than half of the places were taken and nothing was queued.
    int idleRefusals = 0;
    /// Largest memory in use at an engine, in tokens.
    std::int64_t mostTokens = 0;
    int requestsLostInCrashes = 0;
    /// Jain's index over the accounts' work that was served on time, each in relation to its usual load.
    double jain = 0;
};

/// Prompt reading speed of an engine, and time of one output token.
constexpr double engineTokensPerMillisecond = 25;
constexpr Duration outputTokenTime = std::chrono::milliseconds(5);
constexpr int enginePlaces = 64;
constexpr std::int64_t engineMemory = 430'000;

/// The kinds of the deployment with plans, drafts and notes, and those of the deployment with diagnoses, summaries and part lookups.
std::vector<PlayedKind> planKinds();
std::vector<PlayedKind> diagnosisKinds();

PlayOutcome play(const PlayScenario &scenario, std::uint64_t seed);

} // namespace Godwitfork
