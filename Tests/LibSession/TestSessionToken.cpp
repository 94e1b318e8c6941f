#include "LibSession/PinCache.h"
#include "LibSession/SessionToken.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace Godwitfork;

namespace
{
const SessionName name {"workshop", "order-17", "blazon"};
const SessionPin pin {"blazon-small", "1.0"};
} // namespace

TEST_CASE("A token is parsed back into its session id, requested model and pin")
{
    const std::string token = makeSessionToken(name, pin, "key");
    const auto header = parseSessionHeader("workshop", token, "key");
    REQUIRE(header);
    CHECK(header.value().id == "order-17");
    CHECK(header.value().requestedModel == "blazon");
    CHECK(header.value().pin == pin);
    CHECK_FALSE(parseSessionHeader("workshop", "order-17", "key").value().hasPin());
}

// Guards against a client account that uses another's session, and against a caller that forges a pin to choose its version.
TEST_CASE("A token of another account, signed with another key or with a changed byte is refused")
{
    const std::string token = makeSessionToken(name, pin, "key");
    CHECK_FALSE(parseSessionHeader("kalender", token, "key"));
    CHECK_FALSE(parseSessionHeader("workshop", token, "other"));
    rc::prop("any changed byte makes the token invalid", [&] {
        std::string changed = token;
        const auto position = *rc::gen::inRange<std::size_t>(0, changed.size());
        changed[position] = *rc::gen::distinctFrom(rc::gen::arbitrary<char>(), token[position]);
        const auto header = parseSessionHeader("workshop", changed, "key");
        const bool carriesPin = header && header.value().hasPin();
        RC_ASSERT(!carriesPin);
    });
}

TEST_CASE("Empty, too long and otherwise malformed session ids are refused")
{
    CHECK_FALSE(parseSessionHeader("workshop", "", "key"));
    CHECK_FALSE(parseSessionHeader("workshop", "a b", "key"));
    CHECK_FALSE(parseSessionHeader("workshop", std::string(129, 'a'), "key"));
    CHECK_FALSE(parseSessionHeader("workshop", "a~b", "key"));
}

// Guards against a cache that grows with the number of sessions without bound.
TEST_CASE("The pin cache is bounded and retains pins that are in use")
{
    PinCache cache(100);
    cache.put("kept", pin);
    int found = 0;
    for (int i = 0; i < 1000; ++i) {
        cache.put("session-" + std::to_string(i), pin);
        CHECK(cache.find("kept") == pin);
    }
    for (int i = 0; i < 1000; ++i) {
        found += cache.find("session-" + std::to_string(i)) ? 1 : 0;
    }
    CHECK(found <= 100);
    cache.erase("kept");
    CHECK_FALSE(cache.find("kept"));
}
