#include "LibRouting/RoutingPolicy.h"

namespace Godwitfork
{

std::optional<RoutingPolicy> parseRoutingPolicy(std::string_view text)
{
    for (const RoutingPolicy policy : {RoutingPolicy::PowerOfTwo, RoutingPolicy::RoundRobin, RoutingPolicy::LeastOutstanding}) {
        if (toText(policy) == text) {
            return policy;
        }
    }
    return std::nullopt;
}

std::string_view toText(RoutingPolicy policy)
{
    switch (policy) {
    case RoutingPolicy::PowerOfTwo:
        return "power_of_two";
    case RoutingPolicy::RoundRobin:
        return "round_robin";
    case RoutingPolicy::LeastOutstanding:
        return "least_outstanding";
    }
    return {};
}

} // namespace Godwitfork
