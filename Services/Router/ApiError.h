#pragma once

#include "LibHttp/HttpMessage.h"

#include <string>
#include <string_view>

namespace Godwitfork
{

/// Whether a refused request ran on an endpoint. `No` is a promise: no byte of it reached an endpoint that could act on it.
enum class Ran { No, Yes, Unknown };

const char *ranName(Ran ran);

/// Error of the callers' API, as in section 4 of docs/design.md.
struct ApiError {
    int status = 500;
    std::string code;
    std::string message;
    Ran ran = Ran::No;
    /// Request parameter that is at fault; may be empty.
    std::string parameter;

    auto operator<=>(const ApiError &) const = default;
};

/// Builds the error for a stable code; its HTTP status follows from the code.
ApiError apiError(const std::string &code, std::string message, Ran ran = Ran::No, std::string parameter = {});

std::string errorBody(const ApiError &error, std::string_view requestId);
HttpResponse errorResponse(const ApiError &error, std::string_view requestId);

} // namespace Godwitfork
