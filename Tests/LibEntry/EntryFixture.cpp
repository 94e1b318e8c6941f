#include "EntryFixture.h"

#include "LibEntry/BodyAdmission.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <cstdio>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
EntrySettings testSettings()
{
    EntrySettings settings;
    settings.instance = "entry-1";
    settings.failureDomain = "a";
    settings.retryRatio = 1;
    return settings;
}

HttpResponse refusal(int status, const std::string &, const std::string &)
{
    HttpResponse response;
    response.status = status;
    return response;
}

/// Receive buffer of a raw caller, in bytes.
constexpr int rawReceiveBuffer = 64 * 1024;
/// Time within which a router notices that its caller has left.
constexpr Duration leaveTime = std::chrono::milliseconds(500);
constexpr Duration resetDelay = std::chrono::milliseconds(100);
const HttpAddress anyPort {"127.0.0.1", 0};
} // namespace

EntryFixture::EntryFixture(const HttpServerLimits &limits)
    : state(testSettings())
    , context(1)
    , routerClient(this->context)
    , callerClient(this->context)
    , requestContext {this->context, this->state, this->routerClient, this->metrics}
    , router(
          this->context,
          anyPort,
          limits,
          [this](HttpExchange &exchange) { return this->serve(exchange); },
          refusal)
{
    this->router.setBodyAdmission([this](const HttpRequest &head) { return admitBody(this->state, head); });
    this->router.start();
    this->state.setRetryAllowance(100);
    this->state.endpointsKnown = true;
    this->state.rolloutsKnown = true;
}

Asio::awaitable<void> EntryFixture::serve(HttpExchange &exchange)
{
    RequestRun run(this->requestContext, exchange);
    co_await run.run();
}

void EntryFixture::addEndpoint(const std::string &id, EndpointScript script)
{
    this->endpoints.push_back(std::make_unique<HttpServer>(this->context, anyPort, HttpServerLimits {}, std::move(script), refusal));
    this->endpoints.back()->start();
    this->putEntry(id, this->endpoints.back()->address());
}

void EntryFixture::addUnframedEndpoint(const std::string &id, std::string response, bool resets)
{
    this->addRawEndpoint(id, [answer = RawAnswer {std::move(response), resets}](const std::string &) { return answer; });
}

void EntryFixture::addRawEndpoint(const std::string &id, RawScript script)
{
    using Tcp = Asio::ip::tcp;
    auto acceptor = std::make_shared<Tcp::acceptor>(this->context, Tcp::endpoint(Asio::ip::make_address(anyPort.host), 0));
    this->putEntry(id, {anyPort.host, acceptor->local_endpoint().port()});
    Asio::co_spawn(this->context, this->serveRaw(std::move(acceptor), std::move(script)), Asio::detached);
}

Asio::awaitable<void> EntryFixture::serveRaw(std::shared_ptr<Asio::ip::tcp::acceptor> acceptor, RawScript script)
{
    while (true) {
        auto socket = co_await acceptor->async_accept(Asio::use_awaitable);
        std::string request;
        co_await Asio::async_read_until(socket, Asio::dynamic_buffer(request), "body", Asio::use_awaitable);
        const RawAnswer answer = script(request);
        co_await Asio::async_write(socket, Asio::buffer(answer.bytes), Asio::use_awaitable);
        if (answer.resets) {
            // The answer must arrive before the reset discards it.
            Asio::steady_timer timer(this->context, resetDelay);
            co_await timer.async_wait(Asio::use_awaitable);
            socket.set_option(Asio::socket_base::linger(true, 0));
        }
        socket.close();
    }
}

void EntryFixture::addScriptedEndpoint(const std::string &id, std::vector<std::string> answers, int *requests)
{
    using Tcp = Asio::ip::tcp;
    auto acceptor = std::make_shared<Tcp::acceptor>(this->context, Tcp::endpoint(Asio::ip::make_address(anyPort.host), 0));
    this->putEntry(id, {anyPort.host, acceptor->local_endpoint().port()});
    Asio::co_spawn(this->context, this->serveScripted(std::move(acceptor), std::move(answers), requests), Asio::detached);
}

