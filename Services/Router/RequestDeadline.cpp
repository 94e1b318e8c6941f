#include "RequestDeadline.h"

#include <charconv>
#include <string>

namespace Godwitfork
{

Outcome<MonotonicTime, ApiError> requestDeadline(const HttpRequest &request, MonotonicTime startedAt, const RouterSettings &settings)
{
    const std::string text = headerValue(request.headers, "Godwitfork-Deadline-Ms");
    if (text.empty()) {
        return startedAt + settings.defaultDeadline;
    }
    const auto maximum = std::chrono::duration_cast<std::chrono::milliseconds>(settings.stopLimit).count();
    long long milliseconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    // The range check precedes the conversion to microseconds, which would overflow for very large values.
    if (parsed.ec != std::errc {} || parsed.ptr != text.data() + text.size() || milliseconds < 1 || milliseconds > maximum) {
        return apiError("invalid_request", "Godwitfork-Deadline-Ms must be from 1 to " + std::to_string(maximum));
    }
    return startedAt + std::chrono::milliseconds(milliseconds);
}

} // namespace Godwitfork
