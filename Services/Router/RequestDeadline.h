#pragma once

#include "ApiError.h"
#include "LibCore/Error.h"
#include "LibCore/Time.h"
#include "RouterSettings.h"

namespace Godwitfork
{

/// Deadline of a request that arrived at `startedAt`, from the `Godwitfork-Deadline-Ms` header or the default. Fails with
/// `invalid_request` for a value below 1 or above the stop limit.
Outcome<MonotonicTime, ApiError> requestDeadline(const HttpRequest &request, MonotonicTime startedAt, const RouterSettings &settings);

} // namespace Godwitfork
