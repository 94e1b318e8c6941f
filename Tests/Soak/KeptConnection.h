#pragma once

#include "LibHttp/HttpMessage.h"
#include "LossRules.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>

namespace Godwitfork
{

/// How a client sends a request and reads its answer.
struct ClientManners {
    /// Between the two halves of the header; zero sends it in one piece.
    Duration sendPause {};
    /// Between two reads of the answer.
    Duration readPause {};
};

/// A raw connection of a client that sends one request after the other until the connection closes.
class KeptConnection
{
public:
    explicit KeptConnection(boost::asio::io_context &context);

    boost::asio::awaitable<bool> connect(HttpAddress address);
    /// Waits before the next request; returns false if the connection closes meanwhile.
    boost::asio::awaitable<bool> rest(Duration duration);
    /// Sends the request and waits for its answer until `until`. Fills in what the client sees; returns false if nothing was sent.
    boost::asio::awaitable<bool> exchange(std::string request, MonotonicTime until, ClientManners manners, RequestRecord &record);
    /// Whether another request may follow.
    bool isOpen() const;
    int status() const;
    const std::string &body() const;

private:
    boost::asio::awaitable<bool> send(std::string bytes);

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool open = false;
    bool isUsed = false;
    int answerStatus = 0;
    std::string answerBody;
};

} // namespace Godwitfork
