#include "EndpointStandIn.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fmt/format.h>

namespace Godwitfork
{

namespace Asio = boost::asio;
namespace Http = boost::beast::http;
using Tcp = Asio::ip::tcp;

namespace
{
constexpr int events = 8;
constexpr Duration eventPause = std::chrono::milliseconds(150);
constexpr Duration shortWork = std::chrono::milliseconds(20);
constexpr Duration longWork = std::chrono::milliseconds(1100);
constexpr const char *closedSeconds = "0.3";
constexpr const char *limit = "400";

std::string chunk(const std::string &bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}
std::string eventText(const std::string &id, int number)
{
    return fmt::format("id: {}\ndata: {}\n\n", number, id);
}
} // namespace

std::string wholeStreamBody(const std::string &id)
{
    std::string body;
    for (int number = 1; number <= events; ++number) {
        body += eventText(id, number);
    }
    return body;
}

std::string wholePlainBody(const std::string &id)
{
    return "done " + id;
}

struct EndpointStandIn::Run {
    Tcp::socket &socket;
    Http::request<Http::string_body> request;
    std::string id;
    std::string headers;
    bool isUnframed = false;
    std::string manner;
    bool isBrokenOff = false;
};

EndpointStandIn::EndpointStandIn(Asio::io_context &context, RandomSource &random, RequestBook &book, std::string id, const EndpointManners &manners)
    : context(context), random(random), book(book), name(std::move(id)), manners(manners), acceptor(context, {Asio::ip::make_address("127.0.0.1"), 0})
{
}

HttpAddress EndpointStandIn::address() const
{
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
}

const std::string &EndpointStandIn::id() const
{
    return this->name;
}

void EndpointStandIn::setManners(const EndpointManners &newManners)
{
    this->manners = newManners;
}

void EndpointStandIn::start()
{
    Asio::co_spawn(
        this->context, [this] { return this->acceptLoop(); }, Asio::detached);
}

void EndpointStandIn::fallSilent(Duration duration)
{
    this->silentUntil = monotonicNow() + duration;
}

bool EndpointStandIn::draw(double share)
{
    return std::bernoulli_distribution(share)(this->random);
}

Duration EndpointStandIn::draw(Duration min, Duration max)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(min.count(), max.count())(this->random));
}

