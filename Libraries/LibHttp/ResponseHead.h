#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

#include <string_view>

namespace Godwitfork
{

/// Whether a further response follows one with this status.
bool isInterimStatus(unsigned status);

/// Checks the parts of a response's head that the parser accepts in any form. Returns the rule that the head breaks, as an error of the parser.
boost::system::error_code checkResponseHead(const boost::beast::http::response_header<> &head);

/// Whether a line of a head continues on the next one, which begins with a blank. `bytes` starts with a line of the head and may go on after it.
bool hasFoldedLine(std::string_view bytes);

} // namespace Godwitfork
