#pragma once

#include "LibHttp/HttpClient.h"
#include "Options.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace Godwitfork
{

/// Sends requests to the administration API and waits for their answers.
class ApiClient
{
public:
    explicit ApiClient(const Options &options);

    /// Answer of one server; empty if it is not reachable.
    std::optional<HttpResponse> call(const HttpAddress &server, const HttpRequest &request) const;
    /// First answer that any server gives. Servers whose store is not reachable are passed over if another one answers.
    std::optional<HttpResponse> read(const std::string &target) const;
    /// Sends a change with its token until a server gives a definite answer, for several rounds over all servers. Safe to
    /// repeat, because the token lets the server recognise an earlier try that took effect.
    std::optional<HttpResponse> change(const std::string &target, const nlohmann::json &body) const;

private:
    HttpRequest authorized(HttpRequest request) const;

    const Options &options;
};

} // namespace Godwitfork
