#pragma once

#include "LibCore/Time.h"

#include <compare>

namespace Godwitfork
{

/// Bound on the requests to a cold endpoint of a service.
struct ColdRule {
    /// Requests a second that a cold endpoint can take; 0 if there is no bound.
    double requestsPerSecond = 0;
    /// Time for which an endpoint is cold after its start.
    Duration coldTime = Duration::zero();
    /// The endpoint may get `requestsPerSecond` times the overage, plus the tolerance, in any second from all instances together.
    double overage = 1;
    double tolerance = 0;

    auto operator<=>(const ColdRule &) const = default;
};

bool isBounded(const ColdRule &rule);

/// Time in which an instance sends at most its allowance. It exceeds the second of the bound, so that two requests that an instance sends a
/// window apart arrive more than a second apart although the first took up to 250 ms longer.
constexpr Duration coldWindow = std::chrono::milliseconds(1250);
/// Time after the end of the cold time in which the allowance rises to sixteen times that of a cold endpoint; then it ends.
constexpr Duration slowStartTime = std::chrono::seconds(2);

/// Requests that all instances together send to a cold endpoint in any window: two fifths of the bound, at least 1. The design limit is four
/// fifths; the other half of it is for instances that disagree about who shares the allowance, and for requests sent before they knew.
int coldAllowance(const ColdRule &rule);

/// As `coldAllowance`, `elapsed` after the end of the cold time; doubles every 500 ms.
int slowStartAllowance(const ColdRule &rule, Duration elapsed);

/// Part of an allowance that the instance at a rank has. The instances with the lowest ranks have all of it, the others have none.
int instanceAllowance(int allowance, int rank, int instances);

/// Time after the end of the cold time at which the instance at a rank first has an allowance; at most `slowStartTime`.
Duration slowStartEntry(const ColdRule &rule, int rank);

} // namespace Godwitfork
