#pragma once

#include "LibHttp/HttpMessage.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/span_body.hpp>

#include <memory>
#include <optional>
#include <string>

namespace Godwitfork
{

/// A request that is being sent. It may outlive the call, since the peer may respond before it has read the whole request.
struct OutgoingRequest {
    OutgoingRequest(const HttpAddress &address, const HttpRequest &request, std::shared_ptr<const std::string> body, boost::beast::tcp_stream &stream);

    bool isWritten() const;

    boost::beast::http::request<boost::beast::http::span_body<const char>> message;
    std::shared_ptr<const std::string> body;
    /// Result of the write once it has ended.
    std::optional<boost::system::error_code> writeResult;
    /// Is cancelled when the write ends.
    boost::asio::steady_timer writeEnded;
};

/// Starts to write a request. Both are held until the write has ended.
void startWriting(std::shared_ptr<OutgoingRequest> request, std::shared_ptr<boost::beast::tcp_stream> stream);

/// Returns the error that ended the connection, after the end of the stream has been read; none if the peer ended its side in order. Closes the connection
/// if the request is still being written.
boost::asio::awaitable<boost::system::error_code> findConnectionError(OutgoingRequest &request, boost::beast::tcp_stream &stream);

} // namespace Godwitfork
