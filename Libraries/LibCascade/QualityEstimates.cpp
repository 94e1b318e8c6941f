#include "LibCascade/QualityEstimates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Godwitfork
{

namespace
{
// Weight of the estimate over all accounts as the prior of one account's estimate, in ratings.
constexpr double sharedPriorWeight = 20;
// Weight of the reported confidence as the prior of the estimate over all accounts, in ratings.
constexpr double confidencePriorWeight = 5;
// Weight of the bin shares over all accounts as the prior of one account's bin shares, in answers.
constexpr double sharedBinWeight = 50;
// Prior of the rating of a version whose own confidence is not known. It is optimistic, so that an unrated stronger version is tried
// and its estimate corrected; with a low prior it would never be tried.
constexpr double optimisticRatingPrior = 0.9;
constexpr double millionths = 1e6;

RatingSums findSums(const EstimateSums &sums, const EstimateKey &key)
{
    const auto entry = sums.find(key);
    return entry == sums.end() ? RatingSums {} : entry->second;
}

EstimateKey withoutAccount(EstimateKey key)
{
    key.account.clear();
    return key;
}

double posteriorMean(const RatingSums &sums, double priorMean, double priorWeight)
{
    const double sum = static_cast<double>(sums.ratingMillionths) / millionths;
    return (sum + priorMean * priorWeight) / (static_cast<double>(sums.ratings) + priorWeight);
}
} // namespace

QualityEstimates::QualityEstimates(std::string instance) : instance(std::move(instance))
{
}

template<typename Change>
void QualityEstimates::applyChange(const EstimateKey &key, Change change)
{
    Segment &segment = this->mergedState.segments[{this->instance, this->segmentNumber}];
    ++segment.sequence;
    change(segment.sums[key]);
    change(this->byAccount[key]);
    change(this->acrossAccounts[withoutAccount(key)]);
}

void QualityEstimates::recordAnswer(const std::string &account, const std::string &taskClass, const std::string &version, int bin)
{
    this->applyChange({account, taskClass, version, version, bin}, [](RatingSums &sums) { ++sums.answers; });
}

void QualityEstimates::recordRating(const EstimateKey &key, double rating)
{
    const std::int64_t value = std::llround(std::clamp(rating, 0.0, 1.0) * millionths);
    this->applyChange(key, [value](RatingSums &sums) {
        ++sums.ratings;
        sums.ratingMillionths += value;
    });
}

void QualityEstimates::closeSegment()
{
    const auto open = this->mergedState.segments.find({this->instance, this->segmentNumber});
    if (open == this->mergedState.segments.end()) {
        return;
    }
    open->second.closed = true;
    ++open->second.sequence;
    ++this->segmentNumber;
}

void QualityEstimates::mergeFrom(const EstimateState &received)
{
    merge(this->mergedState, received);
    // A peer may have considered this instance dead and folded its open segment. Later sums then need a new segment.
    const auto folded = this->mergedState.foldedThrough.find(this->instance);
    if (folded != this->mergedState.foldedThrough.end()) {
        this->segmentNumber = std::max(this->segmentNumber, folded->second + 1);
    }
    this->rebuildTotals();
}

const EstimateState &QualityEstimates::state() const
{
    return this->mergedState;
}

void QualityEstimates::rebuildTotals()
{
    this->byAccount = totalsOf(this->mergedState);
    this->acrossAccounts.clear();
    for (const auto &[key, sums] : this->byAccount) {
        RatingSums &shared = this->acrossAccounts[withoutAccount(key)];
        shared = sumOf(shared, sums);
    }
}

double QualityEstimates::rating(const EstimateKey &key) const
{
    const double prior = key.version == key.signalVersion ? confidenceOfBin(key.bin) : optimisticRatingPrior;
    const double shared = posteriorMean(findSums(this->acrossAccounts, withoutAccount(key)), prior, confidencePriorWeight);
    return posteriorMean(findSums(this->byAccount, key), shared, sharedPriorWeight);
}

double QualityEstimates::sharedRatings(const EstimateKey &key) const
{
    return static_cast<double>(findSums(this->acrossAccounts, withoutAccount(key)).ratings);
}

BinShares QualityEstimates::binShares(const std::string &account, const std::string &taskClass, const std::string &version) const
{
    BinShares shares;
    double sharedTotal = confidenceBinCount;
    double ownTotal = sharedBinWeight;
    double shared[confidenceBinCount] = {};
    double own[confidenceBinCount] = {};
    for (int bin = 0; bin < confidenceBinCount; ++bin) {
        const EstimateKey key {account, taskClass, version, version, bin};
        own[bin] = static_cast<double>(findSums(this->byAccount, key).answers);
        ownTotal += own[bin];
        shared[bin] = 1 + static_cast<double>(findSums(this->acrossAccounts, withoutAccount(key)).answers);
        sharedTotal += shared[bin] - 1;
    }
    for (int bin = 0; bin < confidenceBinCount; ++bin) {
        shares.share[bin] = (own[bin] + sharedBinWeight * shared[bin] / sharedTotal) / ownTotal;
    }
    return shares;
}

} // namespace Godwitfork
