#pragma once

#include "ApiError.h"
#include "LibHttp/HttpClient.h"
#include "Worker.h"

#include <functional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Parameters of one call to a plain service on behalf of a caller.
struct ServiceRequest {
    HttpRequest message;
    std::vector<EndpointTarget> endpoints;
    MonotonicTime deadline;
    Idempotency idempotency = Idempotency::NotIdempotent;
    /// Called immediately before the first byte is written to an endpoint; returning false cancels the call.
    std::function<bool()> mayWrite;
};

enum class ServiceOutcome {
    Answered,
    /// No byte of the request reached any endpoint.
    NotSent,
    /// An endpoint may have executed the request.
    Uncertain,
};

struct ServiceResult {
    ServiceOutcome outcome = ServiceOutcome::NotSent;
    std::string endpoint;
    HttpResponse response;
    /// Cause of the failure; valid unless `outcome` is `Answered`.
    ApiError error;
};

/// Calls the endpoints in random order until one answers. A non-idempotent request is sent at most once and on a new
/// connection: the service may close a pooled connection while the request is being sent, and the caller cannot distinguish
/// this from an executed request.
boost::asio::awaitable<ServiceResult> callService(Worker &worker, ServiceRequest request);

} // namespace Godwitfork
