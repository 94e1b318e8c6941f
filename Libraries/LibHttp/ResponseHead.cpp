#include "LibHttp/ResponseHead.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace Godwitfork
{

namespace Http = boost::beast::http;

namespace
{
constexpr unsigned minStatus = 100;
constexpr unsigned minFinalStatus = 200;
constexpr unsigned maxStatus = 599;
constexpr unsigned switchingProtocolsStatus = 101;
constexpr unsigned minVersionWithCodings = 11;

// RFC 9112, sections 6.1 and 7: the client announces no codings, so a server may apply chunked alone, once. The parser looks for the last coding only, and
// reads a body to the end of the connection if that is another one.
bool isCodingKnown(const Http::response_header<> &head)
{
    int codings = 0;
    const auto fields = head.equal_range(Http::field::transfer_encoding);
    for (auto field = fields.first; field != fields.second; ++field) {
        const Http::opt_token_list names(field->value());
        if (!Http::validate_list(names)) {
            return false;
        }
        for (const auto &name : names) {
            if (!boost::beast::iequals(name, "chunked")) {
                return false;
            }
            ++codings;
        }
    }
    return codings == 1 && head.version() >= minVersionWithCodings;
}

// RFC 9110, section 8.6, and RFC 9112, section 6.1: an interim response has no body and announces none. The bytes after one that does may be its body,
// which must not be taken for the next response.
boost::system::error_code checkInterimHead(const Http::response_header<> &head)
{
    // The client never offers another protocol, so the bytes after this head are not HTTP.
    if (head.result_int() == switchingProtocolsStatus) {
        return Http::make_error_code(Http::error::bad_status);
    }
    if (head.count(Http::field::transfer_encoding) > 0) {
        return Http::make_error_code(Http::error::bad_transfer_encoding);
    }
    const auto length = head.find(Http::field::content_length);
    if (length != head.end() && length->value() != "0") {
        return Http::make_error_code(Http::error::bad_content_length);
    }
    return {};
}
} // namespace

bool isInterimStatus(unsigned status)
{
    return status >= minStatus && status < minFinalStatus;
}

// RFC 9110, section 15: statuses outside 100 to 599 are invalid. Without a class, nothing says whether a body or a further response follows.
boost::system::error_code checkResponseHead(const Http::response_header<> &head)
{
    if (head.result_int() < minStatus || head.result_int() > maxStatus) {
        return Http::make_error_code(Http::error::bad_status);
    }
    if (head.count(Http::field::transfer_encoding) > 0 && !isCodingKnown(head)) {
        return Http::make_error_code(Http::error::bad_transfer_encoding);
    }
    return isInterimStatus(head.result_int()) ? checkInterimHead(head) : boost::system::error_code();
}

// RFC 9112, section 5.2: a sender must not fold lines, and a gateway may refuse a response that does. Joined to the line before, a field that begins with a
// blank would be passed on in another one's value, and a length or coding in it would not frame the body.
bool hasFoldedLine(std::string_view bytes)
{
    static constexpr std::string_view lineBreak = "\r\n";
    while (true) {
        const std::size_t length = bytes.find(lineBreak);
        if (length == std::string_view::npos || length == 0) {
            return false;
        }
        bytes.remove_prefix(length + lineBreak.size());
        if (bytes.starts_with(' ') || bytes.starts_with('\t')) {
            return true;
        }
    }
}

} // namespace Godwitfork
