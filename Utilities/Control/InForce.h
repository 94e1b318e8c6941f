#pragma once

#include "ApiClient.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace Godwitfork
{

/// Answers of every server to `GET /v1/status`, merged: the greatest stored revision, each instance once with the
/// greatest revision that a server reports for it, and the servers that did not answer.
nlohmann::json mergedStatus(const Options &options, const ApiClient &client);

/// Polls until the revision or a later one is in force on every instance, up to `options.wait`. Prints the result and
/// returns the exit code.
int reportInForce(const Options &options, const ApiClient &client, std::uint64_t revision);

void printStatusText(const nlohmann::json &status);

} // namespace Godwitfork
