#pragma once

#include "LibCore/Money.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Godwitfork
{

enum class CallerOutcome {
    /// The caller saw the end of a successful response.
    Answered,
    /// The caller saw a whole error response.
    Refused,
    /// Anything else: a lost connection, a timeout, an incomplete response.
    Unknown,
};

/// What the caller of one request sent and saw.
struct CallerRecord {
    /// Position in the sending order, from 0.
    std::int64_t number = 0;
    std::string account;
    CallerOutcome outcome = CallerOutcome::Unknown;
    /// From the response's header or error body; empty if none arrived.
    std::string requestId;
    /// `ran` of an error response.
    std::string ran;
    /// Identity that the engine wrote into the answer's text.
    std::string textRequestId;
    std::int64_t promptWords = 0;
    std::int64_t requestedTokens = 0;
    std::int64_t reportedPromptTokens = 0;
    std::int64_t reportedCompletionTokens = 0;
    /// Number of tokens that the end mark in the answer's text states; 0 without one.
    std::int64_t textEndTokens = 0;
    Microunits reportedCost = 0;
    /// Whether the target bills the request; an engine that is called directly does not.
    bool billed = true;
};

/// One execution of an engine.
struct EngineExecution {
    std::string engine;
    std::string requestId;
    /// `model:version`.
    std::string model;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    bool finished = false;
};

struct LedgerStep {
    /// `model:version`.
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
    Microunits amount = 0;
    std::vector<LedgerStep> steps;

    auto operator<=>(const LedgerRecord &) const = default;
};

/// A broken promise, with the invariant of section 1.1 of docs/design.md that it concerns (or `accounting`).
struct Violation {
    std::string rule;
    std::string requestId;
    std::string message;

    auto operator<=>(const Violation &) const = default;
};

struct CheckInput {
    std::int64_t sent = 0;
    std::vector<CallerRecord> callers;
    std::vector<EngineExecution> executions;
    /// As stored: duplicates included.
    std::vector<LedgerRecord> ledger;
};

/// Compares the callers' view, the executions and the ledger. Empty if all agree.
std::vector<Violation> findViolations(const CheckInput &input);

} // namespace Godwitfork
