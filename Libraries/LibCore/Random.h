#pragma once

#include <cstdint>
#include <random>

namespace Godwitfork
{

/// Source of randomness that callers of the decision libraries pass in; seeded in tests.
using RandomSource = std::mt19937_64;

/// Seeds a generator from the operating system.
RandomSource systemSeededRandomSource();

} // namespace Godwitfork
