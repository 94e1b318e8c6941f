#pragma once

#include <cstdint>
#include <random>

namespace Godwitfork
{

/// Random number generator that callers pass to the routing and policy libraries; tests use a fixed seed.
using RandomSource = std::mt19937_64;

/// Returns a generator seeded from the operating system's entropy.
RandomSource systemSeededRandomSource();

} // namespace Godwitfork
