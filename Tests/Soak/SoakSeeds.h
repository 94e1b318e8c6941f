#pragma once

#include <cstdint>
#include <vector>

namespace Godwitfork
{

/// Seeds to play: those of the environment variable GODWITFORK_SOAK_SEEDS (`FIRST-LAST`), or `standard`.
std::vector<std::uint64_t> soakSeeds(std::vector<std::uint64_t> standard);

} // namespace Godwitfork
