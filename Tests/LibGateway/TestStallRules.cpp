#include "LibGateway/StallRules.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const StallLimits limits {300ms, 2s, 1200ms};
}

TEST_CASE("An overloaded engine that produces output for others is waited for", "[stall]")
{
    // Pattern: a peak; giving up a queued prompt and reading it elsewhere doubles the load that delays it.
    CHECK_FALSE(isStalled({false, 5s, 100ms}, limits));
    CHECK_FALSE(isStalled({true, 4s, 100ms}, limits));
}

TEST_CASE("A silent connection ends its attempt", "[stall]")
{
    // Pattern: open connections go silent while new ones work, or an endpoint goes dark.
    CHECK(isStalled({false, 4100ms, Duration::max()}, limits));
    CHECK(isStalled({true, 3700ms, 5s}, limits));
    CHECK_FALSE(isStalled({true, 3500ms, 5s}, limits));
}

TEST_CASE("Output for others does not hide a silent connection for ever", "[stall]")
{
    CHECK(isStalled({false, 9s, 100ms}, limits));
    CHECK(isStalled({true, 8s, 100ms}, limits));
}

TEST_CASE("A long expected queue extends the wait for the first event", "[stall]")
{
    CHECK_FALSE(isStalled({false, 7s, Duration::max()}, {2s, 2s, 1200ms}));
}
