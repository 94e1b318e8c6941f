#include "LibRollout/TrialObservations.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
/// Answers that are faster than by this ratio say no more of a version: very short ones vary by their network path alone.
constexpr double minRelativeTime = 0.5;
/// Answers of a version from which the mean of their times is used.
constexpr std::int64_t minTimedAnswers = 8;
/// Lower bound of the variance of few answers, whose own variance is uncertain.
constexpr double minVariance = 0.1;
constexpr double logUnits = 1000;
/// Ratio by which endpoints are slower while a pulse loads them.
constexpr double pulseSlowdown = 1.3;
/// Logarithms beyond this bound come from answers whose expected time was wrong.
constexpr double maxLog = 4;

void addCounts(TrialObservations &observations, const AnswerObservation &answer, const AnswerCounts &counts)
{
    if (!answer.isCandidate) {
        observations.stableByRoute[answer.route] += counts;
        return;
    }
    observations.candidateByRoute[answer.route] += counts;
    observations.candidateByEndpoint[answer.endpoint] += counts;
}

double variance(const RelativeTimes &times)
{
    const double average = meanLog(times);
    const double squares = static_cast<double>(times.logSquareSum) / logUnits / static_cast<double>(std::max<std::int64_t>(times.answers, 1));
    return std::max(squares - average * average, minVariance);
}
} // namespace

double meanLog(const RelativeTimes &times)
{
    return static_cast<double>(times.logSum) / logUnits / static_cast<double>(std::max<std::int64_t>(times.answers, 1));
}

RelativeTimes &RelativeTimes::operator+=(const RelativeTimes &other)
{
    this->answers += other.answers;
    this->logSum += other.logSum;
    this->logSquareSum += other.logSquareSum;
    return *this;
}

void recordTime(RelativeTimes &times, double relativeTime)
{
    const double logarithm = std::min(std::log(std::max(relativeTime, minRelativeTime)), maxLog);
    ++times.answers;
    times.logSum += std::llround(logarithm * logUnits);
    times.logSquareSum += std::llround(logarithm * logarithm * logUnits);
}

AnswerCounts &AnswerCounts::operator+=(const AnswerCounts &other)
{
    this->answers += other.answers;
    this->failures += other.failures;
    this->slow += other.slow;
    this->times += other.times;
    return *this;
}

TrialObservations &TrialObservations::operator+=(const TrialObservations &other)
{
    for (const auto &[route, counts] : other.candidateByRoute) {
        this->candidateByRoute[route] += counts;
    }
    for (const auto &[endpoint, counts] : other.candidateByEndpoint) {
        this->candidateByEndpoint[endpoint] += counts;
    }
    for (const auto &[route, counts] : other.stableByRoute) {
        this->stableByRoute[route] += counts;
    }
    return *this;
}

void recordAnswer(TrialObservations &observations, const AnswerObservation &answer)
{
    addCounts(observations, answer, {1, answer.isFailure ? 1 : 0, 0, {}});
}

void recordLateFailure(TrialObservations &observations, const AnswerObservation &answer)
{
    addCounts(observations, answer, {0, 1, 0, {}});
}

void recordAnswerTime(TrialObservations &observations, const AnswerObservation &answer, double relativeTime)
{
    AnswerCounts counts;
    counts.slow = relativeTime > slowFactor ? 1 : 0;
    recordTime(counts.times, answer.isCandidate && answer.isWithoutSession ? relativeTime / pulseSlowdown : relativeTime);
    addCounts(observations, answer, counts);
}

TrialTotals totals(const TrialObservations &observations)
{
    TrialTotals totals;
    for (const auto &[route, counts] : observations.candidateByRoute) {
        totals.candidate += counts;
    }
    for (const auto &[route, counts] : observations.stableByRoute) {
        totals.stable += counts;
    }
    return totals;
}

// The two-sample test of Welch, on logarithms, since answer times are spread over orders of magnitude.
std::optional<Slowdown> slowdown(const RelativeTimes &candidate, const RelativeTimes &stable)
{
    if (candidate.answers < minTimedAnswers || stable.answers < minTimedAnswers) {
        return std::nullopt;
    }
    const double error = std::sqrt(variance(candidate) / static_cast<double>(candidate.answers) + variance(stable) / static_cast<double>(stable.answers));
    return Slowdown {meanLog(candidate) - meanLog(stable), error};
}

} // namespace Godwitfork
