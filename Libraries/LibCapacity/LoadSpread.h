#pragma once

#include "LibCore/Random.h"

#include <cstddef>
#include <vector>

namespace Godwitfork
{

/// Expected cost of a request at an endpoint as of the last summary, and its increase with each further request.
struct EndpointCost {
    double cost = 0;
    double increment = 1;
};

/// Cost that all used endpoints reach if `requests` requests are sent, each where the cost is lowest.
double costLevel(const std::vector<EndpointCost> &endpoints, double requests);

/// Index of the endpoint with the lowest cost, the first one of several; `endpoints` must not be empty.
std::size_t cheapestEndpoint(const std::vector<EndpointCost> &endpoints);

/// Draws the index of an endpoint, each with the share of the requests that raises its cost to `level`; the cheapest one if that is none.
/// `endpoints` must not be empty.
std::size_t drawEndpoint(const std::vector<EndpointCost> &endpoints, double level, RandomSource &random);

} // namespace Godwitfork
