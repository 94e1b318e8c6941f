#pragma once

#include "LibChecker/Checker.h"
#include "LibCore/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// Reads an engine stand-in's `GET /executions`. Fails with `malformed_executions`.
ErrorOr<std::vector<EngineExecution>> parseExecutions(std::string_view body);

struct LedgerPage {
    std::vector<LedgerRecord> records;
    /// Name to list after; empty on the last page.
    std::string next;
};

/// Reads one page of the object store's `GET /v1/list?prefix=ledger/`. It does not use the router's ledger code, so that a
/// fault in that code does not hide itself. Fails with `malformed_ledger`.
ErrorOr<LedgerPage> parseLedgerPage(std::string_view body);

} // namespace Godwitfork