Asio::awaitable<void> EntryFixture::serveScripted(std::shared_ptr<Asio::ip::tcp::acceptor> acceptor, std::vector<std::string> answers, int *requests)
{
    const std::string idHeader = "X-Attempt-Id: ";
    const std::string placeholder = "{id}";
    auto socket = co_await acceptor->async_accept(Asio::use_awaitable);
    std::string buffer;
    for (std::string answer : answers) {
        const std::size_t length = co_await Asio::async_read_until(socket, Asio::dynamic_buffer(buffer), "body", Asio::use_awaitable);
        ++*requests;
        const std::size_t start = buffer.find(idHeader) + idHeader.size();
        const std::string requestId = buffer.substr(start, buffer.find('\r', start) - start);
        buffer.erase(0, length);
        for (std::size_t at = answer.find(placeholder); at != std::string::npos; at = answer.find(placeholder)) {
            answer.replace(at, placeholder.size(), requestId);
        }
        co_await Asio::async_write(socket, Asio::buffer(answer), Asio::use_awaitable);
    }
}

void EntryFixture::addRawEndpoint(const std::string &id, std::function<Asio::awaitable<void>(Asio::ip::tcp::socket &)> script)
{
    using Tcp = Asio::ip::tcp;
    auto acceptor = std::make_shared<Tcp::acceptor>(this->context, Tcp::endpoint(Asio::ip::make_address(anyPort.host), 0));
    this->putEntry(id, {anyPort.host, acceptor->local_endpoint().port()});
    auto serve = [script](std::shared_ptr<Tcp::socket> socket) -> Asio::awaitable<void> {
        // An error means that the router has closed the connection.
        co_await script(*socket);
    };
    auto accept = [this, acceptor, serve]() -> Asio::awaitable<void> {
        while (true) {
            auto socket = std::make_shared<Tcp::socket>(co_await acceptor->async_accept(Asio::use_awaitable));
            Asio::co_spawn(
                this->context, [serve, socket] { return serve(socket); }, Asio::detached);
        }
    };
    // The lambda must outlive its coroutine.
    auto kept = std::make_shared<decltype(accept)>(std::move(accept));
    Asio::co_spawn(
        this->context, [kept]() -> Asio::awaitable<void> { co_await (*kept)(); }, Asio::detached);
}

void EntryFixture::runAll(std::vector<std::function<Asio::awaitable<void>()>> coroutines)
{
    std::size_t running = coroutines.size();
    for (const auto &coroutine : coroutines) {
        Asio::co_spawn(this->context, coroutine, [&running](const std::exception_ptr &) { --running; });
    }
    while (running > 0) {
        this->context.run_one();
    }
}

HttpAddress EntryFixture::routerAddress() const
{
    return this->router.address();
}

Asio::io_context &EntryFixture::executor()
{
    return this->context;
}

void EntryFixture::putEntry(const std::string &id, HttpAddress address)
{
    EndpointEntry entry;
    entry.id = id;
    entry.service = "pool";
    entry.address = std::move(address);
    entry.failureDomain = "a";
    entry.version = "v1";
    entry.slots = 8;
    this->state.endpoints.put(entry, monotonicNow());
}

void EntryFixture::setRoute(Route route)
{
    ServiceProperties service;
    service.name = "pool";
    this->state.routes = std::make_shared<const RouteTable>(RouteConfigurationBuilder(1).addRoute(std::move(route)).addService(service).build());
}

HttpResponse EntryFixture::send(HttpHeaders headers)
{
    return this->sendTogether({std::move(headers)}).front();
}

