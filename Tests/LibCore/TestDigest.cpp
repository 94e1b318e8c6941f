#include "LibCore/Digest.h"
#include "LibCore/Identifier.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

// Guards against a non-standard digest, with which no key would match its stored hash.
TEST_CASE("SHA-256 and HMAC-SHA-256 match published test vectors")
{
    CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    CHECK(hmacSha256Hex("key", "The quick brown fox jumps over the lazy dog") == "f7bc83f430538424b13298e6aa6fb143ef4d59a14946175997479dbc2d1a3cd8");
}

// Guards against accepting a key that is only a prefix of the stored one.
TEST_CASE("Constant-time comparison detects differences in length and content")
{
    CHECK(constantTimeEquals("same", "same"));
    CHECK_FALSE(constantTimeEquals("same", "samx"));
    CHECK_FALSE(constantTimeEquals("same", "sam"));
}

// Guards against a retried ledger write that goes to another hour bucket than the first attempt.
TEST_CASE("The hour bucket of a request follows from its identifier")
{
    RandomSource random(7);
    const WallTime admitted {std::chrono::hours(495000) + std::chrono::minutes(59)};
    const std::string id = makeRequestId(admitted, random);
    CHECK(id.size() == 32);
    CHECK(hourBucketOf(id) == "495000");
    CHECK(hourBucketOf("short").empty());
    CHECK(hourBucketOf("zz" + id.substr(2)).empty());
}
