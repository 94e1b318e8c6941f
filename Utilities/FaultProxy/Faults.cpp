#include "Faults.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace
{
constexpr double maxDelayMilliseconds = 600'000;
constexpr double microsecondsInMillisecond = 1000;

Error invalidFaults(const std::string &message)
{
    return {"invalid_faults", message};
}

ErrorOr<Duration> parseMilliseconds(const std::string &key, const nlohmann::json &value)
{
    if (!value.is_number() || value.get<double>() < 0 || value.get<double>() > maxDelayMilliseconds) {
        return invalidFaults("'" + key + "' must be a number of milliseconds from 0 to 600000");
    }
    return Duration(static_cast<Duration::rep>(value.get<double>() * microsecondsInMillisecond));
}

ErrorOr<DroppedDirection> parseDroppedDirection(const nlohmann::json &value)
{
    if (value == "none") {
        return DroppedDirection::None;
    }
    if (value == "to_target") {
        return DroppedDirection::ToTarget;
    }
    if (value == "to_client") {
        return DroppedDirection::ToClient;
    }
    return invalidFaults("'drop' must be 'none', 'to_target' or 'to_client'");
}

const char *directionName(DroppedDirection dropped)
{
    switch (dropped) {
    case DroppedDirection::ToTarget:
        return "to_target";
    case DroppedDirection::ToClient:
        return "to_client";
    case DroppedDirection::None:
        break;
    }
    return "none";
}
} // namespace

ErrorOr<Faults> parseFaults(const nlohmann::json &json)
{
    if (!json.is_object()) {
        return invalidFaults("the body must be a JSON object");
    }
    Faults faults;
    for (const auto &[key, value] : json.items()) {
        if (key == "delay_ms") {
            faults.delay = TRY(parseMilliseconds(key, value));
        } else if (key == "jitter_ms") {
            faults.jitter = TRY(parseMilliseconds(key, value));
        } else if (key == "cut") {
            if (!value.is_boolean()) {
                return invalidFaults("'cut' must be true or false");
            }
            faults.reachability = value.get<bool>() ? Reachability::Cut : Reachability::Connected;
        } else if (key == "drop") {
            faults.dropped = TRY(parseDroppedDirection(value));
        } else if (key == "bytes_per_second") {
            if (!value.is_number_integer() || value.get<std::int64_t>() < 0) {
                return invalidFaults("'bytes_per_second' must be an integer of at least 0");
            }
            faults.bytesPerSecond = value.get<std::int64_t>();
        } else {
            return invalidFaults("unknown key '" + key + "'");
        }
    }
    return faults;
}

nlohmann::ordered_json toJson(const Faults &faults)
{
    nlohmann::ordered_json json;
    json["delay_ms"] = static_cast<double>(faults.delay.count()) / microsecondsInMillisecond;
    json["jitter_ms"] = static_cast<double>(faults.jitter.count()) / microsecondsInMillisecond;
    json["cut"] = faults.reachability == Reachability::Cut;
    json["drop"] = directionName(faults.dropped);
    json["bytes_per_second"] = faults.bytesPerSecond;
    return json;
}

} // namespace Godwitfork
