#include "LibHttp/HttpMessage.h"

#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/string.hpp>

#include <charconv>

namespace Godwitfork
{

namespace
{
constexpr std::string_view hexDigits = "0123456789ABCDEF";

bool isUnreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

int hexValue(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    if (c >= 'A' && c <= 'F') {
        return c - 'A' + 10;
    }
    return -1;
}
} // namespace

std::string headerValue(const HttpHeaders &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (boost::beast::iequals({header.name.data(), header.name.size()}, {name.data(), name.size()})) {
            return header.value;
        }
    }
    return {};
}

std::string bearerKey(const HttpHeaders &headers)
{
    constexpr std::string_view prefix = "Bearer ";
    const std::string value = headerValue(headers, "Authorization");
    return value.starts_with(prefix) ? value.substr(prefix.size()) : std::string();
}

HttpRequest makeRequest(std::string method, std::string target, std::string body, HttpHeaders headers)
{
    return {std::move(method), std::move(target), std::move(headers), std::move(body)};
}

HttpResponse jsonResponse(int status, std::string body)
{
    return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

HttpAddress parseHttpAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    std::string_view host = text.substr(0, colon);
    const std::string_view portText = text.substr(colon + 1);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    boost::system::error_code error;
    boost::asio::ip::make_address(std::string(host), error);
    if (error || parsed.ec != std::errc {} || parsed.ptr != portText.data() + portText.size()) {
        return {};
    }
    return {std::string(host), port};
}

std::string toText(const HttpAddress &address)
{
    const bool isIpv6 = address.host.find(':') != std::string::npos;
    const std::string host = isIpv6 ? "[" + address.host + "]" : address.host;
    return host + ":" + std::to_string(address.port);
}

std::string targetPath(std::string_view target)
{
    return std::string(target.substr(0, target.find('?')));
}

std::string queryValue(std::string_view target, std::string_view name)
{
    const std::size_t question = target.find('?');
    if (question == std::string_view::npos) {
        return {};
    }
    std::string_view rest = target.substr(question + 1);
    while (!rest.empty()) {
        const std::size_t ampersand = rest.find('&');
        const std::string_view pair = rest.substr(0, ampersand);
        const std::size_t equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return percentDecode(pair.substr(equals + 1));
        }
        if (ampersand == std::string_view::npos) {
            break;
        }
        rest.remove_prefix(ampersand + 1);
    }
    return {};
}

std::string percentEncode(std::string_view text)
{
    std::string encoded;
    for (const char c : text) {
        if (isUnreserved(c)) {
            encoded.push_back(c);
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded.push_back('%');
        encoded.push_back(hexDigits[byte >> 4U]);
        encoded.push_back(hexDigits[byte & 0x0fU]);
    }
    return encoded;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool escaped = text[i] == '%' && i + 2 < text.size() && hexValue(text[i + 1]) >= 0 && hexValue(text[i + 2]) >= 0;
        if (!escaped) {
            decoded.push_back(text[i]);
            continue;
        }
        decoded.push_back(static_cast<char>(hexValue(text[i + 1]) * 16 + hexValue(text[i + 2])));
        i += 2;
    }
    return decoded;
}

} // namespace Godwitfork
