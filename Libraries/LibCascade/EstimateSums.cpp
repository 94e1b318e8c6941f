#include "LibCascade/EstimateSums.h"

#include <algorithm>

namespace Godwitfork
{

int confidenceBin(double confidence)
{
    // The negated comparison is also true for NaN, which therefore falls into the lowest bin.
    if (!(confidence > 0)) {
        return 0;
    }
    return static_cast<int>(std::min(confidence * confidenceBinCount, confidenceBinCount - 1.0));
}

double confidenceOfBin(int bin)
{
    return (bin + 0.5) / confidenceBinCount;
}

RatingSums sumOf(const RatingSums &left, const RatingSums &right)
{
    return {left.answers + right.answers, left.ratings + right.ratings, left.ratingMillionths + right.ratingMillionths};
}

void addTo(EstimateSums &target, const EstimateSums &added)
{
    for (const auto &[key, sums] : added) {
        RatingSums &entry = target[key];
        entry = sumOf(entry, sums);
    }
}

} // namespace Godwitfork
