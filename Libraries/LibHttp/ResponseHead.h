#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace Godwitfork
{

/// Whether a further response follows one with this status.
bool isInterimStatus(unsigned status);

/// Checks the parts of a response's head that the parser accepts in any form. Returns the rule that the head breaks, as an error of the parser.
boost::system::error_code checkResponseHead(const boost::beast::http::response_header<> &head);

} // namespace Godwitfork