std::vector<HttpResponse> EntryFixture::sendTogether(std::vector<HttpHeaders> requests)
{
    std::vector<HttpResponse> answers(requests.size());
    std::size_t ended = 0;
    const HttpAddress address = this->router.address();
    auto call = [&](std::size_t index) -> Asio::awaitable<void> {
        auto result = co_await this->callerClient.call(address, makeRequest("POST", "/a/b", "body", requests[index]), {});
        answers[index].status = 0;
        if (result) {
            answers[index] = std::move(result).value();
        }
        ++ended;
    };
    for (std::size_t i = 0; i < requests.size(); ++i) {
        Asio::co_spawn(this->context, call(i), Asio::detached);
    }
    while (ended < requests.size()) {
        this->context.run_one();
    }
    return answers;
}

std::string EntryFixture::rawRequest(const HttpHeaders &headers, const std::string &body)
{
    std::string request = "POST /a/b HTTP/1.1\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (const HttpHeader &header : headers) {
        request += header.name + ": " + header.value + "\r\n";
    }
    return request + "\r\n" + body;
}

std::string EntryFixture::sendRaw(const HttpHeaders &headers, Duration delay, const std::string &body)
{
    const std::string request = rawRequest(headers, body);
    std::string received;
    bool isDone = false;
    const HttpAddress address = this->router.address();
    auto call = [&]() -> Asio::awaitable<void> {
        Asio::ip::tcp::socket socket(this->context, Asio::ip::tcp::v4());
        socket.set_option(Asio::socket_base::receive_buffer_size(rawReceiveBuffer));
        const Asio::ip::tcp::endpoint peer(Asio::ip::make_address(address.host), address.port);
        co_await socket.async_connect(peer, Asio::use_awaitable);
        co_await Asio::async_write(socket, Asio::buffer(request), Asio::use_awaitable);
        Asio::steady_timer timer(this->context, delay);
        co_await timer.async_wait(Asio::use_awaitable);
        boost::system::error_code error;
        co_await Asio::async_read(socket, Asio::dynamic_buffer(received), Asio::redirect_error(Asio::use_awaitable, error));
        isDone = true;
    };
    Asio::co_spawn(this->context, std::move(call), Asio::detached);
    while (!isDone) {
        this->context.run_one();
    }
    return received;
}

void EntryFixture::sendAndLeave(const HttpHeaders &headers, Duration delay)
{
    using Tcp = Asio::ip::tcp;
    const std::string request = rawRequest(headers);
    const HttpAddress address = this->router.address();
    Tcp::socket socket(this->context);
    socket.connect(Tcp::endpoint(Asio::ip::make_address(address.host), address.port));
    Asio::write(socket, Asio::buffer(request));
    this->context.run_for(delay);
    socket.close();
    this->context.run_for(leaveTime);
}

void EntryFixture::runLater(Duration delay, std::function<void()> action)
{
    auto timer = std::make_shared<Asio::steady_timer>(this->context, delay);
    timer->async_wait([timer, action = std::move(action)](const boost::system::error_code &) { action(); });
}

Route makeRoute(RepeatRule rule, int attemptLimit)
{
    Route route;
    route.name = "r";
    route.host = "h.example";
    route.leadingPath = "/";
    route.repeatRule = rule;
    route.attemptLimit = attemptLimit;
    route.services = {{"pool", 1}};
    return route;
}

HttpHeaders validAnswerHeaders(const HttpExchange &exchange)
{
    return {{"X-Attempt-Id", headerValue(exchange.request().headers, "X-Attempt-Id")}, {"X-Response-Signature", "signed"}};
}

HttpHeaders callerHeaders(const std::string &id)
{
    return {{"Host", "h.example"}, {"X-Attempt-Id", id}, {"X-Deadline-Ms", "3000"}};
}

std::string bodyOf(const std::string &received)
{
    const std::size_t headEnd = received.find("\r\n\r\n");
    return headEnd == std::string::npos ? std::string() : received.substr(headEnd + 4);
}

std::string chunk(const std::string &bytes)
{
    char length[16];
    std::snprintf(length, sizeof length, "%zx\r\n", bytes.size());
    return length + bytes + "\r\n";
}

} // namespace Godwitfork
