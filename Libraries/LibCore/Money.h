#pragma once

#include <cstdint>

namespace Godwitfork
{

/// Amount of money in millionths of the currency unit; an integer, so that sums are exact.
using Microunits = std::int64_t;

} // namespace Godwitfork
