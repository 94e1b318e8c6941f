#pragma once

#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Godwitfork
{

/// One request on a server connection and the means to answer it. Lives on the connection's thread.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    /// Sends a whole answer. False if the connection was lost.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;
    /// Starts an answer of unknown length in chunked coding. False if the connection was lost.
    virtual boost::asio::awaitable<bool> startStream(int status, HttpHeaders headers) = 0;
    virtual boost::asio::awaitable<bool> writeChunk(std::string bytes) = 0;
    virtual boost::asio::awaitable<bool> finishStream() = 0;
    /// Closes the connection without ending the answer, so that the caller sees that it is incomplete.
    virtual void abort() = 0;
    /// Runs the callback once, on the connection's thread, if the caller closes its connection before the handler ends.
    virtual void onClientDisconnect(std::function<void()> callback) = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

/// Builds the answer to a request that the server refuses before its handler: status, stable code, message.
using HttpRefusal = std::function<HttpResponse(int status, const std::string &code, const std::string &message)>;

struct HttpServerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1024 * 1024;
    int maxConnections = 4096;
    Duration requestTimeout = std::chrono::seconds(30);
    Duration idleTimeout = std::chrono::seconds(75);
    Duration writeTimeout = std::chrono::seconds(30);
};

/// HTTP/1.1 server on one io_context that is run by one thread. Several servers may share a port, one for each traffic
/// thread; the kernel spreads connections over them.
class HttpServer
{
public:
    /// Binds at once. Port 0 lets the kernel choose. Throws boost::system::system_error if the address is in use.
    HttpServer(boost::asio::io_context &context, const HttpAddress &address, HttpServerLimits limits, HttpHandler handler, HttpRefusal refusal);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    HttpAddress address() const;
    void start();
    /// Replaces the limits; connections use them from their next request on.
    void setLimits(const HttpServerLimits &limits);
    /// Ends each connection after its current or next answer, while new connections are still accepted.
    void disableKeepAlive();
    /// Closes the listener and idle connections; connections with a request in progress close after its answer. To be
    /// called on the context's thread.
    void stop();
    int openConnections() const;

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace Godwitfork
