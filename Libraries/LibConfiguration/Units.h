#pragma once

#include "LibCore/Money.h"

#include <optional>
#include <string>
#include <string_view>

namespace Godwitfork
{

/// Denominator of an amount in the operators' files.
enum class AmountDenominator { Month, ThousandTokens, Call };

/// Largest amount in the operators' files: 10^9 currency units.
constexpr Microunits maxAmount = 1'000'000'000'000'000;

/// Parses a decimal number without sign or exponent exactly, as a multiple of 10^-`decimals`. Empty for any other text, for
/// more decimals, and for results above 10^15.
std::optional<std::int64_t> parseDecimal(std::string_view text, int decimals);

/// Parses `NUMBER units/DENOMINATOR` or `NUMBER microunits/DENOMINATOR`, where a unit is one currency unit.
std::optional<Microunits> parseAmount(std::string_view text, AmountDenominator denominator);
std::string formatAmount(Microunits amount, AmountDenominator denominator);

/// Parses `NUMBER/s` or `NUMBER/min` as a rate per second.
std::optional<double> parseRate(std::string_view text);
std::string formatRate(double perSecond);

/// Formats a number as the shortest text that parses to the same value.
std::string formatNumber(double number);

} // namespace Godwitfork
