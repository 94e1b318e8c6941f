#include "LibChecker/Checker.h"
#include "LibChecker/Sources.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

namespace
{
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

/// Two answers, a refusal and a lost request; everything agrees.
CheckInput goodRun()
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

/// Rules broken by a change to the good run, in the order in which they are found.
std::vector<std::string> rulesBroken(void (*change)(CheckInput &))
{
    CheckInput input = goodRun();
    change(input);
    std::vector<std::string> rules;
    for (const Violation &violation : findViolations(input)) {
        rules.push_back(violation.rule);
    }
    return rules;
}

using Rules = std::vector<std::string>;
} // namespace

// Guards against false alarms: keepers may store the same record again, and an interrupted record gives way to a completed one.
TEST_CASE("A run in which everything agrees has no violation")
{
    CHECK(findViolations(goodRun()).empty());
    CHECK(rulesBroken([](CheckInput &input) { input.ledger.push_back(input.ledger[0]); }).empty());
    CHECK(rulesBroken([](CheckInput &input) { input.ledger.push_back({"a", "press", "interrupted", 0, {}}); }).empty());
}

// Guards against a request that vanishes from the account or is counted twice.
TEST_CASE("Every request sent has exactly one result")
{
    CHECK(rulesBroken([](CheckInput &input) { input.sent = 5; }) == Rules {"accounting"});
    CHECK(rulesBroken([](CheckInput &input) { input.callers[3].number = 2; }) == Rules {"accounting", "accounting"});
}

// Guards against an answer that reaches another caller, also if its identity looks right, and against a shortened one.
TEST_CASE("Answers to the wrong caller and incomplete answers are found")
{
    CHECK(rulesBroken([](CheckInput &input) { input.callers[0].textRequestId = "b"; }) == Rules {"I5"});
    CHECK(rulesBroken([](CheckInput &input) { input.callers[0].reportedPromptTokens = 5; }) == Rules {"I5"});
    CHECK(rulesBroken([](CheckInput &input) { input.callers[0].textEndTokens = 0; }) == Rules {"I5"});
    CHECK(rulesBroken([](CheckInput &input) { input.callers[1].requestId = input.callers[1].textRequestId = "a"; }) == Rules {"I5", "I4"});
    CHECK(rulesBroken([](CheckInput &input) { input.executions.erase(input.executions.begin()); }) == Rules {"I5", "I4"});
}

// Guards against a refusal that claims that nothing ran although an engine executed the request.
TEST_CASE("A false 'ran: no' is found")
{
    CHECK(rulesBroken([](CheckInput &input) {
              input.executions[2].requestId = "c";
              input.ledger.push_back({"c", "press", "failed", 0, {}});
          })
          == Rules {"I6"});
}

// Guards against lost, wrong and duplicate bills.
TEST_CASE("Bills are compared with answers and executions")
{
    CHECK(rulesBroken([](CheckInput &input) { input.ledger.pop_back(); }) == Rules {"I4", "I4"});
    CHECK(rulesBroken([](CheckInput &input) { input.ledger[0].amount = 71; }) == Rules {"I4"});
    CHECK(rulesBroken([](CheckInput &input) { input.ledger[0].account = "other"; }) == Rules {"I4"});
    CHECK(rulesBroken([](CheckInput &input) { input.ledger[0].steps[0].completionTokens = 10; }) == Rules {"I4"});
    CHECK(rulesBroken([](CheckInput &input) { input.ledger[0].outcome = "failed"; }) == Rules {"I4", "I4"});
    CHECK(rulesBroken([](CheckInput &input) { input.ledger.push_back({"a", "press", "completed", 60, {{"m:1", 4, 9}}}); }) == Rules {"I4"});
    CHECK(rulesBroken([](CheckInput &input) { input.ledger.push_back({"x", "press", "aborted", 10, {}}); }) == Rules {"I4", "I4"});
    CHECK(rulesBroken([](CheckInput &input) { input.executions.push_back({"e1", "x", "m:1", 4, 9, true}); }) == Rules {"I4"});
}

// Guards against a source in another format that is read as an empty one, which would let every check pass.
TEST_CASE("Malformed sources are errors")
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
