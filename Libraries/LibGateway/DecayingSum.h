#pragma once

#include "LibCore/Time.h"

#include <compare>

namespace Godwitfork
{

/// Weighted sum of observations. Sums of several instances add up to that of the fleet.
struct ObservationSum {
    double sum = 0;
    double weight = 0;

    ObservationSum &operator+=(const ObservationSum &other);
    ObservationSum &operator-=(const ObservationSum &other);
    auto operator<=>(const ObservationSum &) const = default;
};

/// Mean that starts from `assumed`, which has the given weight.
double blendedMean(const ObservationSum &observations, double assumed, double assumedWeight);

/// Sum in which older observations count less, so that what is not observed any more is forgotten.
class DecayingSum
{
public:
    /// An observation fades to 1/e within `fadingTime`.
    explicit DecayingSum(Duration fadingTime);

    void add(const ObservationSum &observation, MonotonicTime now);
    ObservationSum at(MonotonicTime now) const;

private:
    Duration fadingTime;
    ObservationSum total;
    MonotonicTime since;
};

} // namespace Godwitfork
