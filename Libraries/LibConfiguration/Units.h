#pragma once

#include "LibCore/Money.h"

#include <optional>
#include <string>
#include <string_view>

namespace Godwitfork
{

/// Denominator that an amount or a rate of the operators' files must carry.
enum class Per { Month, ThousandTokens, Call };

/// Largest amount in the operators' files: 10^9 currency units.
constexpr Microunits maxAmount = 1'000'000'000'000'000;

/// Parses a plain decimal number without sign or exponent as a multiple of 10^-`decimals`, exactly. Empty for any other
/// text, for more decimals, and above 10^15.
std::optional<std::int64_t> parseDecimal(std::string_view text, int decimals);

/// Parses `NUMBER units/DENOMINATOR` or `NUMBER microunits/DENOMINATOR`, where a unit is the unit of the currency.
std::optional<Microunits> parseAmount(std::string_view text, Per per);
std::string formatAmount(Microunits amount, Per per);

/// Parses `NUMBER/s` or `NUMBER/min` as a rate for a second.
std::optional<double> parseRate(std::string_view text);
std::string formatRate(double perSecond);

/// Shortest text that reads back as the same number.
std::string formatNumber(double number);

} // namespace Godwitfork
