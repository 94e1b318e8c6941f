#include "LibRollout/VersionTrial.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
constexpr TrialLimits limits {20s, 0.15, 0};

/// Observations of `count` answers of each version, alternately at two endpoints; the candidate's take `candidateTime` times as long as expected.
TrialObservations observationsOf(int count, double candidateTime, const std::string &secondEndpoint = "e2")
{
    TrialObservations observations;
    for (int i = 0; i < count; ++i) {
        const double spread = i % 3 == 0 ? 1.5 : 0.8;
        AnswerObservation answer;
        answer.route = "r";
        answer.endpoint = i % 2 == 0 ? "e1" : secondEndpoint;
        recordAnswer(observations, answer);
        recordAnswerTime(observations, answer, spread);
        answer.isCandidate = true;
        recordAnswer(observations, answer);
        recordAnswerTime(observations, answer, spread * candidateTime);
    }
    return observations;
}
} // namespace

TEST_CASE("A candidate whose answers take several times as long as the stable ones is bad", "[trial]")
{
    // Guards against EXPOSURE (day hasty).
    CHECK(isCandidateBad(observationsOf(12, 4)));
    CHECK_FALSE(isCandidateBad(observationsOf(12, 1.1)));
    CHECK_FALSE(isCandidateBad(observationsOf(12, 0.5)));
}

TEST_CASE("Few answers are no evidence of a slow candidate", "[trial]")
{
    CHECK_FALSE(isCandidateBad(observationsOf(4, 8)));
    CHECK(trialEvidence(observationsOf(4, 8)) == TrialEvidence::Undecided);
}

TEST_CASE("One slow endpoint does not make its version suspect", "[trial]")
{
    TrialObservations observations = observationsOf(20, 1);
    for (int i = 0; i < 10; ++i) {
        AnswerObservation answer;
        answer.route = "r";
        answer.endpoint = "slow";
        answer.isCandidate = true;
        recordAnswerTime(observations, answer, 20);
    }
    CHECK_FALSE(isCandidateBad(observations));
    CHECK(trialEvidence(observations) != TrialEvidence::Suspect);
}

TEST_CASE("The last step is taken late and a suspect candidate is taken back before the time limit", "[trial]")
{
    // Guards against EXPOSURE (days hasty and under-load): a bad version had all requests long before the end of its time.
    const TrialEvidence sound = trialEvidence(observationsOf(30, 1));
    const TrialEvidence suspect = trialEvidence(observationsOf(30, 1.5));
    CHECK(sound == TrialEvidence::Sound);
    CHECK(suspect == TrialEvidence::Suspect);
    CHECK(decideTrial(limits, 11s, sound) == TrialDecision::Continue);
    CHECK(decideTrial(limits, 18s, sound) == TrialDecision::Continue);
    CHECK(decideTrial(limits, 18s, suspect) == TrialDecision::Continue);
    CHECK(decideTrial(limits, 19s, sound) == TrialDecision::Accept);
    CHECK(decideTrial(limits, 19s, TrialEvidence::Undecided) == TrialDecision::Accept);
    CHECK(decideTrial(limits, 19s, suspect) == TrialDecision::Reject);
}

TEST_CASE("The share of the sessions is constant for half of the time and grows only without evidence", "[trial]")
{
    // Guards against EXPOSURE on large fleets (kwh-godwit-grown, day hasty-any, seed 725399679459: 470 of 4,456 requests, 464 allowed), and against
    // sessions that change their version in the first half.
    const TrialTraffic traffic {1000, 90, 40, 64, 60};
    TrialProgress progress;
    const auto share = [&](Duration age) { return candidatePlan(limits, progress, traffic, age, SessionUse::WithSession).share; };
    const double first = share(3s);
    CHECK(first < limits.exposureShare);
    CHECK(share(10s) == first);
    CHECK(share(11s) > first);
    CHECK(share(11s) < 2 * limits.exposureShare);
    progress.isSound = true;
    CHECK(share(18s) == first);
    progress.isAccepted = true;
    CHECK(share(18s) == 1);
}

TEST_CASE("The endpoints that a trial uses have the load of the stable ones", "[trial]")
{
    // Guards against EXPOSURE on the largest deployment: a slow version on 156 idle endpoints was as fast as the stable one on crowded ones.
    const TrialTraffic traffic {1000, 50, 700, 64, 156};
    const CandidatePlan plan = candidatePlan(limits, {}, traffic, 5s, SessionUse::WithSession);
    const double perStable = traffic.running / traffic.stableEndpoints;
    const double perCandidate = plan.share * traffic.running / plan.endpointCount;
    CHECK(perCandidate > 0.8 * perStable);
    CHECK(perCandidate < 1.25 * perStable);
}

