#pragma once

#include "LibChecker/Checker.h"
#include "LibCore/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// Parses the response of an engine stand-in to `GET /executions`. Fails with `malformed_executions`.
ErrorOr<std::vector<EngineExecution>> parseExecutions(std::string_view body);

/// Billing records of one page of the ledger's listing.
struct LedgerPage {
    std::vector<LedgerRecord> records;
    /// Object name after which the next page starts; empty on the last page.
    std::string next;
};

/// Parses one page of the object store's response to `GET /v1/list?prefix=ledger/`. Does not use the router's ledger code, so that
/// the check can detect a fault in that code. Fails with `malformed_ledger`.
ErrorOr<LedgerPage> parseLedgerPage(std::string_view body);

} // namespace Godwitfork
