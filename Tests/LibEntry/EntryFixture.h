#pragma once

#include "LibEntry/RequestRun.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Runs a router and scripted endpoints in this process, connected over the loopback interface.
class EntryFixture
{
public:
    /// Bytes of an answer, and whether the connection is then reset, not closed.
    struct RawAnswer {
        std::string bytes;
        bool resets = false;
    };

    using RawScript = std::function<RawAnswer(const std::string &request)>;
    using EndpointScript = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

    /// `limits` are those of the router's listener.
    explicit EntryFixture(const HttpServerLimits &limits = {});

    /// Adds a ready endpoint whose requests are handled by `script`.
    void addEndpoint(const std::string &id, EndpointScript script);
    /// Adds a ready endpoint that answers each connection's first request, given to `script` as received, with the bytes that it returns and
    /// then closes the connection, or resets it.
    void addRawEndpoint(const std::string &id, RawScript script);
    /// As `addRawEndpoint`, with the same answer, without length or chunks, to each request.
    void addUnframedEndpoint(const std::string &id, std::string response, bool resets);
    /// Adds a ready endpoint that writes, on one kept connection, `answers[n]` after the n-th request; `{id}` stands for the request's id.
    void addScriptedEndpoint(const std::string &id, std::vector<std::string> answers, int *requests);
    /// Adds a ready endpoint that runs `script` on each connection and then closes it.
    void addRawEndpoint(const std::string &id, std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket &)> script);
    void setRoute(Route route);
    /// Runs all coroutines at once until they have ended.
    void runAll(std::vector<std::function<boost::asio::awaitable<void>()>> coroutines);
    HttpAddress routerAddress() const;
    boost::asio::io_context &executor();
    /// Sends a request to the router and waits for the answer. Returns status 0 if the connection is lost.
    HttpResponse send(HttpHeaders headers);
    /// Sends requests at the same time, on a connection each, and waits for all answers.
    std::vector<HttpResponse> sendTogether(std::vector<HttpHeaders> requests);
    /// Sends a request on a connection that the router closes after the answer, starts to read `delay` later, and returns all bytes received.
    std::string sendRaw(const HttpHeaders &headers, Duration delay, const std::string &body = "body");
    /// Sends a request, closes its connection `delay` later, and runs the router for another half second.
    void sendAndLeave(const HttpHeaders &headers, Duration delay);
    /// Runs `action` once, `delay` from now, while requests are sent.
    void runLater(Duration delay, std::function<void()> action);

    EntryState state;

private:
    static std::string rawRequest(const HttpHeaders &headers, const std::string &body = "body");
    void putEntry(const std::string &id, HttpAddress address);
    boost::asio::awaitable<void> serveRaw(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor, RawScript script);
    boost::asio::awaitable<void> serveScripted(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor, std::vector<std::string> answers, int *requests);
    boost::asio::awaitable<void> serve(HttpExchange &exchange);

    boost::asio::io_context context;
    HttpClient routerClient;
    HttpClient callerClient;
    EntryMetrics metrics;
    EntryContext requestContext;
    HttpServer router;
    std::vector<std::unique_ptr<HttpServer>> endpoints;
};

/// Makes a route from all paths of `h.example` to the service `pool`.
Route makeRoute(RepeatRule rule, int attemptLimit);
/// Headers of a valid endpoint answer: the request id and a signature.
HttpHeaders validAnswerHeaders(const HttpExchange &exchange);
/// Headers of a request to `h.example` with the given id and a deadline of 3 s.
HttpHeaders callerHeaders(const std::string &id);
/// Body of an answer as it was received, with the marks of its chunks; empty if the head is not complete.
std::string bodyOf(const std::string &received);
/// A chunk of a body in chunked coding.
std::string chunk(const std::string &bytes);

} // namespace Godwitfork
