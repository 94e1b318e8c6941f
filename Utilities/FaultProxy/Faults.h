#pragma once

#include "LibCore/Error.h"
#include "LibCore/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>

namespace Godwitfork
{

/// Direction of data on a proxied connection.
enum class Direction { ToTarget, ToClient };

/// Direction in which a route forwards nothing.
enum class DroppedDirection { None, ToTarget, ToClient };

/// Whether a route accepts connections; `Cut` resets open connections and refuses new ones.
enum class Reachability { Connected, Cut };

/// Faults of one route, in effect until they are replaced. Freezing is not among them, because it applies only to the
/// connections that are open at that moment.
struct Faults {
    /// Delay of each chunk of data, in each direction.
    Duration delay = {};
    /// Upper bound of the jitter, a uniformly distributed random time that is added to the delay.
    Duration jitter = {};
    Reachability reachability = Reachability::Connected;
    DroppedDirection dropped = DroppedDirection::None;
    /// Bandwidth limit in bytes per second for each direction, shared by all connections of the route; 0 means unlimited.
    std::int64_t bytesPerSecond = 0;

    auto operator<=>(const Faults &) const = default;
};

/// Parses `delay_ms`, `jitter_ms`, `cut`, `drop` ("none", "to_target" or "to_client") and `bytes_per_second`. A missing key
/// means that the fault is not injected. Fails with `invalid_faults` for unknown keys and values out of range.
ErrorOr<Faults> parseFaults(const nlohmann::json &json);

/// JSON object with all keys that `parseFaults` accepts.
nlohmann::ordered_json toJson(const Faults &faults);

} // namespace Godwitfork
