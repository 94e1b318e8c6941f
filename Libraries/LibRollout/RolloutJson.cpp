#include "LibRollout/Rollout.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

NLOHMANN_JSON_SERIALIZE_ENUM(RolloutPhase,
                             {{RolloutPhase::Withdrawn, "withdrawn"},
                              {RolloutPhase::Loading, "loading"},
                              {RolloutPhase::Exposing, "exposing"},
                              {RolloutPhase::Paused, "paused"},
                              {RolloutPhase::Completed, "completed"}})

std::string toStoredJson(const Rollout &rollout)
{
    const nlohmann::json object = {{"model", rollout.model},
                                   {"stable", rollout.stable},
                                   {"candidate", rollout.candidate},
                                   {"phase", rollout.phase},
                                   {"stage", rollout.stage},
                                   {"term", rollout.term},
                                   {"phase_started_us", rollout.phaseStarted.time_since_epoch().count()},
                                   {"rating_evidence", rollout.test.ratingEvidence},
                                   {"error_evidence", rollout.test.errorEvidence},
                                   {"rating_alarm", rollout.test.ratingAlarm},
                                   {"error_alarm", rollout.test.errorAlarm},
                                   {"share_limit", rollout.shareLimit},
                                   {"paused_by_operator", rollout.pausedByOperator}};
    return object.dump();
}

ErrorOr<Rollout> rolloutFromStoredJson(std::string_view text)
{
    try {
        const nlohmann::json object = nlohmann::json::parse(text);
        Rollout rollout;
        object.at("model").get_to(rollout.model);
        object.at("stable").get_to(rollout.stable);
        object.at("candidate").get_to(rollout.candidate);
        // An unknown phase is read as the first entry of the list, `Withdrawn`, in which no request runs on the candidate.
        object.at("phase").get_to(rollout.phase);
        object.at("stage").get_to(rollout.stage);
        object.at("term").get_to(rollout.term);
        rollout.phaseStarted = WallTime(Duration(object.at("phase_started_us").get<std::int64_t>()));
        object.at("rating_evidence").get_to(rollout.test.ratingEvidence);
        object.at("error_evidence").get_to(rollout.test.errorEvidence);
        object.at("rating_alarm").get_to(rollout.test.ratingAlarm);
        object.at("error_alarm").get_to(rollout.test.errorAlarm);
        object.at("share_limit").get_to(rollout.shareLimit);
        object.at("paused_by_operator").get_to(rollout.pausedByOperator);
        if (rollout.stage >= exposureStages.size()) {
            return Error {"invalid_rollout", "the stored roll-out has stage " + std::to_string(rollout.stage) + ", which does not exist"};
        }
        return rollout;
    } catch (const nlohmann::json::exception &error) {
        return Error {"invalid_rollout", error.what()};
    }
}

} // namespace Godwitfork
