#include "ServiceCall.h"

#include "LibCore/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr Duration connectTimeout = std::chrono::milliseconds(500);
constexpr int maxAttempts = 3;

HttpCallOptions optionsFor(const ServiceRequest &request)
{
    const Duration remaining = std::max<Duration>(request.deadline - monotonicNow(), std::chrono::milliseconds(1));
    HttpCallOptions options;
    options.connectTimeout = std::min(connectTimeout, remaining);
    options.responseTimeout = remaining;
    options.idleTimeout = remaining;
    options.reuse = request.idempotency == Idempotency::Idempotent ? ConnectionReuse::Allowed : ConnectionReuse::Never;
    options.mayWrite = request.mayWrite;
    return options;
}

ApiError toApiError(const HttpClientError &error, RanStatus ran)
{
    if (error.failure == HttpFailure::Timeout || error.failure == HttpFailure::Withheld) {
        return apiError("deadline_exceeded", "the deadline passed before the service answered", ran);
    }
    return apiError("endpoint_failed", "no endpoint completed the call: " + error.message, ran);
}

/// Whether the call may be retried on another endpoint after this failure.
bool mayTryAnother(const ServiceRequest &request, const HttpClientError &error)
{
    if (error.failure == HttpFailure::Withheld || monotonicNow() >= request.deadline) {
        return false;
    }
    return error.phase == SendPhase::NotSent || request.idempotency == Idempotency::Idempotent;
}
} // namespace

Asio::awaitable<ServiceResult> callService(Worker &worker, ServiceRequest request)
{
    ServiceResult result;
    result.error = apiError("no_endpoint", "no active endpoint serves this service");
    std::ranges::shuffle(request.endpoints, worker.random);
    int attempts = 0;
    for (const EndpointTarget &endpoint : request.endpoints) {
        if (++attempts > maxAttempts) {
            break;
        }
        result.endpoint = endpoint.name;
        const HttpCallOptions options = optionsFor(request);
        auto response = co_await worker.client.call(endpoint.address, request.message, options);
        if (response) {
            result.outcome = ServiceOutcome::Answered;
            result.response = std::move(response).value();
            co_return result;
        }
        if (response.error().phase == SendPhase::Sent) {
            result.outcome = ServiceOutcome::Uncertain;
        }
        result.error = toApiError(response.error(), result.outcome == ServiceOutcome::Uncertain ? RanStatus::Unknown : RanStatus::No);
        logEvent(LogLevel::Warning, "service.attempt_failed", {{"endpoint", endpoint.name}, {"reason", response.error().message}});
        if (!mayTryAnother(request, response.error())) {
            break;
        }
    }
    co_return result;
}

} // namespace Godwitfork
