#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Godwitfork
{

/// Whether other prompts may have been queued at the engine before the observed one.
enum class PromptQueue { Empty, Possible };

/// Speed at which the engines of a service read prompts and generate tokens: a moving average for each model over observed answers.
class EngineSpeeds
{
public:
    /// Expected time until the first output for a prompt of `tokens` uncached tokens on an idle engine.
    Duration promptTime(const std::string &service, const std::string &model, std::int64_t tokens) const;
    /// Records the time until a first output. If other prompts may have been queued before it, a time above the average gets a low
    /// weight, since it may include the wait for them.
    void recordPrompt(const std::string &service, const std::string &model, std::int64_t tokens, Duration elapsed, PromptQueue queue);

    /// Expected time to generate `tokens` tokens at the load of the last observations.
    Duration outputTime(const std::string &service, const std::string &model, std::int64_t tokens) const;
    void recordOutput(const std::string &service, const std::string &model, std::int64_t tokens, Duration elapsed);

private:
    /// Moving average of a speed.
    struct Speed {
        double microsecondsPerToken = 0;
        int samples = 0;
    };

    std::map<std::pair<std::string, std::string>, Speed> prompts;
    std::map<std::pair<std::string, std::string>, Speed> outputs;
};

} // namespace Godwitfork
