#include "LibCapacity/LoadSpread.h"

#include <algorithm>
#include <random>

namespace Godwitfork
{

double costLevel(const std::vector<EndpointCost> &endpoints, double requests)
{
    std::vector<EndpointCost> sorted = endpoints;
    std::sort(sorted.begin(), sorted.end(), [](const EndpointCost &left, const EndpointCost &right) { return left.cost < right.cost; });
    double level = sorted.empty() ? 0 : sorted.front().cost;
    // Requests that raise the costs of the endpoints below the level by one unit, together.
    double requestsPerCost = 0;
    double left = requests;
    for (std::size_t i = 0; i < sorted.size() && left > 0; ++i) {
        requestsPerCost += 1 / sorted[i].increment;
        double step = left / requestsPerCost;
        if (i + 1 < sorted.size()) {
            step = std::min(step, sorted[i + 1].cost - level);
        }
        level += step;
        left -= step * requestsPerCost;
    }
    return level;
}

std::size_t cheapestEndpoint(const std::vector<EndpointCost> &endpoints)
{
    const auto cheapest =
        std::min_element(endpoints.begin(), endpoints.end(), [](const EndpointCost &left, const EndpointCost &right) { return left.cost < right.cost; });
    return static_cast<std::size_t>(cheapest - endpoints.begin());
}

std::size_t drawEndpoint(const std::vector<EndpointCost> &endpoints, double level, RandomSource &random)
{
    double total = 0;
    for (const EndpointCost &endpoint : endpoints) {
        total += std::max(0.0, level - endpoint.cost) / endpoint.increment;
    }
    if (total <= 0) {
        return cheapestEndpoint(endpoints);
    }
    double draw = std::uniform_real_distribution<double>(0, total)(random);
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        draw -= std::max(0.0, level - endpoints[i].cost) / endpoints[i].increment;
        if (draw < 0) {
            return i;
        }
    }
    return cheapestEndpoint(endpoints);
}

} // namespace Godwitfork
