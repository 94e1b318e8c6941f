#pragma once

#include "LibCore/Time.h"

#include <compare>

namespace Godwitfork
{

/// Sum of observations and the sum of their weights. Sums of several instances can be added up to the sum over all instances.
struct ObservationSum {
    double sum = 0;
    double weight = 0;

    ObservationSum &operator+=(const ObservationSum &other);
    ObservationSum &operator-=(const ObservationSum &other);
    auto operator<=>(const ObservationSum &) const = default;
};

/// Mean of the observations and a prior value with the weight `priorWeight`.
double meanWithPrior(const ObservationSum &observations, double prior, double priorWeight);

/// Exponentially decayed sum of observations.
class DecayingSum
{
public:
    /// Creates an empty sum; an observation decays to 1/e of its value within `timeConstant`.
    explicit DecayingSum(Duration timeConstant);

    void add(const ObservationSum &observation, MonotonicTime now);
    /// Returns the sum decayed up to `now`.
    ObservationSum valueAt(MonotonicTime now) const;

private:
    Duration timeConstant;
    ObservationSum total;
    MonotonicTime lastUpdate;
};

} // namespace Godwitfork