Asio::awaitable<void> EndpointStandIn::pause(Duration duration)
{
    Asio::steady_timer timer(this->context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<void> EndpointStandIn::acceptLoop()
{
    while (true) {
        boost::system::error_code error;
        Tcp::socket socket = co_await this->acceptor.async_accept(Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            continue;
        }
        socket.set_option(Tcp::no_delay(true), error);
        auto shared = std::make_shared<Tcp::socket>(std::move(socket));
        Asio::co_spawn(
            this->context, [this, shared]() -> Asio::awaitable<void> { co_await this->serve(std::move(*shared)); }, Asio::detached);
    }
}

Asio::awaitable<bool> EndpointStandIn::write(Run &run, std::string bytes)
{
    while (monotonicNow() < this->silentUntil) {
        const Duration rest = this->silentUntil - monotonicNow();
        co_await this->pause(rest);
    }
    boost::system::error_code error;
    co_await Asio::async_write(run.socket, Asio::buffer(bytes), Asio::redirect_error(Asio::use_awaitable, error));
    co_return !error;
}

Asio::awaitable<void> EndpointStandIn::serve(Tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    bool isOpen = true;
    while (isOpen) {
        Run run {socket, {}, {}, {}, false, {}, false};
        boost::system::error_code error;
        co_await Http::async_read(socket, buffer, run.request, Asio::redirect_error(Asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        run.id = std::string(run.request["X-Attempt-Id"]);
        if (run.request.method() == Http::verb::get) {
            const std::string answer = "HTTP/1.1 200 OK\r\nX-Replica-Id: " + this->name + "\r\nContent-Length: 0\r\n\r\n";
            co_await Asio::async_write(socket, Asio::buffer(answer), Asio::redirect_error(Asio::use_awaitable, error));
            isOpen = !error;
            continue;
        }
        isOpen = co_await this->answer(run);
    }
}

Asio::awaitable<bool> EndpointStandIn::answer(Run &run)
{
    const bool isStream = run.request.target().starts_with("/stream/");
    const bool isClosed = this->draw(this->manners.closed);
    run.isUnframed = this->draw(this->manners.unframed);
    run.headers = "X-Attempt-Id: " + run.id + "\r\nX-Response-Signature: signed\r\n";
    if (this->draw(this->manners.limiting)) {
        run.headers += std::string("Server-Limit: ") + limit + "\r\n";
    }
    if (isClosed) {
        const std::string refusal =
            "HTTP/1.1 503 Busy\r\n" + run.headers + "X-Not-Executed: 1\r\nRetry-After: " + closedSeconds + "\r\nContent-Length: 0\r\n\r\n";
        boost::system::error_code error;
        co_await Asio::async_write(run.socket, Asio::buffer(refusal), Asio::redirect_error(Asio::use_awaitable, error));
        co_return !error;
    }
    if (isStream) {
        co_return co_await this->stream(run);
    }
    co_return co_await this->answerPlainly(run);
}

Asio::awaitable<bool> EndpointStandIn::stream(Run &run)
{
    const bool isPausing = this->draw(this->manners.pausing);
    const Duration silence = isPausing ? this->draw(this->manners.pauseMin, this->manners.pauseMax) : eventPause;
    const int pauseAt = 1 + static_cast<int>(this->random() % events);
    // An end without a length is the answer's end, so only streams with chunks are broken off.
    const int preemptedAt = !run.isUnframed && this->draw(this->manners.preempted) ? 2 + static_cast<int>(this->random() % (events - 2)) : events + 1;
    const std::string after = std::string(run.request["Last-Event-Id"]);
    const int first = after.empty() ? 1 : std::stoi(after) + 1;
    this->book.arrived(run.id,
                       this->name,
                       fmt::format("event {} on{}{}",
                                   first,
                                   isPausing ? fmt::format(", pause of {} ms at {}", toMilliseconds(silence), pauseAt) : "",
                                   run.isUnframed ? ", no length" : ""),
                       true);
    const std::string framing = run.isUnframed ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n";
    std::string head = "HTTP/1.1 200 OK\r\n" + run.headers + "Content-Type: text/event-stream\r\n" + framing + "\r\n";
    bool isOpen = co_await this->write(run, std::move(head));
    for (int number = first; isOpen && number <= events; ++number) {
        if (number == preemptedAt) {
            this->book.left(run.id, this->name, "broke off before event " + std::to_string(number), true);
            co_return false;
        }
        const Duration before = number == pauseAt ? silence : eventPause;
        co_await this->pause(before);
        const std::string event = eventText(run.id, number);
        std::string bytes = run.isUnframed ? event : chunk(event);
        isOpen = co_await this->write(run, std::move(bytes));
    }
    if (isOpen && !run.isUnframed) {
        std::string lastChunk = "0\r\n\r\n";
        isOpen = co_await this->write(run, std::move(lastChunk));
    }
    this->book.left(run.id, this->name, isOpen ? "finished" : "lost the connection", false);
    co_return isOpen && !run.isUnframed;
}

Asio::awaitable<bool> EndpointStandIn::answerPlainly(Run &run)
{
    const bool isSlow = this->draw(this->manners.slow);
    this->book.arrived(
        run.id, this->name, fmt::format("{}{}", isSlow ? "slow" : "quick", run.isUnframed ? ", no length" : ""), !run.request.target().starts_with("/order/"));
    const Duration work = isSlow ? this->draw(longWork / 2, longWork) : shortWork;
    co_await this->pause(work);
    const std::string body = wholePlainBody(run.id);
    const std::string framing = run.isUnframed ? "Connection: close\r\n" : fmt::format("Content-Length: {}\r\n", body.size());
    std::string answer = "HTTP/1.1 200 OK\r\n" + run.headers + framing + "\r\n" + body;
    const bool isOpen = co_await this->write(run, std::move(answer));
    this->book.left(run.id, this->name, isOpen ? "finished" : "lost the connection", false);
    co_return isOpen && !run.isUnframed;
}

} // namespace Godwitfork
