#include "LibCascade/Cascade.h"
#include "LibCascade/QualityMultiplier.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace Godwitfork;

namespace
{
CascadeRequest requestFor(const std::string &account, double multiplier)
{
    return {account, "summary", cascadeOrder({{"large", 1000}, {"small", 100}}), multiplier, false, 0};
}

void rate(QualityEstimates &estimates, const std::string &account, const std::string &version, int bin, double rating, int count)
{
    for (int i = 0; i < count; ++i) {
        estimates.recordAnswer(account, "summary", "small", bin);
        estimates.recordRating({account, "summary", version, "small", bin}, rating);
    }
}

/// Returns estimates in which `small` has high ratings in bin 9 and low ones in bin 2, and `large` has high ratings in both.
QualityEstimates trainedEstimates()
{
    QualityEstimates estimates("instance");
    for (const int bin : {2, 9}) {
        rate(estimates, "known", "small", bin, bin == 9 ? 0.9 : 0.3, 200);
        rate(estimates, "known", "large", bin, 0.92, 200);
    }
    return estimates;
}
} // namespace

// Guards against a cascade that starts at an expensive version or runs a version twice.
TEST_CASE("The steps are ordered by ascending cost, each version once")
{
    const auto order = cascadeOrder({{"large", 1000}, {"small", 100}, {"middle", 300}, {"small", 150}});
    CHECK(order == std::vector<CascadeStep> {{"small", 100}, {"middle", 300}, {"large", 1000}});
}

// Guards against the delivery of poor answers, and against paying for an escalation that does not improve the answer.
TEST_CASE("An answer with low confidence is escalated and one with high confidence is delivered")
{
    const QualityEstimates estimates = trainedEstimates();
    const CascadeRequest request = requestFor("known", 3000);
    CHECK(firstStep(estimates, request) == 0);
    CHECK(decideStep(estimates, request, 0, 0.25).escalateTo == std::size_t(1));
    CHECK_FALSE(decideStep(estimates, request, 0, 0.95).escalateTo);
    CHECK_FALSE(decideStep(estimates, request, 1, 0.1).escalateTo);
}

// Guards against a new account whose estimates ignore the ratings of the other accounts.
TEST_CASE("Decisions for a new account use the ratings of other accounts")
{
    const QualityEstimates estimates = trainedEstimates();
    const CascadeRequest request = requestFor("new", 3000);
    CHECK(decideStep(estimates, request, 0, 0.25).escalateTo == std::size_t(1));
    CHECK_FALSE(decideStep(estimates, request, 0, 0.95).escalateTo);
}

// Guards against estimates of the alternative that are never corrected, and against unbounded exploration.
TEST_CASE("An exploring request reverses the decision, and about 2 % of requests explore")
{
    const QualityEstimates estimates = trainedEstimates();
    CascadeRequest request = requestFor("known", 3000);
    request.explore = true;
    CHECK_FALSE(decideStep(estimates, request, 0, 0.25).escalateTo);
    CHECK(decideStep(estimates, request, 0, 0.95).escalateTo == std::size_t(1));
    // Both alternatives have 200 ratings, so the exploration factor is 20 / (20 + 200) = 1 / 11, below the draw.
    request.explorationDraw = 0.1;
    CHECK(decideStep(estimates, request, 0, 0.25).escalateTo == std::size_t(1));
    CHECK_FALSE(decideStep(estimates, request, 0, 0.95).escalateTo);
    RandomSource random(5);
    int explored = 0;
    for (int i = 0; i < 100000; ++i) {
        explored += drawExploration(random) ? 1 : 0;
    }
    CHECK(explored > 1800);
    CHECK(explored < 2200);
}

// Guards against paying for the small version when nearly all of its answers are escalated.
TEST_CASE("The cascade starts with the strong version if the answers of the cheap one are never accepted")
{
    QualityEstimates estimates("instance");
    rate(estimates, "known", "small", 1, 0.1, 300);
    rate(estimates, "known", "large", 1, 0.9, 300);
    CHECK(firstStep(estimates, requestFor("known", 5000)) == 1);
}

// Guards against an array index out of range when an engine reports a confidence outside [0, 1].
TEST_CASE("Every confidence, also one outside [0, 1], has a bin")
{
    CHECK(confidenceBin(-1) == 0);
    CHECK(confidenceBin(0.35) == 3);
    CHECK(confidenceBin(1) == 9);
    CHECK(confidenceBin(7) == 9);
    CHECK(confidenceBin(std::numeric_limits<double>::quiet_NaN()) == 0);
}

// Guards against a multiplier that leaves the average rating below the target, and against one that stays high once the average is
// above.
TEST_CASE("The multiplier rises while the average rating is below the target and falls while it is above")
{
    QualityMultiplier multiplier = makeMultiplier(0.8, 1000);
    const double start = multiplierValue(multiplier);
    for (int i = 0; i < 50; ++i) {
        recordDelivery(multiplier, 0.5);
    }
    const double raised = multiplierValue(multiplier);
    CHECK(raised > start);
    for (int i = 0; i < 50; ++i) {
        recordLateRating(multiplier, 0.5, 1.0);
    }
    CHECK(multiplierValue(multiplier) < raised);
}

// Guards against a true average that ends just below the target because ratings are noisy.
TEST_CASE("Noisy ratings raise the multiplier even if their average is at the target")
{
    QualityMultiplier exact = makeMultiplier(0.8, 1000);
    QualityMultiplier noisy = exact;
    for (int i = 0; i < 100; ++i) {
        recordDelivery(exact, 0.8);
        recordDelivery(noisy, 0.8);
        recordLateRating(noisy, 0.8, i % 2 == 0 ? 0.6 : 1.0);
    }
    CHECK(multiplierValue(noisy) > multiplierValue(exact));
}
