#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"

#include <string>
#include <string_view>

namespace Godwitfork
{

/// Returns `bytes` random bytes as lower-case hexadecimal digits.
std::string randomHex(RandomSource &random, int bytes);

/// Makes a request identifier: the admission time in seconds since 1970 as 8 hexadecimal digits, then 24 random digits. The
/// ledger stores the request's record in the bucket of the hour of this time, so that a duplicate is always found in the same
/// bucket.
std::string makeRequestId(WallTime admitted, RandomSource &random);

/// Hour bucket of a request identifier, as a decimal number of hours since 1970; empty if the identifier is malformed.
std::string hourBucketOf(std::string_view requestId);

} // namespace Godwitfork
