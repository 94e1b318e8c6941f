#pragma once

#include "LibCascade/EstimateExchange.h"

#include <string>

namespace Godwitfork
{

/// Shares of one version's answers whose confidence was in each bin, 0 to 1.
struct BinShares {
    double share[confidenceBinCount] = {};
};

/// Rating estimates of one instance, from its own segments and the states it has merged. The estimate over all accounts is the prior of
/// an account's estimate, and the reported confidence is the prior of the estimate over all accounts.
class QualityEstimates
{
public:
    /// `instance` must be different for each start of a process.
    explicit QualityEstimates(std::string instance);

    /// Counts an answer whose confidence is in `bin`.
    void recordAnswer(const std::string &account, const std::string &taskClass, const std::string &version, int bin);
    /// Adds a rating; values outside [0, 1] are clamped. It may arrive at any time after the answer.
    void recordRating(const EstimateKey &key, double rating);

    /// Closes the open segment, so that it can be folded into the stored base.
    void closeSegment();
    void mergeFrom(const EstimateState &received);
    const EstimateState &state() const;

    /// Posterior mean of the rating, 0 to 1.
    double rating(const EstimateKey &key) const;
    /// Number of ratings over all accounts; the account of `key` is ignored.
    double sharedRatings(const EstimateKey &key) const;
    BinShares binShares(const std::string &account, const std::string &taskClass, const std::string &version) const;

private:
    template<typename Change>
    void applyChange(const EstimateKey &key, Change change);
    void rebuildTotals();

    std::string instance;
    std::uint64_t segmentNumber = 1;
    EstimateState mergedState;
    EstimateSums byAccount;
    /// Sums over all accounts, stored under keys with an empty account.
    EstimateSums acrossAccounts;
};

} // namespace Godwitfork
