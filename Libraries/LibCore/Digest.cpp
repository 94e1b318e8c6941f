#include "LibCore/Digest.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/sha.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <array>
#include <span>

namespace Godwitfork
{

namespace
{
std::string toHex(std::span<const unsigned char> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const unsigned char byte : bytes) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0x0fU]);
    }
    return text;
}
} // namespace

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

double hashFraction(std::uint64_t hash)
{
    // A double has 53 bits of precision.
    return static_cast<double>(hash >> 11) / static_cast<double>(std::uint64_t {1} << 53);
}

std::uint64_t rendezvousScore(std::string_view key, std::string_view node)
{
    return hash64(key, hash64(node));
}

std::string sha256Hex(std::string_view data)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
    SHA256(reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data());
    return toHex(digest);
}

std::string hmacSha256Hex(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(data.data()), data.size(), digest.data(), &length);
    return toHex(std::span(digest).first(length));
}

bool constantTimeEquals(std::string_view left, std::string_view right)
{
    // The length of a digest is public, so an early return for different lengths reveals nothing.
    if (left.size() != right.size()) {
        return false;
    }
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace Godwitfork
