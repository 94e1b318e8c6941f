#pragma once

#include "LibCascade/EstimateExchange.h"

#include <string>

namespace Godwitfork
{

/// Share of the cascade's answers of one version that had a confidence in each bin.
struct BinShares {
    double share[confidenceBinCount] = {};
};

/// Rating estimates of one instance: its own open segment and what it has merged. An estimate for an account starts
/// from the estimate over all accounts, which starts from the reported confidence.
class QualityEstimates
{
public:
    /// `instance` must be unique for each start of a process.
    explicit QualityEstimates(std::string instance);

    /// Counts an answer with its own confidence.
    void recordAnswer(const std::string &account, const std::string &taskClass, const std::string &version, int bin);
    /// Counts a rating in [0, 1], however late it arrives.
    void recordRating(const EstimateKey &key, double rating);

    /// Closes the open segment so that it can be folded into the stored base.
    void closeSegment();
    void mergeFrom(const EstimateState &received);
    const EstimateState &state() const;

    /// Posterior mean of the rating, in [0, 1].
    double rating(const EstimateKey &key) const;
    /// Number of ratings over all accounts.
    double sharedRatings(const EstimateKey &key) const;
    BinShares binShares(const std::string &account, const std::string &taskClass, const std::string &version) const;

private:
    template<typename Change>
    void change(const EstimateKey &key, Change change);
    void rebuildTotals();

    std::string instance;
    std::uint64_t segmentNumber = 1;
    EstimateState merged;
    EstimateSums byAccount;
    /// The same sums with an empty account.
    EstimateSums overAccounts;
};

} // namespace Godwitfork
