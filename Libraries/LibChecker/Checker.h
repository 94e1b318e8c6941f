#pragma once

#include "LibCore/Money.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Godwitfork
{

enum class CallerOutcome {
    /// The caller received a successful response completely.
    Answered,
    /// The caller received an error response completely.
    Refused,
    /// The caller received no complete response, for example because of a lost connection or a timeout.
    Unknown,
};

/// What the caller of one request sent and received.
struct CallerRecord {
    /// Position of the request in the order of sending, from 0.
    std::int64_t number = 0;
    /// Client account that sent the request.
    std::string account;
    CallerOutcome outcome = CallerOutcome::Unknown;
    /// Request identity in the response's header or error body; empty if the caller received none.
    std::string requestId;
    /// Member `ran` of an error response; `no` if the request was not executed.
    std::string ran;
    /// Request identity that the engine wrote into the answer's text.
    std::string textRequestId;
    /// Number of words of the prompt; the engine counts each as one token.
    std::int64_t promptWords = 0;
    /// Number of completion tokens that the caller requested.
    std::int64_t requestedTokens = 0;
    /// Number of prompt tokens in the response's usage.
    std::int64_t reportedPromptTokens = 0;
    /// Number of completion tokens in the response's usage.
    std::int64_t reportedCompletionTokens = 0;
    /// Number of tokens that the end mark in the answer's text states; 0 if the text has no end mark.
    std::int64_t textEndTokens = 0;
    /// Cost that the response reports, in millionths of the currency unit.
    Microunits reportedCost = 0;
    /// Whether the request is billed; false for requests that are sent to an engine directly.
    bool billed = true;
};

/// One execution of a request, as its engine recorded it.
struct EngineExecution {
    std::string engine;
    std::string requestId;
    /// Model and version, written `model:version`.
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    /// Whether the execution ran to its end.
    bool finished = false;
};

/// Billed execution of one model as part of a request.
struct LedgerStep {
    /// Model and version, written `model:version`.
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;

    auto operator<=>(const LedgerStep &) const = default;
};

/// One billing record of the ledger.
struct LedgerRecord {
    std::string requestId;
    std::string account;
    std::string outcome;
    /// Billed amount, in millionths of the currency unit.
    Microunits amount = 0;
    std::vector<LedgerStep> steps;

    auto operator<=>(const LedgerRecord &) const = default;
};

/// Violation of an invariant.
struct Violation {
    /// Invariant of section 1.1 of docs/design.md, or `accounting` if a request has no result or more than one.
    std::string rule;
    /// Request that violates the invariant; empty if the violation concerns the whole run.
    std::string requestId;
    std::string message;

    auto operator<=>(const Violation &) const = default;
};

/// Records of one run.
struct CheckInput {
    /// Number of requests that were sent.
    std::int64_t sent = 0;
    std::vector<CallerRecord> callers;
    std::vector<EngineExecution> executions;
    /// Billing records as stored, including duplicates.
    std::vector<LedgerRecord> ledger;
};

/// Compares the callers' records, the engines' executions and the ledger. Returns an empty list if they agree.
std::vector<Violation> findViolations(const CheckInput &input);

} // namespace Godwitfork
