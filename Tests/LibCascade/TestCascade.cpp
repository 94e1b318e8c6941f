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

/// Estimates in which `small` is good in bin 9 and poor in bin 2, and `large` is always good.
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
TEST_CASE("The order rises in cost without repeated versions")
{
    const auto order = cascadeOrder({{"large", 1000}, {"small", 100}, {"middle", 300}, {"small", 150}});
    CHECK(order == std::vector<CascadeStep> {{"small", 100}, {"middle", 300}, {"large", 1000}});
}

// Guards against poor answers that are delivered, and against paying for an escalation that gains nothing.
TEST_CASE("A low confidence escalates and a high one is accepted")
{
    const QualityEstimates estimates = trainedEstimates();
    const CascadeRequest request = requestFor("known", 3000);
    CHECK(firstStep(estimates, request) == 0);
    CHECK(decideStep(estimates, request, 0, 0.25).escalateTo == std::size_t(1));
    CHECK_FALSE(decideStep(estimates, request, 0, 0.95).escalateTo);
    CHECK_FALSE(decideStep(estimates, request, 1, 0.1).escalateTo);
}

// Guards against a new account that has to learn from nothing what other accounts have shown.
TEST_CASE("A new account decides by what other accounts have shown")
{
    const QualityEstimates estimates = trainedEstimates();
    const CascadeRequest request = requestFor("new", 3000);
    CHECK(decideStep(estimates, request, 0, 0.25).escalateTo == std::size_t(1));
    CHECK_FALSE(decideStep(estimates, request, 0, 0.95).escalateTo);
}

// Guards against estimates of the alternative that can never be corrected, and against unbounded exploration.
TEST_CASE("An exploring request reverses the decision, and few requests explore")
{
    const QualityEstimates estimates = trainedEstimates();
    CascadeRequest request = requestFor("known", 3000);
    request.explore = true;
    CHECK_FALSE(decideStep(estimates, request, 0, 0.25).escalateTo);
    CHECK(decideStep(estimates, request, 0, 0.95).escalateTo == std::size_t(1));
    // Both alternatives have 200 ratings, so an eleventh of the permitted exploration remains.
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

// Guards against paying for the small version when nearly every one of its answers is escalated.
TEST_CASE("The cascade starts directly with the strong version when the cheap one is never accepted")
{
    QualityEstimates estimates("instance");
    rate(estimates, "known", "small", 1, 0.1, 300);
    rate(estimates, "known", "large", 1, 0.9, 300);
    CHECK(firstStep(estimates, requestFor("known", 5000)) == 1);
}

// Guards against a confidence outside its range, which an engine may report, reaching an array index.
TEST_CASE("Any confidence has a bin")
{
    CHECK(confidenceBin(-1) == 0);
    CHECK(confidenceBin(0.35) == 3);
    CHECK(confidenceBin(1) == 9);
    CHECK(confidenceBin(7) == 9);
    CHECK(confidenceBin(std::numeric_limits<double>::quiet_NaN()) == 0);
}

// Guards against a multiplier that lets the running average stay below the target, or never returns to a low cost.
TEST_CASE("The multiplier rises below the target and falls above it")
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

// Guards against an average that ends just below the target because ratings are noisy.
TEST_CASE("Noisy ratings raise the multiplier even when their average is at the target")
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
