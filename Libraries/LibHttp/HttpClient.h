#pragma once

#include "LibCore/Error.h"
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

/// How far a failed request got. Only `NotSent` proves that the peer did not act on it.
enum class SendPhase { NotSent, Sent };

enum class HttpFailure {
    Connect,
    Timeout,
    ConnectionLost,
    MalformedResponse,
    /// `HttpCallOptions::mayWrite` forbade the request.
    Withheld,
};

struct HttpClientError {
    SendPhase phase = SendPhase::NotSent;
    HttpFailure failure = HttpFailure::Connect;
    std::string message;

    auto operator<=>(const HttpClientError &) const = default;
};

template<typename T>
using HttpOutcome = Outcome<T, HttpClientError>;

enum class ConnectionReuse { Allowed, Never };

/// Ends one call from outside, for example because its caller left. To be used on the client's thread.
class HttpCallCanceller
{
public:
    /// Closes the call's connection; the call ends with `ConnectionLost`, or is not started.
    void cancel();
    bool isCancelled() const;
    /// The call ended; its connection serves others.
    void release();

private:
    friend class HttpClient;

    bool cancelled = false;
    std::function<void()> closeConnection;
};

struct HttpCallOptions {
    Duration connectTimeout = std::chrono::seconds(1);
    /// Limit from the request's last byte to the answer's header.
    Duration responseTimeout = std::chrono::seconds(30);
    /// Limit between two pieces of the answer's body; a connection that stays silent longer counts as lost.
    Duration idleTimeout = std::chrono::seconds(10);
    ConnectionReuse reuse = ConnectionReuse::Allowed;
    /// Asked on the open connection directly before the request's first byte; false withholds the request.
    std::function<bool()> mayWrite;
    /// Limit for data that the peer's host does not acknowledge (TCP_USER_TIMEOUT); 0 keeps the system's limit. Connections
    /// that went silent show up only by it.
    Duration tcpUserTimeout = Duration::zero();
    std::shared_ptr<HttpCallCanceller> canceller;
    /// Whether an answer belongs to this request; a late answer to an earlier one is skipped. All belong if not set.
    std::function<bool(const HttpHeaders &)> isMatchingResponse;
};

/// Answer whose body is read piece by piece. Destroying it before the end closes its connection, which cancels the
/// request at the peer; after the end the connection is reused.
class HttpResponseStream
{
public:
    virtual ~HttpResponseStream() = default;

    virtual int status() const = 0;
    virtual const HttpHeaders &headers() const = 0;
    /// Whether the end of the body is marked by its length or by chunks, not by the end of the connection.
    virtual bool isFramed() const = 0;
    /// Replaces the limit between two pieces of the body.
    virtual void setIdleTimeout(Duration timeout) = 0;
    /// Next bytes of the body; empty at its end.
    virtual boost::asio::awaitable<HttpOutcome<std::string>> readSome() = 0;
};

/// HTTP/1.1 client with a connection pool, for one io_context that is run by one thread. A connection carries one
/// request at a time and is closed after a timeout, so that a late answer cannot reach another request.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    boost::asio::awaitable<HttpOutcome<std::unique_ptr<HttpResponseStream>>> open(HttpAddress address, HttpRequest request, HttpCallOptions options);
    /// Reads the whole answer, up to 16 MiB.
    boost::asio::awaitable<HttpOutcome<HttpResponse>> call(HttpAddress address, HttpRequest request, HttpCallOptions options);

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace Godwitfork
