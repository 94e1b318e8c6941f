#include "Schedule.h"

#include "LibCore/Digest.h"
#include "LibCore/Random.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace Godwitfork
{

namespace
{
constexpr double microsecondsInSecond = 1e6;

/// Position within a ramp, from 0 before it to 1 after it.
double rampPosition(Duration time, Duration start, Duration length)
{
    if (time < start) {
        return 0;
    }
    if (time >= start + length) {
        return 1;
    }
    return static_cast<double>((time - start).count()) / static_cast<double>(length.count());
}

int countWords(const std::string &text)
{
    std::istringstream stream(text);
    int words = 0;
    for (std::string word; stream >> word;) {
        ++words;
    }
    return words;
}

PlannedRequest planRequest(const Experiment &experiment, Duration at, std::size_t number, RandomSource &random)
{
    std::uniform_real_distribution<double> share(0, 1);
    std::vector<double> weights;
    for (const LoadAccount &account : experiment.accounts) {
        weights.push_back(account.share);
    }
    PlannedRequest planned;
    planned.at = at;
    planned.account = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random);
    planned.form = share(random) < experiment.streamingShare ? ResponseForm::Streamed : ResponseForm::Whole;
    if (share(random) < experiment.sessionShare) {
        planned.session = "session-" + std::to_string(std::uniform_int_distribution<int>(1, experiment.sessionCount)(random));
    }
    planned.isLong = share(random) < experiment.longShare;
    planned.tokens = std::uniform_int_distribution<int>(experiment.minTokens, experiment.maxTokens)(random);
    if (planned.isLong) {
        planned.tokens = static_cast<int>(planned.tokens * experiment.longFactor);
    }
    // The number makes prompts distinct, and the padding varies their length, by which a foreign answer is noticed.
    planned.prompt = experiment.prompts[std::uniform_int_distribution<std::size_t>(0, experiment.prompts.size() - 1)(random)];
    planned.prompt += " #" + std::to_string(number);
    const int padding = std::uniform_int_distribution<int>(0, 15)(random);
    for (int i = 0; i < padding; ++i) {
        planned.prompt += " more";
    }
    planned.promptWords = countWords(planned.prompt);
    return planned;
}
} // namespace

double rateAt(const Experiment &experiment, Duration time)
{
    double factor = 1;
    for (const Swing &swing : experiment.swings) {
        const double inside = rampPosition(time, swing.at, swing.ramp) - rampPosition(time, swing.until, swing.ramp);
        factor *= 1 + (swing.factor - 1) * inside;
    }
    return experiment.requestsPerSecond * factor;
}

// Thinning (Lewis and Shedler, 1979): arrivals at the highest rate, each kept with the probability rate / highest rate.
std::vector<PlannedRequest> planRequests(const Experiment &experiment, int repetition)
{
    double highest = experiment.requestsPerSecond;
    for (const Swing &swing : experiment.swings) {
        highest *= std::max(1.0, swing.factor);
    }
    RandomSource random(hash64("repetition " + std::to_string(repetition), experiment.seed));
    std::exponential_distribution<double> gap(highest);
    std::uniform_real_distribution<double> share(0, 1);
    std::vector<PlannedRequest> requests;
    double seconds = gap(random);
    while (seconds * microsecondsInSecond < static_cast<double>(experiment.duration.count())) {
        const Duration at(static_cast<Duration::rep>(seconds * microsecondsInSecond));
        if (share(random) * highest < rateAt(experiment, at)) {
            requests.push_back(planRequest(experiment, at, requests.size(), random));
        }
        seconds += gap(random);
    }
    return requests;
}

} // namespace Godwitfork
