#pragma once

#include <string>
#include <vector>

namespace Godwitfork
{

/// Kind of request: a complete or a streamed model answer, or an order to a service.
enum class DemoCall { WholeAnswer, StreamedAnswer, Order };

/// Request of the demonstration.
struct DemoRequest {
    DemoCall call = DemoCall::WholeAnswer;
    /// Client account that sends the request.
    std::string account;
    /// API key of the client account.
    std::string key;
    /// Name of the model or, for an order, of the service.
    std::string target;
    /// Prompt or, for an order, the request body.
    std::string text;
    /// Identity of the session; empty for a request outside a session.
    std::string session;
    /// Idempotency key of an order; empty otherwise.
    std::string idempotencyKey;
};

/// Mixed workload of short prompts, long prompts, one session and one order that is sent twice with the same idempotency key.
std::vector<DemoRequest> demoWorkload();

} // namespace Godwitfork
