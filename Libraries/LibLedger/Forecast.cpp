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
constexpr std::size_t minimumDaysForWeekdays = 14;
// 97.5 % quantile of the normal distribution.
constexpr double normalQuantile = 1.959964;

/// Days fall into classes with a common mean: weekdays, or a single class for a short history.
struct DayClasses {
    std::size_t count = 1;
    std::vector<double> means;
    std::vector<double> sizes;
    double variance = 0;
    double degreesOfFreedom = 0;
};

DayClasses estimateClasses(std::span<const Microunits> days)
{
    DayClasses classes;
    classes.count = days.size() >= minimumDaysForWeekdays ? daysInWeek : 1;
    classes.means.resize(classes.count, 0.0);
    classes.sizes.resize(classes.count, 0.0);
    for (std::size_t day = 0; day < days.size(); ++day) {
        classes.means[day % classes.count] += static_cast<double>(days[day]);
        classes.sizes[day % classes.count] += 1.0;
    }
    for (std::size_t index = 0; index < classes.count; ++index) {
        classes.means[index] /= classes.sizes[index];
    }
    double squares = 0;
    for (std::size_t day = 0; day < days.size(); ++day) {
        const double residual = static_cast<double>(days[day]) - classes.means[day % classes.count];
        squares += residual * residual;
    }
    classes.degreesOfFreedom = static_cast<double>(days.size() - classes.count);
    // One day alone shows no spread; assuming one as large as its spend keeps the interval honest.
    classes.variance = classes.degreesOfFreedom > 0 ? squares / classes.degreesOfFreedom : classes.means[0] * classes.means[0];
    return classes;
}

/// 97.5 % quantile of Student's t distribution by its Cornish-Fisher expansion, within 1 % from 3 degrees on.
double studentQuantile(double degrees)
{
    if (degrees < 1) {
        return normalQuantile;
    }
    const double z = normalQuantile;
    const double first = (std::pow(z, 3) + z) / 4;
    const double second = (5 * std::pow(z, 5) + 16 * std::pow(z, 3) + 3 * z) / 96;
    const double third = (3 * std::pow(z, 7) + 19 * std::pow(z, 5) + 17 * std::pow(z, 3) - 15 * z) / 384;
    return z + first / degrees + second / (degrees * degrees) + third / std::pow(degrees, 3);
}
} // namespace

BillForecast forecastMonth(const SpendHistory &history)
{
    const Microunits spent = history.spentThisMonth;
    if (history.completeDays.empty() || history.remainingDays <= 0) {
        return {spent, spent, spent};
    }
    const std::span<const Microunits> all = history.completeDays;
    const std::span<const Microunits> days = all.last(std::min(all.size(), windowDays));
    const DayClasses classes = estimateClasses(days);
    std::vector<double> ahead(classes.count, 0.0);
    for (int day = 0; day < history.remainingDays; ++day) {
        ahead[(days.size() + static_cast<std::size_t>(day)) % classes.count] += 1.0;
    }
    double expected = 0;
    double varianceFactor = 0;
    for (std::size_t index = 0; index < classes.count; ++index) {
        expected += ahead[index] * classes.means[index];
        // The days ahead vary by themselves, and the mean of their class is only estimated.
        varianceFactor += ahead[index] + ahead[index] * ahead[index] / classes.sizes[index];
    }
    const double margin = studentQuantile(classes.degreesOfFreedom) * std::sqrt(classes.variance * varianceFactor);
    const auto rounded = [](double value) { return static_cast<Microunits>(std::llround(value)); };
    return {spent + rounded(expected), spent + rounded(std::max(0.0, expected - margin)), spent + rounded(expected + margin)};
}

} // namespace Godwitfork
