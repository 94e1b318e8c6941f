#include "LibLedger/Forecast.h"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <span>

namespace Godwitfork
{

namespace
{
constexpr std::size_t windowDays = 28;
constexpr std::size_t daysInWeek = 7;
constexpr std::size_t minimumDaysForWeekdayMeans = 14;
// 97.5 % quantile of the standard normal distribution.
constexpr double normalQuantile = 1.959964;

/// Partition of the days into classes with a common mean: one class per weekday, or a single class for a short history.
/// The variance is common to all classes.
struct DayClasses {
    std::size_t count = 1;
    /// Mean spend per day of each class, in microunits.
    std::vector<double> means;
    /// Number of days of the history in each class.
    std::vector<double> dayCounts;
    /// Variance of the spend of one day about its class mean, in microunits squared.
    double variance = 0;
    double degreesOfFreedom = 0;
};

DayClasses estimateClasses(std::span<const Microunits> days)
{
    DayClasses classes;
    classes.count = days.size() >= minimumDaysForWeekdayMeans ? daysInWeek : 1;
    classes.means.resize(classes.count, 0.0);
    classes.dayCounts.resize(classes.count, 0.0);
    for (std::size_t day = 0; day < days.size(); ++day) {
        classes.means[day % classes.count] += static_cast<double>(days[day]);
        classes.dayCounts[day % classes.count] += 1.0;
    }
    for (std::size_t index = 0; index < classes.count; ++index) {
        classes.means[index] /= classes.dayCounts[index];
    }
    double squares = 0;
    for (std::size_t day = 0; day < days.size(); ++day) {
        const double residual = static_cast<double>(days[day]) - classes.means[day % classes.count];
        squares += residual * residual;
    }
    classes.degreesOfFreedom = static_cast<double>(days.size() - classes.count);
    // Without degrees of freedom, as with a single day, the variance cannot be estimated. A standard deviation equal to the
    // mean is assumed instead, because an interval of zero width would claim certainty.
    classes.variance = classes.degreesOfFreedom > 0 ? squares / classes.degreesOfFreedom : classes.means[0] * classes.means[0];
    return classes;
}

/// Approximates the 97.5 % quantile of Student's t distribution by its Cornish-Fisher expansion. The error is below 1 % from
/// 3 degrees of freedom. Below 1 degree of freedom it returns the normal quantile.
double studentQuantile(double degreesOfFreedom)
{
    if (degreesOfFreedom < 1) {
        return normalQuantile;
    }
    const double z = normalQuantile;
    const double first = (std::pow(z, 3) + z) / 4;
    const double second = (5 * std::pow(z, 5) + 16 * std::pow(z, 3) + 3 * z) / 96;
    const double third = (3 * std::pow(z, 7) + 19 * std::pow(z, 5) + 17 * std::pow(z, 3) - 15 * z) / 384;
    return z + first / degreesOfFreedom + second / (degreesOfFreedom * degreesOfFreedom) + third / std::pow(degreesOfFreedom, 3);
}
} // namespace

BillForecast forecastMonth(const SpendHistory &history)
{
    const Microunits spent = history.spentThisMonth;
    if (history.completeDays.empty() || history.remainingDays <= 0) {
        return {spent, spent, spent};
    }
    const std::span<const Microunits> allDays = history.completeDays;
    const std::span<const Microunits> days = allDays.last(std::min(allDays.size(), windowDays));
    const DayClasses classes = estimateClasses(days);
    std::vector<double> remainingDayCounts(classes.count, 0.0);
    for (int day = 0; day < history.remainingDays; ++day) {
        remainingDayCounts[(days.size() + static_cast<std::size_t>(day)) % classes.count] += 1.0;
    }
    double expected = 0;
    double varianceFactor = 0;
    for (std::size_t index = 0; index < classes.count; ++index) {
        expected += remainingDayCounts[index] * classes.means[index];
        // For a class with m remaining and n past days, the variance of the sum is (m + m * m / n) times the daily variance:
        // the remaining days vary independently, and the error of the estimated mean is common to all of them.
        varianceFactor += remainingDayCounts[index] + remainingDayCounts[index] * remainingDayCounts[index] / classes.dayCounts[index];
    }
    const double margin = studentQuantile(classes.degreesOfFreedom) * std::sqrt(classes.variance * varianceFactor);
    const auto rounded = [](double value) { return static_cast<Microunits>(std::llround(value)); };
    return {spent + rounded(expected), spent + rounded(std::max(0.0, expected - margin)), spent + rounded(expected + margin)};
}

} // namespace Godwitfork
