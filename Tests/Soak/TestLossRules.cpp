#include "LossRules.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start(1000s);
const LossBounds bounds;
const std::vector<PlannedWork> stop = {{WorkKind::Stop, 1, start}};

/// A stream that was passed on and whose connection closed in the middle.
RequestRecord cut(Duration sent, Duration ended)
{
    RequestRecord record;
    record.instance = 1;
    record.limit = 12s;
    record.sent = start + sent;
    record.ended = start + ended;
    record.end = AnswerEnd::Closed;
    record.passedOn = record.sent + 1ms;
    record.lastWork = record.sent + 1s;
    return record;
}

std::size_t lost(const RequestRecord &record, const std::vector<PlannedWork> &works = stop, const std::vector<Disruption> &disruptions = {})
{
    return findLost({record}, works, disruptions, bounds).size();
}
} // namespace

TEST_CASE("A request that was passed on and cut around a stop is lost")
{
    CHECK(lost(cut(1s, 2s)) == 1);
    CHECK(lost(cut(-1s, 2s)) == 1);
    CHECK(lost(cut(7s, 9s)) == 1);
    CHECK(lost(cut(7s, 9001ms)) == 0);
    CHECK(lost(cut(-2s, -1ms)) == 0);
    RequestRecord record = cut(1s, 2s);
    record.end = AnswerEnd::Complete;
    CHECK(lost(record) == 0);
    record.end = AnswerEnd::GivenUp;
    CHECK(lost(record) == 0);
    record = cut(1s, 2s);
    record.instance = 2;
    CHECK(lost(record) == 0);
}

TEST_CASE("A request that crosses a close and is not passed on is not lost")
{
    RequestRecord record = cut(1s, 1200ms);
    record.passedOn.reset();
    CHECK(lost(record) == 0);
    record.ended = start + 1201ms;
    CHECK(lost(record) == 1);
}

TEST_CASE("Broken endpoints, reached limits, disruptions and work until the end of a stop excuse a cut")
{
    RequestRecord record = cut(1s, 2s);
    record.isBrokenOff = true;
    CHECK(lost(record) == 0);
    record = cut(-11s, 1s);
    CHECK(lost(record) == 0);
    CHECK(lost(cut(1s, 2s), stop, {{1, start - 2s, start - 1s}}) == 0);
    CHECK(lost(cut(1s, 2s), stop, {{1, start - 4s, start - 2100ms}}) == 1);
    CHECK(lost(cut(1s, 2s), stop, {{2, start, start + 1s}}) == 1);
    record = cut(3s, 7600ms);
    record.lastWork = record.ended;
    CHECK(lost(record) == 0);
    record.lastWork = start + 6600ms;
    CHECK(lost(record) == 1);
    record = cut(3001ms, 7600ms);
    record.lastWork = record.ended;
    CHECK(lost(record) == 1);
}

TEST_CASE("Cuts after SIGHUP count for requests sent up to the configuration limit after it")
{
    const std::vector<PlannedWork> reload = {{WorkKind::Reload, 1, start}};
    CHECK(lost(cut(2s, 8s), reload) == 1);
    CHECK(lost(cut(2001ms, 3s), reload) == 0);
    CHECK(lost(cut(-1s, -1ms), reload) == 0);
}

TEST_CASE("Cuts beside a configuration count where they are clearly more often than at other times")
{
    const std::vector<PlannedWork> change = {{WorkKind::Configuration, -1, start}};
    CHECK(lost(cut(1s, 2s), change) == 0);
    RequestRecord whole = cut(10s, 11s);
    whole.end = AnswerEnd::Complete;
    CHECK(findLost({cut(1s, 2s), whole}, change, {}, bounds).size() == 1);
    CHECK(findLost({cut(1s, 2s), cut(10s, 11s)}, change, {}, bounds).empty());
    CHECK(findLost({cut(-7s, 1400ms), whole}, change, {}, bounds).empty());
}

TEST_CASE("Kept connections that close without an answer are found at any time")
{
    RequestRecord record = cut(100s, 101s);
    record.isKept = true;
    CHECK(findUnanswered({record}, {}, bounds).size() == 1);
    CHECK(findUnanswered({record}, {{1, start + 98s, start + 99s}}, bounds).empty());
    record.receivedBytes = 1;
    CHECK(findUnanswered({record}, {}, bounds).empty());
}
