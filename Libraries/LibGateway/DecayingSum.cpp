#include "LibGateway/DecayingSum.h"

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

double blendedMean(const ObservationSum &observations, double assumed, double assumedWeight)
{
    return (observations.sum + assumed * assumedWeight) / (observations.weight + assumedWeight);
}

DecayingSum::DecayingSum(Duration fadingTime) : fadingTime(fadingTime)
{
}

void DecayingSum::add(const ObservationSum &observation, MonotonicTime now)
{
    this->total = this->at(now);
    this->since = now;
    this->total += observation;
}

ObservationSum DecayingSum::at(MonotonicTime now) const
{
    const double elapsed = static_cast<double>((now - this->since).count()) / static_cast<double>(this->fadingTime.count());
    const double factor = std::exp(-std::max(0.0, elapsed));
    return {this->total.sum * factor, this->total.weight * factor};
}

} // namespace Godwitfork