TEST_CASE("Requests without a session run on the candidate in pulses that fit its exposure", "[trial]")
{
    // Guards against EXPOSURE (day under-load): a small constant share never loaded an endpoint of the candidate.
    const TrialLimits tolerant {15s, 0.15, 30};
    TrialProgress progress;
    double used = 0;
    int begun = 0;
    constexpr double perSecond = 16;
    constexpr Duration tick = 100ms;
    for (Duration age = Duration::zero(); age < tolerant.timeLimit * 9 / 10; age += tick) {
        const double seconds = std::chrono::duration<double>(age).count();
        const TrialTraffic traffic {static_cast<std::int64_t>(perSecond * seconds), static_cast<std::int64_t>(used), 1, 6, 3};
        const int before = progress.pulses;
        progress = advancePulses(progress, tolerant, traffic, age);
        begun += progress.pulses > before ? 1 : 0;
        const CandidatePlan plan = candidatePlan(tolerant, progress, traffic, age, SessionUse::WithoutSession);
        CHECK((plan.share == 0 || plan.share == 1));
        used += plan.share * perSecond * std::chrono::duration<double>(tick).count();
    }
    CHECK(begun >= 4);
    const double allowed = 0.15 * perSecond * 15 + 30;
    CHECK(used > 0.3 * allowed);
    CHECK(used < 0.7 * allowed);
}

TEST_CASE("Failures are compared with those of the stable version on the same route", "[trial]")
{
    // Guards against EXPOSURE (day one-class): a route that hardly fails was compared with all routes, one of which fails often.
    const auto add = [](TrialObservations &observations, const std::string &route, bool isCandidate, int answers, int failures) {
        for (int i = 0; i < answers; ++i) {
            recordAnswer(observations, {route, i % 2 == 0 ? "e1" : "e2", isCandidate, i < failures, false});
        }
    };
    TrialObservations oneRoute;
    add(oneRoute, "release", false, 54, 1);
    add(oneRoute, "lookup", false, 60, 20);
    add(oneRoute, "release", true, 8, 4);
    add(oneRoute, "lookup", true, 8, 2);
    CHECK(isCandidateBad(oneRoute));
    TrialObservations sound;
    add(sound, "release", false, 54, 1);
    add(sound, "lookup", false, 60, 20);
    add(sound, "release", true, 16, 0);
    add(sound, "lookup", true, 16, 7);
    CHECK_FALSE(isCandidateBad(sound));
    CHECK(trialEvidence(sound) != TrialEvidence::Suspect);
}

TEST_CASE("Failures that begin with the last step find a candidate bad despite its earlier answers", "[trial]")
{
    // Guards against EXPOSURE (day under-load): earlier successes outweighed the failures under load.
    TrialObservations before;
    TrialObservations since;
    for (int i = 0; i < 200; ++i) {
        recordAnswer(before, {"r", "e1", false, i % 100 == 0, false});
        recordAnswer(before, {"r", "e2", true, false, false});
    }
    for (int i = 0; i < 12; ++i) {
        recordAnswer(since, {"r", "e2", true, i < 4, false});
    }
    TrialObservations all = before;
    all += since;
    CHECK_FALSE(isCandidateBad(all));
    CHECK(isCandidateBadSince(all, since, before));
}

TEST_CASE("Many answers make a smaller slowdown certain", "[trial]")
{
    // Guards against EXPOSURE on large fleets: the version took 1.6 times as long, by more than seven standard errors, and went on until the decision.
    CHECK(isCandidateBad(observationsOf(300, 1.5)));
    CHECK_FALSE(isCandidateBad(observationsOf(8, 1.5)));
}

TEST_CASE("Sums of relative times are the same in any order of addition", "[trial]")
{
    TrialObservations left = observationsOf(9, 2);
    TrialObservations right = observationsOf(5, 3, "e3");
    TrialObservations both = left;
    both += right;
    right += left;
    CHECK(both == right);
    CHECK(totals(both).candidate.times.answers == 14);
}

TEST_CASE("A sound candidate is not suspect because pulses load its endpoints", "[trial]")
{
    // Guards against good versions that were taken back: 86 answers took 1.28 times as long as those of endpoints with less load.
    TrialObservations observations;
    for (int i = 0; i < 400; ++i) {
        const double spread = i % 3 == 0 ? 1.5 : 0.8;
        const std::string endpoint = i % 2 == 0 ? "e1" : "e2";
        recordAnswer(observations, {"r", endpoint, false, false, true});
        recordAnswerTime(observations, {"r", endpoint, false, false, true}, spread);
        if (i % 4 < 2) {
            recordAnswer(observations, {"r", endpoint, true, false, true});
            recordAnswerTime(observations, {"r", endpoint, true, false, true}, spread * 1.28);
        }
    }
    CHECK_FALSE(isCandidateBad(observations));
    CHECK(trialEvidence(observations) != TrialEvidence::Suspect);
}
