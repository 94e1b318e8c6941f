#include "LibCascade/QualityEstimates.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Godwitfork
{

namespace
{
// Number of ratings that the estimate over all accounts counts for in the estimate of one account.
constexpr double sharedPriorWeight = 20;
// Number of ratings that the reported confidence counts for in the estimate over all accounts.
constexpr double confidencePriorWeight = 5;
// Number of answers that the shares over all accounts count for in the shares of one account.
constexpr double sharedBinWeight = 50;
// Prior for the rating of a version whose own confidence is not known. High, so that an unknown stronger version is
// tried and its estimate corrected, instead of never being tried.
constexpr double unknownRatingPrior = 0.9;
constexpr double millionths = 1e6;

RatingSums find(const EstimateSums &sums, const EstimateKey &key)
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
void QualityEstimates::change(const EstimateKey &key, Change change)
{
    Segment &segment = this->merged.segments[{this->instance, this->segmentNumber}];
    ++segment.sequence;
    change(segment.sums[key]);
    change(this->byAccount[key]);
    change(this->overAccounts[withoutAccount(key)]);
}

void QualityEstimates::recordAnswer(const std::string &account, const std::string &taskClass, const std::string &version, int bin)
{
    this->change({account, taskClass, version, version, bin}, [](RatingSums &sums) { ++sums.answers; });
}

void QualityEstimates::recordRating(const EstimateKey &key, double rating)
{
    const std::int64_t value = std::llround(std::clamp(rating, 0.0, 1.0) * millionths);
    this->change(key, [value](RatingSums &sums) {
        ++sums.ratings;
        sums.ratingMillionths += value;
    });
}

void QualityEstimates::closeSegment()
{
    const auto open = this->merged.segments.find({this->instance, this->segmentNumber});
    if (open == this->merged.segments.end()) {
        return;
    }
    open->second.closed = true;
    ++open->second.sequence;
    ++this->segmentNumber;
}

void QualityEstimates::mergeFrom(const EstimateState &received)
{
    merge(this->merged, received);
    // Another instance took this one for dead and folded its open segment: later sums need a new segment.
    const auto folded = this->merged.foldedThrough.find(this->instance);
    if (folded != this->merged.foldedThrough.end()) {
        this->segmentNumber = std::max(this->segmentNumber, folded->second + 1);
    }
    this->rebuildTotals();
}

const EstimateState &QualityEstimates::state() const
{
    return this->merged;
}

void QualityEstimates::rebuildTotals()
{
    this->byAccount = totalsOf(this->merged);
    this->overAccounts.clear();
    for (const auto &[key, sums] : this->byAccount) {
        RatingSums &shared = this->overAccounts[withoutAccount(key)];
        shared = sumOf(shared, sums);
    }
}

double QualityEstimates::rating(const EstimateKey &key) const
{
    const double prior = key.version == key.signalVersion ? confidenceOfBin(key.bin) : unknownRatingPrior;
    const double shared = posteriorMean(find(this->overAccounts, withoutAccount(key)), prior, confidencePriorWeight);
    return posteriorMean(find(this->byAccount, key), shared, sharedPriorWeight);
}

double QualityEstimates::sharedRatings(const EstimateKey &key) const
{
    return static_cast<double>(find(this->overAccounts, withoutAccount(key)).ratings);
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
        own[bin] = static_cast<double>(find(this->byAccount, key).answers);
        ownTotal += own[bin];
        shared[bin] = 1 + static_cast<double>(find(this->overAccounts, withoutAccount(key)).answers);
        sharedTotal += shared[bin] - 1;
    }
    for (int bin = 0; bin < confidenceBinCount; ++bin) {
        shares.share[bin] = (own[bin] + sharedBinWeight * shared[bin] / sharedTotal) / ownTotal;
    }
    return shares;
}

} // namespace Godwitfork
