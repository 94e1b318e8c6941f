#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace Godwitfork
{

/// Fast non-cryptographic hash (XXH3). Its values are the same in all processes and releases.
std::uint64_t hash64(std::string_view data, std::uint64_t seed = 0);

/// Score of a node for a key in rendezvous hashing: the key is assigned to the node with the highest score.
std::uint64_t rendezvousScore(std::string_view key, std::string_view node);

/// Maps a hash to a fraction in [0, 1), for draws that are the same in all processes.
double hashFraction(std::uint64_t hash);

/// SHA-256 digest in lower-case hexadecimal.
std::string sha256Hex(std::string_view data);

/// HMAC-SHA-256 in lower-case hexadecimal.
std::string hmacSha256Hex(std::string_view key, std::string_view data);

/// Compares two strings in a time that does not depend on their content, so that the timing does not reveal the position of the
/// first difference.
bool constantTimeEquals(std::string_view left, std::string_view right);

} // namespace Godwitfork
