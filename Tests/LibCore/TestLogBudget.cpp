#include "LibCore/LogBudget.h"
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

TEST_CASE("Under load routine lines are dropped before important ones", "[log]")
{
    LogBudget budget(10, 100);
    int routine = 0;
    for (int i = 0; i < 200; ++i) {
        routine += budget.take(LogImportance::Routine, start) ? 1 : 0;
    }
    CHECK(routine == 60);
    int important = 0;
    for (int i = 0; i < 200; ++i) {
        important += budget.take(LogImportance::Important, start) ? 1 : 0;
    }
    CHECK(important == 40);
    CHECK(budget.takeDropped() == 300);
    CHECK(budget.takeDropped() == 0);
}

TEST_CASE("The budget fills again with time", "[log]")
{
    LogBudget budget(10, 10);
    while (budget.take(LogImportance::Important, start)) { }
    CHECK_FALSE(budget.take(LogImportance::Important, start + 50ms));
    CHECK(budget.take(LogImportance::Important, start + 200ms));
}

TEST_CASE("A reader that has stopped delays no line", "[log]")
{
    // Guards against a process that hangs because nobody reads its log.
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
