#pragma once

#include "LibCore/MemoryBudget.h"
#include "LibCore/Time.h"
#include "LibHttp/EvictionRules.h"
#include "LibHttp/HttpMessage.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Godwitfork
{

/// One request on a server connection and the functions to respond to it. Must be used on the connection's thread.
class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest &request() const = 0;
    /// The request's body. Its memory is reserved until the last holder is gone, also after the exchange has ended.
    virtual std::shared_ptr<const std::string> sharedBody() const
    {
        return std::make_shared<const std::string>(this->request().body);
    }
    /// Whether the request's body was not kept, see BodyAdmission. The request must be refused, and its connection closes after the response.
    virtual bool isBodyMissing() const
    {
        return false;
    }
    /// Sends a complete response. Returns false if the connection was lost.
    virtual boost::asio::awaitable<bool> respond(HttpResponse response) = 0;
    /// Starts a response of unknown length in chunked coding. Returns false if the connection was lost.
    virtual boost::asio::awaitable<bool> startStream(int status, HttpHeaders headers) = 0;
    virtual boost::asio::awaitable<bool> writeChunk(std::string bytes) = 0;
    virtual boost::asio::awaitable<bool> finishStream() = 0;
    /// Closes the connection without the final chunk, so that the client detects an incomplete response.
    virtual void abort() = 0;
    /// Registers a callback that runs once, on the connection's thread, if the client closes its connection before the handler
    /// has finished.
    virtual void onClientDisconnect(std::function<void()> callback) = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

/// Builds the error response to a request that the server rejects before calling the handler. `code` is the stable error code.
using HttpErrorFormatter = std::function<HttpResponse(int status, const std::string &code, const std::string &message)>;

/// Decides on a request's body from the request's head. The server lets the returned reservation grow before it reads the body, or with each
/// part of a body of unknown length. Without a reservation, or once it may not grow, the body is not read and the handler is called at once.
using BodyAdmission = std::function<std::optional<MemoryReservation>(const HttpRequest &head)>;

struct HttpServerLimits {
    /// Largest head of a request, and largest part of a body's framing.
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1024 * 1024;
    int maxConnections = 4096;
    /// Most connections of one address, in hundredths of `maxConnections`.
    int addressSharePercent = 75;
    ProgressLimits progress;
    Duration requestTimeout = std::chrono::seconds(30);
    Duration idleTimeout = std::chrono::seconds(75);
    Duration writeTimeout = std::chrono::seconds(30);
};

/// What a server did since its start to stay within its limits.
struct HttpServerCounters {
    /// Connections closed for another one, or for memory that another request needed.
    std::uint64_t evictedConnections = 0;
    /// Connections beyond the limit, in all or for their address, whose request was refused.
    std::uint64_t refusedConnections = 0;
    /// Requests refused for lack of memory before the handler was called.
    std::uint64_t refusedRequests = 0;
    /// Requests that arrived too slowly.
    std::uint64_t slowRequests = 0;
    /// Requests whose head, trailers or chunk extension was too large.
    std::uint64_t oversizedRequests = 0;

    auto operator<=>(const HttpServerCounters &) const = default;
};

/// HTTP/1.1 server on an io_context that is run by a single thread. Several servers may share a port (SO_REUSEPORT), one for
/// each traffic thread; the kernel distributes connections among them.
class HttpServer
{
public:
    /// Binds the listener; throws boost::system::system_error if the address is in use. Port 0 lets the kernel choose a port.
    HttpServer(boost::asio::io_context &context, const HttpAddress &address, HttpServerLimits limits, HttpHandler handler, HttpErrorFormatter formatError);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    HttpAddress address() const;
    void start();
    /// Replaces the limits; open connections apply them from their next request.
    void setLimits(const HttpServerLimits &limits);
    /// Counts connections, heads and bodies in `memory`, and closes connections when it is short. By default they are not counted. Call before
    /// `start`.
    void setMemory(const MemoryBudget &memory);
    /// Sets the admission of request bodies; by default all bodies within the limits that find room in the memory are read.
    void setBodyAdmission(BodyAdmission admitBody);
    /// Closes each connection after its current or next response. New connections are still accepted.
    void disableKeepAlive();
    /// Disables keep-alive and closes each connection that is idle, or a moment after it becomes idle. Requests that have arrived on it by then
    /// are answered, read or not. New connections are accepted and get the same moment for their request. Must be called on the context's
    /// thread.
    void drain();
    /// Accepts the connections that wait in the listener's queue, closes the listener and drains. Must be called on the context's thread.
    void stop();
    int openConnections() const;
    /// Connections accepted since the start.
    std::uint64_t acceptedConnections() const;
    /// Open connections with received bytes that the server has not read yet.
    int connectionsWithUnreadBytes() const;
    HttpServerCounters counters() const;

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace Godwitfork
