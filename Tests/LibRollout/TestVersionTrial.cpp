#include "LibRollout/VersionTrial.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
constexpr TrialLimits limits {20s, 0.15};

/// Observations of `count` answers of each version, alternately at two endpoints; the candidate's take `candidateTime` times as long as expected.
TrialObservations observationsOf(int count, double candidateTime, const std::string &secondEndpoint = "e2")
{
    TrialObservations observations;
    for (int i = 0; i < count; ++i) {
        const double spread = i % 3 == 0 ? 1.5 : 0.8;
        AnswerObservation answer;
        answer.route = "r";
        answer.endpoint = i % 2 == 0 ? "e1" : secondEndpoint;
        recordAnswerTime(observations, answer, spread);
        answer.isCandidate = true;
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

TEST_CASE("The last step needs a sound candidate, and a suspect one is taken back before the time limit", "[trial]")
{
    // Guards against EXPOSURE (day hasty): a roll-out was completed because its time was nearly over.
    const TrialEvidence sound = trialEvidence(observationsOf(30, 0.6));
    const TrialEvidence suspect = trialEvidence(observationsOf(30, 1.4));
    CHECK(sound == TrialEvidence::Sound);
    CHECK(suspect == TrialEvidence::Suspect);
    CHECK(decideTrial(limits, 11s, sound) == TrialDecision::Continue);
    CHECK(decideTrial(limits, 13s, sound) == TrialDecision::Accept);
    CHECK(decideTrial(limits, 13s, TrialEvidence::Undecided) == TrialDecision::Continue);
    CHECK(decideTrial(limits, 13s, suspect) == TrialDecision::Continue);
    CHECK(decideTrial(limits, 15s, TrialEvidence::Undecided) == TrialDecision::Accept);
    CHECK(decideTrial(limits, 15s, suspect) == TrialDecision::Reject);
    CHECK(candidateShare(limits, 13s, TrialProgress()) < 1);
    CHECK(candidateShare(limits, 13s, {true, false}) == 1);
}

TEST_CASE("The share of a candidate does not grow while it has had its share of the answers", "[trial]")
{
    // Guards against EXPOSURE on large fleets (kwh-godwit-grown, day hasty-any, seed 725399679459: 470 of 4,456 requests, 464 allowed).
    TrialObservations observations;
    for (int i = 0; i < 1000; ++i) {
        AnswerObservation answer;
        answer.route = "r";
        answer.endpoint = "e1";
        answer.isCandidate = i % 10 == 0;
        recordAnswer(observations, answer);
    }
    CHECK_FALSE(isExposureUsed(limits, observations));
    CHECK(isExposureUsed({20s, 0.12}, observations));
    CHECK(candidateShare(limits, 11s, {false, true}) == candidateShare(limits, 9s, {false, true}));
    CHECK(candidateShare(limits, 11s, {false, false}) > candidateShare(limits, 9s, {false, false}));
    CHECK(candidateShare(limits, 13s, {true, true}) == 1);
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
