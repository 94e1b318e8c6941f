#pragma once

#include "ApiClient.h"

#include <cstdint>
#include <nlohmann/json_fwd.hpp>

namespace Godwitfork
{

/// Merges the responses of all servers to `GET /v1/status` into one object: `stored_revision` is the greatest stored revision,
/// `instances` lists each instance once with the greatest revision that a server reports for it, and `not_answering` lists the
/// servers without a usable response.
nlohmann::json fetchMergedStatus(const Options &options, const ApiClient &client);

/// Polls the servers until the revision or a later one is in force on every instance, for at most `options.wait`. Prints the
/// result and returns the exit code.
int waitUntilInForce(const Options &options, const ApiClient &client, std::uint64_t revision);

/// Prints a merged status as text.
void printStatusText(const nlohmann::json &status);

} // namespace Godwitfork
