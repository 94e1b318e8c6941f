#pragma once

#include "LibChecker/Checker.h"
#include "LibHttp/HttpClient.h"
#include "Workload.h"

#include <string>
#include <vector>

namespace Godwitfork
{

/// Addresses of the processes of the local deployment.
struct DemoTargets {
    std::vector<HttpAddress> routers;
    std::vector<HttpAddress> engines;
    HttpAddress service;
    HttpAddress store;
};

/// Request together with the response that its caller received.
struct DemoResult {
    DemoRequest request;
    /// HTTP status; 0 if no complete response arrived.
    int status = 0;
    std::string requestId;
    std::string model;
    std::string version;
    std::string answer;
    /// Member `ran` of an error response; `no` if the request was not executed.
    std::string ran;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    Microunits cost = 0;
    /// Time from sending the request to the end of the response.
    Duration latency {};
};

/// Executions and billing records that the stand-ins recorded.
struct StandInRecords {
    std::vector<EngineExecution> executions;
    std::vector<LedgerRecord> ledger;
    /// Idempotency key of each call that the service executed.
    std::vector<std::string> executedOrders;
};

/// Sends the requests one after the other, distributed round-robin over the routers.
boost::asio::awaitable<std::vector<DemoResult>> sendAll(HttpClient &client, const DemoTargets &targets, std::vector<DemoRequest> requests);
/// Reads the records of all stand-ins. Fails if one of them is not reachable or responds with an error.
boost::asio::awaitable<ErrorOr<StandInRecords>> readStandInRecords(HttpClient &client, const DemoTargets &targets);

} // namespace Godwitfork
