#pragma once

#include "ApiError.h"
#include "LibHttp/HttpClient.h"
#include "Worker.h"

#include <functional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// One call of a plain service on behalf of a caller.
struct ServiceRequest {
    HttpRequest message;
    std::vector<EndpointTarget> endpoints;
    MonotonicTime deadline;
    Idempotency idempotency = Idempotency::NotIdempotent;
    /// Asked directly before the first byte goes to an endpoint; false ends the call.
    std::function<bool()> mayWrite;
};

enum class ServiceOutcome {
    Answered,
    /// No byte of the request reached any endpoint.
    NotSent,
    /// An endpoint may have carried out the request.
    Uncertain,
};

struct ServiceResult {
    ServiceOutcome outcome = ServiceOutcome::NotSent;
    std::string endpoint;
    HttpResponse response;
    /// Set unless the service answered.
    ApiError error;
};

/// Calls the endpoints in random order until one answers. A request that is not idempotent is sent at most once, on a
/// fresh connection: a pooled one may be closed by the service just as the request goes out, which cannot be told from a
/// request that ran.
boost::asio::awaitable<ServiceResult> callService(Worker &worker, ServiceRequest request);

} // namespace Godwitfork
