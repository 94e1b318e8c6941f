#include "LibCore/Identifier.h"

#include <charconv>
#include <cstdint>
#include <cstdio>

namespace Godwitfork
{

namespace
{
constexpr int randomBytesInRequestId = 12;
constexpr std::size_t timeDigits = 8;
constexpr std::size_t requestIdDigits = timeDigits + 2 * randomBytesInRequestId;
constexpr std::uint32_t secondsPerHour = 3600;
} // namespace

std::string randomHex(RandomSource &random, int bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::uniform_int_distribution<int> digit(0, 15);
    std::string text;
    for (int i = 0; i < bytes * 2; ++i) {
        text.push_back(digits[static_cast<std::size_t>(digit(random))]);
    }
    return text;
}

std::string makeRequestId(WallTime admitted, RandomSource &random)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(admitted.time_since_epoch()).count();
    char prefix[timeDigits + 1] = {};
    std::snprintf(prefix, sizeof(prefix), "%08x", static_cast<std::uint32_t>(seconds));
    return prefix + randomHex(random, randomBytesInRequestId);
}

std::string hourBucketOf(std::string_view requestId)
{
    if (requestId.size() != requestIdDigits) {
        return {};
    }
    std::uint32_t seconds = 0;
    const char *end = requestId.data() + timeDigits;
    const auto parsed = std::from_chars(requestId.data(), end, seconds, 16);
    if (parsed.ec != std::errc {} || parsed.ptr != end) {
        return {};
    }
    return std::to_string(seconds / secondsPerHour);
}

} // namespace Godwitfork
