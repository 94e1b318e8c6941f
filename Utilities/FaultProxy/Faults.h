#pragma once

#include "LibCore/Error.h"
#include "LibCore/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace Godwitfork
{

enum class Direction { ToTarget, ToClient };

enum class DroppedDirection { None, ToTarget, ToClient };

enum class Reachability { Connected, Cut };

/// Faults of one route that last until they are changed. Freezing is not among them, because it concerns only the
/// connections that are open at that moment.
struct Faults {
    /// Added to each piece of data, in each direction.
    Duration delay = {};
    /// Upper bound of a uniform random addition to the delay.
    Duration jitter = {};
    Reachability reachability = Reachability::Connected;
    DroppedDirection dropped = DroppedDirection::None;
    /// Shared by all connections of the route, for each direction; 0 means unlimited.
    std::int64_t bytesPerSecond = 0;

    auto operator<=>(const Faults &) const = default;
};

/// Reads `delay_ms`, `jitter_ms`, `cut`, `drop` ("none", "to_target", "to_client") and `bytes_per_second`. A missing key
/// means that the fault is absent. Fails with `invalid_faults` for unknown keys and values out of range.
ErrorOr<Faults> parseFaults(const nlohmann::json &json);

nlohmann::ordered_json toJson(const Faults &faults);

} // namespace Godwitfork
