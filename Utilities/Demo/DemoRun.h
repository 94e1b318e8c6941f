#pragma once

#include "LibChecker/Checker.h"
#include "LibHttp/HttpClient.h"
#include "Workload.h"

#include <string>
#include <vector>

namespace Godwitfork
{

/// Processes of the local deployment.
struct DemoTargets {
    std::vector<HttpAddress> routers;
    std::vector<HttpAddress> engines;
    HttpAddress service;
    HttpAddress store;
};

/// One request with what its caller saw.
struct DemoResult {
    DemoRequest request;
    int status = 0;
    std::string requestId;
    std::string model;
    std::string version;
    std::string answer;
    std::string ran;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    Microunits cost = 0;
    Duration latency {};
};

/// What the stand-ins recorded.
struct DemoEvidence {
    std::vector<EngineExecution> executions;
    std::vector<LedgerRecord> ledger;
    /// Calls that the service carried out, by idempotency key, one entry a call.
    std::vector<std::string> orders;
};

/// Sends the requests one after the other, in turn to each router.
boost::asio::awaitable<std::vector<DemoResult>> sendAll(HttpClient &client, const DemoTargets &targets, std::vector<DemoRequest> requests);
/// Fails if a stand-in cannot be read.
boost::asio::awaitable<ErrorOr<DemoEvidence>> readEvidence(HttpClient &client, const DemoTargets &targets);

} // namespace Godwitfork
