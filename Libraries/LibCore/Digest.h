#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Godwitfork
{

/// Fast non-cryptographic hash (XXH3), stable across processes and releases.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Rendezvous (highest random weight) score of a node for a key.
std::uint64_t rendezvousScore(std::string_view key, std::string_view node);

/// SHA-256 in lower-case hexadecimal.
std::string sha256Hex(std::string_view data);

/// HMAC-SHA-256 in lower-case hexadecimal.
std::string hmacSha256Hex(std::string_view key, std::string_view data);

/// Compares without a data-dependent running time, so that the position of the first difference does not leak.
bool constantTimeEquals(std::string_view left, std::string_view right);

} // namespace Godwitfork
