#include "LibGateway/EngineSpeeds.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Prompt speed before the first observation: a large model on one accelerator reads about 25 tokens per millisecond.
constexpr double assumedMicrosecondsPerToken = 40;
/// Time until the first output for a completely cached prompt.
constexpr Duration baseTime = std::chrono::milliseconds(25);
/// Shorter prompts are ignored, since their time depends more on the base time than on the speed.
constexpr std::int64_t minSampleTokens = 512;
/// Window of the moving average, in observations: each new one gets a weight of at least 1/maxSamples.
constexpr int maxSamples = 10;
/// Factor on the weight of a time above the average that may include the wait for other prompts.
constexpr double queuedWeight = 0.05;
/// Generation speed before the first observation of a stream.
constexpr double assumedMicrosecondsPerOutput = 8000;
/// Outputs with fewer tokens are ignored.
constexpr std::int64_t minSampleOutputs = 8;
} // namespace

Duration EngineSpeeds::promptTime(const std::string &service, const std::string &model, std::int64_t tokens) const
{
    const auto known = this->prompts.find({service, model});
    const double perToken = known == this->prompts.end() ? assumedMicrosecondsPerToken : known->second.microsecondsPerToken;
    return baseTime + Duration(static_cast<std::int64_t>(perToken * static_cast<double>(tokens)));
}

void EngineSpeeds::recordPrompt(const std::string &service, const std::string &model, std::int64_t tokens, Duration elapsed, PromptQueue queue)
{
    if (tokens < minSampleTokens || elapsed <= baseTime) {
        return;
    }
    Speed &speed = this->prompts[{service, model}];
    const bool isFirst = speed.samples == 0;
    speed.samples = std::min(speed.samples + 1, maxSamples);
    const double observed = static_cast<double>((elapsed - baseTime).count()) / static_cast<double>(tokens);
    if (isFirst) {
        speed.microsecondsPerToken = observed;
        return;
    }
    const double weight = queue == PromptQueue::Possible && observed > speed.microsecondsPerToken ? queuedWeight : 1;
    speed.microsecondsPerToken += weight * (observed - speed.microsecondsPerToken) / speed.samples;
}

Duration EngineSpeeds::outputTime(const std::string &service, const std::string &model, std::int64_t tokens) const
{
    const auto known = this->outputs.find({service, model});
    const double perToken = known == this->outputs.end() ? assumedMicrosecondsPerOutput : known->second.microsecondsPerToken;
    return Duration(static_cast<std::int64_t>(perToken * static_cast<double>(tokens)));
}

void EngineSpeeds::recordOutput(const std::string &service, const std::string &model, std::int64_t tokens, Duration elapsed)
{
    if (tokens < minSampleOutputs) {
        return;
    }
    Speed &speed = this->outputs[{service, model}];
    speed.samples = std::min(speed.samples + 1, maxSamples);
    speed.microsecondsPerToken += (static_cast<double>(elapsed.count()) / static_cast<double>(tokens) - speed.microsecondsPerToken) / speed.samples;
}

} // namespace Godwitfork
