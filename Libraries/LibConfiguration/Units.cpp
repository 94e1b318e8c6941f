#include "LibConfiguration/Units.h"

#include <array>
#include <charconv>

namespace Godwitfork
{

namespace
{
constexpr int microunitDecimals = 6;
constexpr Microunits microunitsInUnit = 1'000'000;
constexpr std::int64_t largestNumber = 1'000'000'000'000'000;
constexpr double secondsInMinute = 60;

std::string_view denominatorText(AmountDenominator denominator)
{
    switch (denominator) {
    case AmountDenominator::Month:
        return "month";
    case AmountDenominator::ThousandTokens:
        return "1000 tokens";
    case AmountDenominator::Call:
        return "call";
    }
    return {};
}

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

/// Removes a suffix. Returns false if the text does not end in it.
bool removeSuffix(std::string_view &text, std::string_view suffix)
{
    if (!text.ends_with(suffix)) {
        return false;
    }
    text.remove_suffix(suffix.size());
    return true;
}
} // namespace

std::optional<std::int64_t> parseDecimal(std::string_view text, int decimals)
{
    std::int64_t number = 0;
    int decimalsRead = 0;
    bool hasPoint = false;
    bool hasDigit = false;
    for (const char character : text) {
        if (character == '.' && !hasPoint && hasDigit) {
            hasPoint = true;
            hasDigit = false;
            continue;
        }
        if (!isDigit(character) || (hasPoint && ++decimalsRead > decimals)) {
            return std::nullopt;
        }
        hasDigit = true;
        number = number * 10 + (character - '0');
        if (number > largestNumber) {
            return std::nullopt;
        }
    }
    if (!hasDigit) {
        return std::nullopt;
    }
    for (; decimalsRead < decimals; ++decimalsRead) {
        number *= 10;
        if (number > largestNumber) {
            return std::nullopt;
        }
    }
    return number;
}

std::optional<Microunits> parseAmount(std::string_view text, AmountDenominator denominator)
{
    if (!removeSuffix(text, denominatorText(denominator)) || !removeSuffix(text, "/")) {
        return std::nullopt;
    }
    if (removeSuffix(text, " microunits")) {
        return parseDecimal(text, 0);
    }
    if (removeSuffix(text, " units")) {
        return parseDecimal(text, microunitDecimals);
    }
    return std::nullopt;
}

std::string formatAmount(Microunits amount, AmountDenominator denominator)
{
    const bool isWhole = amount % microunitsInUnit == 0;
    const std::string number = isWhole ? std::to_string(amount / microunitsInUnit) + " units" : std::to_string(amount) + " microunits";
    return number + "/" + std::string(denominatorText(denominator));
}

std::optional<double> parseRate(std::string_view text)
{
    const bool isPerMinute = removeSuffix(text, "/min");
    if (!isPerMinute && !removeSuffix(text, "/s")) {
        return std::nullopt;
    }
    // Checks the form first, because from_chars also accepts signs, exponents, "inf" and "nan".
    if (!parseDecimal(text, microunitDecimals)) {
        return std::nullopt;
    }
    double number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return isPerMinute ? number / secondsInMinute : number;
}

std::string formatNumber(double number)
{
    std::array<char, 32> buffer {};
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(), number).ptr;
    return {buffer.data(), end};
}

std::string formatRate(double perSecond)
{
    return formatNumber(perSecond) + "/s";
}

} // namespace Godwitfork
