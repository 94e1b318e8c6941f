#pragma once

#include "LibHttp/HttpClient.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <string>

namespace Godwitfork
{

/// Blocking HTTP call for tests. Every call has its own connection.
HttpOutcome<HttpResponse> callOnce(const HttpAddress &address, HttpRequest request, Duration timeout = std::chrono::seconds(30));

/// `GET target` whose answer is JSON; fails the test on any other answer.
nlohmann::json readJson(const HttpAddress &address, const std::string &target);
void putJson(const HttpAddress &address, const std::string &target, const nlohmann::json &body);

/// Polls a condition each 10 ms. False if it does not become true in time.
bool waitUntil(const std::function<bool()> &condition, Duration limit = std::chrono::seconds(10));

} // namespace Godwitfork
