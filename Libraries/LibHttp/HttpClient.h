#pragma once

#include "LibCore/Error.h"
#include "LibCore/Time.h"
#include "LibHttp/HttpMessage.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace Godwitfork
{

/// Whether any byte of a failed request may have been sent. Only `NotSent` proves that the peer did not process the request.
enum class SendPhase { NotSent, Sent };

enum class HttpFailure {
    Connect,
    Timeout,
    ConnectionLost,
    MalformedResponse,
    /// `HttpCallOptions::mayWrite` returned false, so the request was not sent.
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

/// Cancels one call from other code, for example because the client that needs its result has disconnected. Must be used on
/// the HttpClient's thread.
class HttpCallCanceller
{
public:
    /// Closes the call's connection; the call fails with `ConnectionLost`. A call that has not sent its request yet does not
    /// send it.
    void cancel();
    bool isCancelled() const;
    /// Detaches the canceller from the connection when the call has ended and the connection is reused for other calls.
    void detach();

private:
    friend class HttpClient;

    bool cancelled = false;
    std::function<void()> closeConnection;
};

/// Whether a connection has carried earlier requests.
enum class ConnectionAge { New, Reused };

struct HttpCallOptions {
    Duration connectTimeout = std::chrono::seconds(1);
    /// Time limit from the start of sending the request to the end of the response header.
    Duration responseTimeout = std::chrono::seconds(30);
    /// Time limit between two reads of the response body; the call fails with `Timeout` if no bytes arrive within it.
    Duration idleTimeout = std::chrono::seconds(10);
    /// Time limit of `call` from the end of the response header to the end of the body. A peer that sends one byte at a time never exceeds
    /// the idle timeout.
    Duration bodyTimeout = std::chrono::seconds(30);
    /// Largest response body in bytes; the call fails with `MalformedResponse` when more arrive.
    std::size_t maxBodyBytes = std::size_t {16} * 1024 * 1024;
    ConnectionReuse reuse = ConnectionReuse::Allowed;
    /// Called on the open connection immediately before the first byte of the request; if it returns false, the request is not
    /// sent.
    std::function<bool()> mayWrite;
    /// Time limit for sent data that the peer's host does not acknowledge (TCP_USER_TIMEOUT); a positive value also enables TCP
    /// keep-alive probes, 0 keeps the system's defaults. Only this limit detects a connection that was lost without a reset
    /// before the other timeouts expire.
    Duration tcpUserTimeout = Duration::zero();
    std::shared_ptr<HttpCallCanceller> canceller;
    /// Body of the request in place of `HttpRequest::body`; held until it is sent or the connection is closed. Null: the request has its own.
    std::shared_ptr<const std::string> sharedBody;
    /// Returns whether a response with these headers belongs to this request; a late response to an earlier request is skipped.
    /// If not set, every response is accepted.
    std::function<bool(const HttpHeaders &, ConnectionAge)> isMatchingResponse;
};

/// Response whose body is read incrementally. Destroying it before the end of the body closes the connection, which cancels the
/// request at the peer; after the end of the body the connection may be reused.
class HttpResponseStream
{
public:
    virtual ~HttpResponseStream() = default;

    virtual int status() const = 0;
    virtual const HttpHeaders &headers() const = 0;
    /// Whether the end of the body is marked by Content-Length or chunked coding, not by the end of the connection.
    virtual bool isFramed() const = 0;
    /// Replaces `HttpCallOptions::idleTimeout`.
    virtual void setIdleTimeout(Duration timeout) = 0;
    /// Reads the next bytes of the body; returns an empty string at its end.
    virtual boost::asio::awaitable<HttpOutcome<std::string>> readSome() = 0;
};

/// HTTP/1.1 client with a connection pool, for an io_context that is run by a single thread. A connection carries one request
/// at a time and is closed after a timeout, so that a late response is not taken for the response to another request.
class HttpClient
{
public:
    explicit HttpClient(boost::asio::io_context &context);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request and returns once the header of the final response has arrived. Interim (1xx) responses are skipped.
    boost::asio::awaitable<HttpOutcome<std::unique_ptr<HttpResponseStream>>> open(HttpAddress address, HttpRequest request, HttpCallOptions options);
    /// Sends a request and reads the whole response.
    boost::asio::awaitable<HttpOutcome<HttpResponse>> call(HttpAddress address, HttpRequest request, HttpCallOptions options);

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace Godwitfork
