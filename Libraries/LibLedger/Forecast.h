#pragma once

#include "LibCore/Money.h"

#include <compare>
#include <vector>

namespace Godwitfork
{

/// Spend of whole days, oldest first, and what is already known of the month.
struct SpendHistory {
    std::vector<Microunits> completeDays;
    /// Spend of the month so far, complete days of the month included.
    Microunits spentThisMonth = 0;
    /// Days of the month that follow the last complete day.
    int remainingDays = 0;

    bool operator==(const SpendHistory &) const = default;
};

/// Expected bill of the month with an interval that holds the true bill in about 95 of 100 months.
struct BillForecast {
    Microunits expected = 0;
    Microunits low = 0;
    Microunits high = 0;

    auto operator<=>(const BillForecast &) const = default;
};

/// Uses the last 28 complete days; with at least 14 of them, each weekday has its own mean. Without any complete day the
/// forecast is what has been spent, and the interval is as narrow, because nothing is known.
BillForecast forecastMonth(const SpendHistory &history);

} // namespace Godwitfork
