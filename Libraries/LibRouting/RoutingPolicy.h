#pragma once

#include <optional>
#include <string_view>

namespace Godwitfork
{

/// Policy by which an endpoint is chosen. `RoundRobin` and `LeastOutstanding` are the baselines of the measurements.
enum class RoutingPolicy { PowerOfTwo, RoundRobin, LeastOutstanding };

/// Parses the value of the setting `routing_policy`: `power_of_two`, `round_robin` or `least_outstanding`.
std::optional<RoutingPolicy> parseRoutingPolicy(std::string_view text);
std::string_view toText(RoutingPolicy policy);

} // namespace Godwitfork
