#pragma once

#include "LibCore/Money.h"

#include <compare>
#include <vector>

namespace Godwitfork
{

/// Past daily spend and the month's spend to date, from which the month's bill is forecast.
struct SpendHistory {
    /// Spend of each complete day, oldest first; may reach back before the month.
    std::vector<Microunits> completeDays;
    /// Spend of the month to date, including its complete days.
    Microunits spentThisMonth = 0;
    /// Number of days of the month after the last complete day.
    int remainingDays = 0;

    bool operator==(const SpendHistory &) const = default;
};

/// Expected bill of the month with its 95 % prediction interval from `low` to `high`.
struct BillForecast {
    Microunits expected = 0;
    Microunits low = 0;
    Microunits high = 0;

    auto operator<=>(const BillForecast &) const = default;
};

/// Forecasts the month's bill from the last 28 complete days. With at least 14 complete days, each weekday has its own mean.
/// Without any complete day the expected bill is the spend to date and the interval has zero width, because there is no data
/// to estimate the spend or its variance from.
BillForecast forecastMonth(const SpendHistory &history);

} // namespace Godwitfork
