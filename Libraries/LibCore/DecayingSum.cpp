#include "LibCore/DecayingSum.h"

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

ObservationSum &ObservationSum::operator+=(const ObservationSum &other)
{
    this->sum += other.sum;
    this->weight += other.weight;
    return *this;
}

ObservationSum &ObservationSum::operator-=(const ObservationSum &other)
{
    this->sum = std::max(0.0, this->sum - other.sum);
    this->weight = std::max(0.0, this->weight - other.weight);
    return *this;
}

double meanWithPrior(const ObservationSum &observations, double prior, double priorWeight)
{
    return (observations.sum + prior * priorWeight) / (observations.weight + priorWeight);
}

DecayingSum::DecayingSum(Duration timeConstant) : timeConstant(timeConstant)
{
}

void DecayingSum::add(const ObservationSum &observation, MonotonicTime now)
{
    this->total = this->valueAt(now);
    this->lastUpdate = now;
    this->total += observation;
}

ObservationSum DecayingSum::valueAt(MonotonicTime now) const
{
    const double elapsed = static_cast<double>((now - this->lastUpdate).count()) / static_cast<double>(this->timeConstant.count());
    const double factor = std::exp(-std::max(0.0, elapsed));
    return {this->total.sum * factor, this->total.weight * factor};
}

} // namespace Godwitfork
