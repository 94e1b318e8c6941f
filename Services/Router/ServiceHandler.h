#pragma once

#include "ClaimStore.h"
#include "LibHttp/HttpServer.h"
#include "LibLedger/BillingRecord.h"
#include "ServiceCall.h"
#include "Worker.h"

#include <string>

namespace Godwitfork
{

/// Handles `POST /v1/services/{service}/{path}` of an authenticated client account. A call to a service that is not
/// idempotent is dispatched under a claim, at most once for each key (design section 5.2).
class ServiceHandler
{
public:
    ServiceHandler(Worker &worker, HttpExchange &exchange, SnapshotPointer snapshot, const ClientAccount &account, std::string requestId);

    /// Whether the path belongs to this handler.
    static bool handles(const std::string &path);
    /// Answers the request and returns the result code for the metrics.
    boost::asio::awaitable<std::string> run();

private:
    Outcome<const Service *, ApiError> findService() const;
    ServiceRequest serviceRequest(const Service &service, MonotonicTime deadline) const;
    Claim wantedClaim(const std::string &key, MonotonicTime deadline);
    boost::asio::awaitable<std::string> runIdempotent(const Service &service, MonotonicTime deadline);
    boost::asio::awaitable<std::string> runClaimed(const Service &service, MonotonicTime deadline);
    boost::asio::awaitable<std::string> dispatch(const Service &service, MonotonicTime deadline, ClaimStep granted);
    boost::asio::awaitable<std::string> refuseClaim(ClaimStep step);
    boost::asio::awaitable<std::string> replay(const Claim &claim);
    boost::asio::awaitable<std::string> refuse(ApiError error);
    boost::asio::awaitable<std::string> answer(HttpResponse response, Microunits cost);
    void openLedgerEntry() const;
    boost::asio::awaitable<Microunits> bill(const Service &service, const ServiceResult &result);

    Worker &worker;
    HttpExchange &exchange;
    SnapshotPointer snapshot;
    const ClientAccount &account;
    ClaimStore claims;
    std::string requestId;
    std::string serviceName;
    /// Path and query at the service.
    std::string serviceTarget;
    std::string claimObject;
    std::uint64_t takeoverVersion = 0;
    MonotonicTime started;
    WallTime admitted;
};

} // namespace Godwitfork
