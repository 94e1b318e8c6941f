#pragma once

#include "LibCore/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace Godwitfork
{

enum class PromptQueue { Empty, Possible };

/// How fast the engines of a service read prompts and generate tokens, for each model, learned from answers.
class EngineSpeeds
{
public:
    /// Expected time until the first output of a prompt on an idle engine.
    Duration promptTime(const std::string &service, const std::string &model, std::int64_t tokens) const;
    /// Adds the time to a first output. Where other prompts may have waited before it, short times tell more than long ones.
    void recordPrompt(const std::string &service, const std::string &model, std::int64_t tokens, Duration elapsed, PromptQueue queue);

    /// Expected time of generated tokens, at the load of late.
    Duration outputTime(const std::string &service, const std::string &model, std::int64_t tokens) const;
    void recordOutput(const std::string &service, const std::string &model, std::int64_t tokens, Duration elapsed);

private:
    struct Speed {
        double microsecondsPerToken = 0;
        int samples = 0;
    };

    std::map<std::pair<std::string, std::string>, Speed> prompts;
    std::map<std::pair<std::string, std::string>, Speed> outputs;
};

} // namespace Godwitfork
