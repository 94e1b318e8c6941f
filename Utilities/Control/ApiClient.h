#pragma once

#include "LibHttp/HttpClient.h"
#include "Options.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace Godwitfork
{

/// Blocking client of the administration API.
class ApiClient
{
public:
    explicit ApiClient(const Options &options);

    /// Sends the request to one server and returns the response, or `std::nullopt` if there is none.
    std::optional<HttpResponse> call(const HttpAddress &server, const HttpRequest &request) const;
    /// Sends a GET request to one server after the other until a response has a status below 500. If none has, returns the last
    /// error response, or `std::nullopt` if no server responded.
    std::optional<HttpResponse> read(const std::string &target) const;
    /// Sends a POST request to one server after the other, in several rounds, until a response has a status below 500. If none has,
    /// returns as `read` does. Repetition is safe, because the server recognises by the token in the body that an earlier attempt
    /// took effect.
    std::optional<HttpResponse> change(const std::string &target, const nlohmann::json &body) const;

private:
    /// The request with the operator key and, if it has a body, the content type in its headers.
    HttpRequest authorized(HttpRequest request) const;

    const Options &options;
};

} // namespace Godwitfork
