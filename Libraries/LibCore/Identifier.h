#pragma once

#include "LibCore/Random.h"
#include "LibCore/Time.h"

#include <string>
#include <string_view>

namespace Godwitfork
{

/// Random lower-case hexadecimal text with `bytes` random bytes.
std::string randomHex(RandomSource &random, int bytes);

/// Identity of a request: 8 hexadecimal digits with the admission time in seconds, then 24 random ones. The time names
/// the hour bucket of the ledger that holds the request's record, so that a duplicate always falls into the same bucket.
std::string makeRequestId(WallTime admitted, RandomSource &random);

/// Hour bucket of a request identity, as decimal hours since 1970; empty if the identity is malformed.
std::string hourBucketOf(std::string_view requestId);

} // namespace Godwitfork
