#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

struct HttpHeader {
    std::string name;
    std::string value;

    auto operator<=>(const HttpHeader &) const = default;
};

using HttpHeaders = std::vector<HttpHeader>;

/// First value of a header, compared without case; empty if it is missing.
std::string headerValue(const HttpHeaders &headers, std::string_view name);

/// Key of an `Authorization: Bearer KEY` header; empty if there is none.
std::string bearerKey(const HttpHeaders &headers);

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;

    auto operator<=>(const HttpRequest &) const = default;
};

/// Builds a request. Coroutines use this instead of braces, because g++ 12 rejects or miscompiles braced initializers
/// inside a co_await expression.
HttpRequest makeRequest(std::string method, std::string target, std::string body = {}, HttpHeaders headers = {});

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;

    auto operator<=>(const HttpResponse &) const = default;
};

HttpResponse jsonResponse(int status, std::string body);

/// TCP address of a listener; an IP address, never a name, because instances talk by IP addresses.
struct HttpAddress {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const HttpAddress &) const = default;
};

/// Parses `ip:port`; an IPv6 address stands in brackets. Returns port 0 and an empty host for malformed text.
HttpAddress parseHttpAddress(std::string_view text);
std::string toText(const HttpAddress &address);

/// Path of a target without its query.
std::string targetPath(std::string_view target);

/// Value of a query parameter, percent-decoded; empty if it is missing.
std::string queryValue(std::string_view target, std::string_view name);

/// Percent-encodes everything but unreserved characters.
std::string percentEncode(std::string_view text);
std::string percentDecode(std::string_view text);

} // namespace Godwitfork
