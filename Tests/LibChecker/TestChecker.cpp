#include "LibChecker/Checker.h"
#include "LibChecker/Sources.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

namespace
{
/// Caller of an answered request whose response is consistent.
CallerRecord answered(std::int64_t number, const std::string &id)
{
    CallerRecord caller;
    caller.number = number;
    caller.account = "press";
    caller.outcome = CallerOutcome::Answered;
    caller.requestId = caller.textRequestId = id;
    caller.promptWords = caller.reportedPromptTokens = 4;
    caller.requestedTokens = caller.reportedCompletionTokens = caller.textEndTokens = 9;
    caller.reportedCost = 70;
    return caller;
}

/// Run without violations: two answered requests, a refused one and one with an unknown outcome.
CheckInput consistentRun()
{
    CheckInput input;
    input.sent = 4;
    CallerRecord refused;
    refused.number = 2;
    refused.outcome = CallerOutcome::Refused;
    refused.requestId = "c";
    refused.ran = "no";
    CallerRecord lost;
    lost.number = 3;
    input.callers = {answered(0, "a"), answered(1, "b"), refused, lost};
    input.executions = {{"e1", "a", "m:1", 4, 9, true}, {"e1", "b", "m:1", 4, 9, true}, {"e2", "d", "m:1", 4, 2, false}};
    input.ledger = {{"a", "press", "completed", 70, {{"m:1", 4, 9}}}, {"b", "press", "completed", 70, {{"m:1", 4, 9}}}};
    return input;
}

/// Rules that a change to the consistent run violates, in the order in which the checker finds them.
std::vector<std::string> violatedRules(void (*change)(CheckInput &))
{
    CheckInput input = consistentRun();
    change(input);
    std::vector<std::string> rules;
    for (const Violation &violation : findViolations(input)) {
        rules.push_back(violation.rule);
    }
    return rules;
}

using Rules = std::vector<std::string>;
} // namespace

// Guards against false positives: journal replicas may store the same record more than once, and a completed record takes
// precedence over an interrupted one.
TEST_CASE("A consistent run has no violations")
{
    CHECK(findViolations(consistentRun()).empty());
    CHECK(violatedRules([](CheckInput &input) { input.ledger.push_back(input.ledger[0]); }).empty());
    CHECK(violatedRules([](CheckInput &input) { input.ledger.push_back({"a", "press", "interrupted", 0, {}}); }).empty());
}

// Guards against a request without a result and against one that is counted twice.
TEST_CASE("A request with no result or with two results is found")
{
    CHECK(violatedRules([](CheckInput &input) { input.sent = 5; }) == Rules {"accounting"});
    CHECK(violatedRules([](CheckInput &input) { input.callers[3].number = 2; }) == Rules {"accounting", "accounting"});
}

// Guards against an answer that is delivered to the wrong caller, even with the expected request identity, and against a
// truncated answer.
TEST_CASE("Answers to the wrong caller and incomplete answers are found")
{
    CHECK(violatedRules([](CheckInput &input) { input.callers[0].textRequestId = "b"; }) == Rules {"I5"});
    CHECK(violatedRules([](CheckInput &input) { input.callers[0].reportedPromptTokens = 5; }) == Rules {"I5"});
    CHECK(violatedRules([](CheckInput &input) { input.callers[0].textEndTokens = 0; }) == Rules {"I5"});
    CHECK(violatedRules([](CheckInput &input) { input.callers[1].requestId = input.callers[1].textRequestId = "a"; }) == Rules {"I5", "I4"});
    CHECK(violatedRules([](CheckInput &input) { input.executions.erase(input.executions.begin()); }) == Rules {"I5", "I4"});
}

// Guards against an error response that reports `ran: no` although an engine executed the request.
TEST_CASE("A refused request with 'ran: no' that an engine executed is found")
{
    CHECK(violatedRules([](CheckInput &input) {
              input.executions[2].requestId = "c";
              input.ledger.push_back({"c", "press", "failed", 0, {}});
          })
          == Rules {"I6"});
}

// Guards against missing, incorrect and duplicate billing records.
TEST_CASE("Billing records that differ from answers or executions are found")
{
    CHECK(violatedRules([](CheckInput &input) { input.ledger.pop_back(); }) == Rules {"I4", "I4"});
    CHECK(violatedRules([](CheckInput &input) { input.ledger[0].amount = 71; }) == Rules {"I4"});
    CHECK(violatedRules([](CheckInput &input) { input.ledger[0].account = "other"; }) == Rules {"I4"});
    CHECK(violatedRules([](CheckInput &input) { input.ledger[0].steps[0].completionTokens = 10; }) == Rules {"I4"});
    CHECK(violatedRules([](CheckInput &input) { input.ledger[0].outcome = "failed"; }) == Rules {"I4", "I4"});
    CHECK(violatedRules([](CheckInput &input) { input.ledger.push_back({"a", "press", "completed", 60, {{"m:1", 4, 9}}}); }) == Rules {"I4"});
    CHECK(violatedRules([](CheckInput &input) { input.ledger.push_back({"x", "press", "aborted", 10, {}}); }) == Rules {"I4", "I4"});
    CHECK(violatedRules([](CheckInput &input) { input.executions.push_back({"e1", "x", "m:1", 4, 9, true}); }) == Rules {"I4"});
}

// Guards against input in an unexpected format that is parsed as an empty list, with which every check would pass.
TEST_CASE("Malformed executions and ledger pages are errors")
{
    const auto executions =
        parseExecutions(R"({"engine":"e","executions":[{"request_id":"a","model":"m:1","prompt_tokens":4,"completion_tokens":9,"state":"finished"}]})");
    REQUIRE(executions);
    CHECK(executions.value().at(0).finished);
    const auto page = parseLedgerPage(
        R"({"next":"n","objects":[{"value":{"records":[{"request_id":"a","account":"p","outcome":"completed","amount":7,"steps":[
            {"model":"m","version":"1","prompt_tokens":4,"completion_tokens":9}]}]}}]})");
    REQUIRE(page);
    CHECK(page.value().next == "n");
    CHECK(page.value().records.at(0) == LedgerRecord {"a", "p", "completed", 7, {{"m:1", 4, 9}}});
    for (const char *text : {"", "{}", "[]", R"({"executions":[{}]})", R"({"next":"","objects":[{"value":{}}]})"}) {
        CHECK_FALSE(parseExecutions(text));
        CHECK_FALSE(parseLedgerPage(text));
    }
}
