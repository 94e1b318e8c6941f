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

/// Value of the first header with the given name, compared case-insensitively; empty if there is none.
std::string headerValue(const HttpHeaders &headers, std::string_view name);

/// Key from an `Authorization: Bearer KEY` header; empty if there is none.
std::string bearerKey(const HttpHeaders &headers);

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/";
    HttpHeaders headers;
    std::string body;

    auto operator<=>(const HttpRequest &) const = default;
};

/// Builds a request. Coroutines use this function because g++ 12 rejects or miscompiles braced initialisers inside a co_await
/// expression.
HttpRequest makeRequest(std::string method, std::string target, std::string body = {}, HttpHeaders headers = {});

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;

    auto operator<=>(const HttpResponse &) const = default;
};

HttpResponse jsonResponse(int status, std::string body);

/// TCP address of a listener. `host` is an IP address, never a host name, because instances reach each other by IP address.
struct HttpAddress {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const HttpAddress &) const = default;
};

/// Parses `ip:port`, with an IPv6 address in brackets. Returns an empty host and port 0 if the text is malformed.
HttpAddress parseHttpAddress(std::string_view text);
/// Formats an address as `ip:port`, with an IPv6 address in brackets.
std::string toText(const HttpAddress &address);

/// Path of a request target, without the query.
std::string targetPath(std::string_view target);

/// Percent-decoded value of the first query parameter with the given name; empty if there is none.
std::string queryValue(std::string_view target, std::string_view name);

/// Percent-encodes all characters except the unreserved ones of RFC 3986.
std::string percentEncode(std::string_view text);
/// Decodes percent-encoded bytes; an invalid escape sequence stays unchanged.
std::string percentDecode(std::string_view text);

} // namespace Godwitfork
