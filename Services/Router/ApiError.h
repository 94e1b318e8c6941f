#pragma once

#include "LibHttp/HttpMessage.h"

#include <string>
#include <string_view>

namespace Godwitfork
{

/// Whether a refused request was executed on an endpoint. `No` is a guarantee: no endpoint can have started it, so repeating
/// it is safe.
enum class RanStatus { No, Yes, Unknown };

const char *ranStatusName(RanStatus ran);

/// Error response of the caller API, specified in section 4 of docs/design.md.
struct ApiError {
    int status = 500;
    std::string code;
    std::string message;
    RanStatus ran = RanStatus::No;
    /// Name of the invalid request parameter; empty if the error concerns no single parameter.
    std::string parameter;

    auto operator<=>(const ApiError &) const = default;
};

/// Creates the error for a stable error code, which also determines the HTTP status; unknown codes map to 500.
ApiError apiError(const std::string &code, std::string message, RanStatus ran = RanStatus::No, std::string parameter = {});

std::string errorBody(const ApiError &error, std::string_view requestId);
HttpResponse errorResponse(const ApiError &error, std::string_view requestId);

} // namespace Godwitfork
