#include "LibCore/Random.h"

namespace Godwitfork
{

RandomSource systemSeededRandomSource()
{
    std::random_device device;
    std::seed_seq seed {device(), device(), device(), device()};
    return RandomSource(seed);
}

} // namespace Godwitfork
