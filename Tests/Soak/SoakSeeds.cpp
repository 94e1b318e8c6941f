#include "SoakSeeds.h"

#include <cstdlib>
#include <sstream>

namespace Godwitfork
{

std::vector<std::uint64_t> soakSeeds(std::vector<std::uint64_t> standard)
{
    const char *text = std::getenv("GODWITFORK_SOAK_SEEDS");
    if (!text) {
        return standard;
    }
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    char dash = 0;
    std::istringstream(text) >> first >> dash >> last;
    standard.clear();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        standard.push_back(seed);
    }
    return standard;
}

} // namespace Godwitfork
