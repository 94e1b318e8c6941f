#pragma once

#include "ClaimStore.h"
#include "LibHttp/HttpServer.h"
#include "LibLedger/BillingRecord.h"
#include "ServiceCall.h"
#include "Worker.h"

#include <string>

namespace Godwitfork
{

/// Handles `POST /v1/services/{service}/{path}` of an authenticated client account. A call to a non-idempotent service is
/// dispatched under a claim, at most once per idempotency key (design section 5.2).
class ServiceHandler
{
public:
    ServiceHandler(Worker &worker, HttpExchange &exchange, SnapshotPointer snapshot, const ClientAccount &account, std::string requestId);

    /// Whether this handler is responsible for the path.
    static bool handles(const std::string &path);
    /// Handles the request, sends the response and returns the result code for the metrics.
    boost::asio::awaitable<std::string> run();

private:
    Outcome<const Service *, ApiError> findService() const;
    ServiceRequest makeServiceRequest(const Service &service, MonotonicTime deadline) const;
    Claim makeClaim(const std::string &key, MonotonicTime deadline);
    boost::asio::awaitable<std::string> runIdempotent(const Service &service, MonotonicTime deadline);
    boost::asio::awaitable<std::string> runClaimed(const Service &service, MonotonicTime deadline);
    boost::asio::awaitable<std::string> dispatch(const Service &service, MonotonicTime deadline, ClaimStep grantedStep);
    boost::asio::awaitable<std::string> refuseClaim(ClaimStep step);
    boost::asio::awaitable<std::string> replay(const Claim &claim);
    boost::asio::awaitable<std::string> refuse(ApiError error);
    boost::asio::awaitable<std::string> forwardResponse(HttpResponse response, Microunits cost);
    void openLedgerEntry() const;
    /// Commits the billing record of the call and returns the price charged to the account.
    boost::asio::awaitable<Microunits> commitBillingRecord(const Service &service, const ServiceResult &result);

    Worker &worker;
    HttpExchange &exchange;
    SnapshotPointer snapshot;
    const ClientAccount &account;
    ClaimStore claims;
    std::string requestId;
    std::string serviceName;
    /// Path and query of the request to the service.
    std::string serviceTarget;
    /// Name of the claim object in the store.
    std::string claimObject;
    /// Version at which this request tried to take over a released claim; 0 if it only tried to create one.
    std::uint64_t takeoverVersion = 0;
    MonotonicTime startedAt;
    WallTime admittedAt;
};

} // namespace Godwitfork
