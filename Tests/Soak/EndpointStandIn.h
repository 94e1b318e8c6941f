#pragma once

#include "LibCore/Random.h"
#include "LibHttp/HttpMessage.h"
#include "RequestBook.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace Godwitfork
{

/// Shares of requests that an endpoint serves in a special way, from 0 to 1.
struct EndpointManners {
    /// Streams with one pause of `pauseMin` to `pauseMax`.
    double pausing = 0;
    Duration pauseMin {};
    Duration pauseMax {};
    /// Answers without a length that end with their connection.
    double unframed = 0;
    /// Streams that the endpoint ends in the middle.
    double preempted = 0;
    /// Plain requests that take most of their time limit.
    double slow = 0;
    /// Refusals (503, not run) that name a closed time.
    double closed = 0;
    /// Answers that name a limit of requests per second.
    double limiting = 0;
};

/// The whole bodies of answers to the request `id`.
std::string wholeStreamBody(const std::string &id);
std::string wholePlainBody(const std::string &id);

/// An endpoint on a raw listener: streams events or answers plainly, in manners drawn for each request.
class EndpointStandIn
{
public:
    EndpointStandIn(boost::asio::io_context &context, RandomSource &random, RequestBook &book, std::string id, const EndpointManners &manners);

    HttpAddress address() const;
    const std::string &id() const;
    void setManners(const EndpointManners &manners);
    void start();
    /// Sends nothing on any connection for `duration`, then goes on.
    void fallSilent(Duration duration);

private:
    struct Run;

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<bool> answer(Run &run);
    boost::asio::awaitable<bool> stream(Run &run);
    boost::asio::awaitable<bool> answerPlainly(Run &run);
    boost::asio::awaitable<bool> write(Run &run, std::string bytes);
    boost::asio::awaitable<void> pause(Duration duration);
    bool draw(double share);
    Duration draw(Duration min, Duration max);

    boost::asio::io_context &context;
    RandomSource &random;
    RequestBook &book;
    std::string name;
    EndpointManners manners;
    MonotonicTime silentUntil;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace Godwitfork
