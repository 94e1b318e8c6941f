#include "LibHttp/ResponseHead.h"

#include <boost/beast/http/error.hpp>

namespace Godwitfork
{

namespace Http = boost::beast::http;

namespace
{
constexpr unsigned minStatus = 100;
constexpr unsigned minFinalStatus = 200;
constexpr unsigned maxStatus = 599;
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
    return {};
}

} // namespace Godwitfork
