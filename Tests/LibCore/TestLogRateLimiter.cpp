#include "LibCore/LogRateLimiter.h"
#include "LibCore/NonBlockingSink.h"

#include <catch2/catch.hpp>
#include <spdlog/logger.h>

#include <string>
#include <unistd.h>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start {1000s};
}

TEST_CASE("Routine lines are dropped before important ones", "[log]")
{
    LogRateLimiter limiter(10, 100);
    int routine = 0;
    for (int i = 0; i < 200; ++i) {
        routine += limiter.tryTake(LogImportance::Routine, start) ? 1 : 0;
    }
    CHECK(routine == 60);
    int important = 0;
    for (int i = 0; i < 200; ++i) {
        important += limiter.tryTake(LogImportance::Important, start) ? 1 : 0;
    }
    CHECK(important == 40);
    CHECK(limiter.takeDropped() == 300);
    CHECK(limiter.takeDropped() == 0);
}

TEST_CASE("Tokens are refilled at the configured rate", "[log]")
{
    LogRateLimiter limiter(10, 10);
    while (limiter.tryTake(LogImportance::Important, start)) { }
    CHECK_FALSE(limiter.tryTake(LogImportance::Important, start + 50ms));
    CHECK(limiter.tryTake(LogImportance::Important, start + 200ms));
}

TEST_CASE("Lines are dropped without blocking when the reader of the pipe has stopped", "[log]")
{
    // Guards against a process that blocks because its log is not read.
    int ends[2];
    REQUIRE(::pipe(ends) == 0);
    auto sink = std::make_shared<NonBlockingSink>(ends[1]);
    spdlog::logger logger("test", sink);
    const std::string line(1000, 'x');
    for (int i = 0; i < 1000; ++i) {
        logger.info(line);
    }
    CHECK(sink->takeDropped() > 0);
    ::close(ends[0]);
    ::close(ends[1]);
}
