#pragma once

#include "ApiError.h"
#include "LibCore/Error.h"
#include "LibCore/Time.h"
#include "RouterSettings.h"

namespace Godwitfork
{

/// Deadline of a request that arrived at `started`, from `Godwitfork-Deadline-Ms` or the default. Fails with
/// `invalid_request` for a value that is not from 1 to the stop limit.
Outcome<MonotonicTime, ApiError> requestDeadline(const HttpRequest &request, MonotonicTime started, const RouterSettings &settings);

} // namespace Godwitfork
