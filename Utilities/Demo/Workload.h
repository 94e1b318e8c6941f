#pragma once

#include <string>
#include <vector>

namespace Godwitfork
{

enum class DemoCall { WholeAnswer, StreamedAnswer, Order };

/// One request of the demonstration.
struct DemoRequest {
    DemoCall call = DemoCall::WholeAnswer;
    std::string account;
    std::string key;
    /// Model, or service for an order.
    std::string target;
    std::string text;
    std::string session;
    std::string idempotencyKey;
};

/// The mixed workload: short blazons and order sheets, long summaries, one session and one order that is sent twice.
std::vector<DemoRequest> demoWorkload();

} // namespace Godwitfork
