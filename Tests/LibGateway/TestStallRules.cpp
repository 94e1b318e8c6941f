#include "LibGateway/StallRules.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const StallLimits limits {300ms, 2s, 1200ms};
}

TEST_CASE("An overloaded engine that sends output to other requests gets a longer timeout", "[stall]")
{
    // At a load peak, reading a queued prompt again at another endpoint doubles the load that delays it.
    CHECK_FALSE(isStalled({false, 5s, 100ms}, limits));
    CHECK_FALSE(isStalled({true, 4s, 100ms}, limits));
}

TEST_CASE("An engine that only other instances hear from counts as alive although their reports are late", "[stall]")
{
    // With more instances than engines, an instance mostly has no other request at a given engine.
    CHECK_FALSE(isStalled({false, 5s, 1900ms}, limits));
    CHECK_FALSE(isStalled({true, 4s, 1900ms}, limits));
    CHECK(isStalled({false, 5s, 2600ms}, limits));
}

TEST_CASE("A stream without events stalls if its endpoint sends no output at all", "[stall]")
{
    // Open connections stop delivering data while new ones work, or an endpoint becomes unreachable.
    CHECK(isStalled({false, 4100ms, Duration::max()}, limits));
    CHECK(isStalled({true, 3700ms, 5s}, limits));
    CHECK_FALSE(isStalled({true, 3500ms, 5s}, limits));
}

TEST_CASE("Output to other requests extends the stall timeout only up to a limit", "[stall]")
{
    CHECK(isStalled({false, 9s, 100ms}, limits));
    CHECK(isStalled({true, 8s, 100ms}, limits));
}

TEST_CASE("A long expected time extends the timeout of the first event", "[stall]")
{
    CHECK_FALSE(isStalled({false, 7s, Duration::max()}, {2s, 2s, 1200ms}));
}

TEST_CASE("A plain request stalls once the time that it leaves to its endpoint has passed", "[stall]")
{
    // The rest of its time is for another endpoint, whatever this one sends to others.
    const StallLimits plain {300ms, 2s, 1200ms, 600ms};
    CHECK_FALSE(isStalled({false, 600ms, 100ms}, plain));
    CHECK(isStalled({false, 601ms, 100ms}, plain));
}
