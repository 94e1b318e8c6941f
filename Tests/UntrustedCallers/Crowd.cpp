#include "Crowd.h"

#include "LibCore/Time.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace Godwitfork
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

namespace
{
/// One client in so many completes its request.
constexpr int completeEvery = 8;
const std::string chunkedFraming = "Transfer-Encoding: chunked\r\n\r\n";

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string all;
    all.reserve(bytes + text.size());
    while (all.size() < bytes) {
        all += text;
    }
    all.resize(bytes);
    return all;
}
} // namespace

CrowdManner plainBodies(int clients, std::size_t bodyBytes, std::size_t pieceBytes)
{
    CrowdManner manner;
    manner.name = pieceBytes == 0 ? "plain bodies, whole" : "plain bodies, in pieces";
    manner.framing = "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    manner.wire = std::string(bodyBytes, 'b');
    manner.pieceBytes = pieceBytes;
    manner.clients = clients;
    return manner;
}

CrowdManner chunkedBodies(int clients, std::size_t bodyBytes, std::size_t chunkBytes)
{
    std::array<char, 32> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunkBytes);
    const std::string chunk = size.data() + std::string(chunkBytes, 'b') + "\r\n";
    CrowdManner manner;
    manner.name = "chunked bodies, chunks of " + std::to_string(chunkBytes) + " bytes";
    manner.framing = chunkedFraming;
    manner.wire = repeated(chunk, bodyBytes / chunkBytes * chunk.size()) + "0\r\n\r\n";
    manner.missingBytes = 2;
    manner.clients = clients;
    return manner;
}

CrowdManner endlessTrailers(int clients, std::size_t trailerBytes)
{
    CrowdManner manner;
    manner.name = "endless trailers";
    manner.framing = chunkedFraming;
    manner.wire = "4\r\nbody\r\n0\r\n" + repeated("X-Trailer: " + std::string(200, 't') + "\r\n", trailerBytes);
    manner.clients = clients;
    return manner;
}

CrowdManner endlessExtension(int clients, std::size_t extensionBytes)
{
    CrowdManner manner;
    manner.name = "endless chunk extension";
    manner.framing = chunkedFraming;
    manner.wire = "4;a=" + std::string(extensionBytes, 'e');
    manner.clients = clients;
    return manner;
}

CrowdManner unfinishedHeads(int clients, std::size_t headBytes)
{
    CrowdManner manner;
    manner.name = "unfinished heads";
    // Short headers take the most memory for their bytes once they are parsed.
    manner.wire = repeated("a:\r\n", headBytes / 4 * 4) + "\r\n";
    manner.missingBytes = 2;
    manner.clients = clients;
    return manner;
}

struct Crowd::Client {
    explicit Client(Asio::io_context &context) : socket(context), pause(context)
    {
    }

    Tcp::socket socket;
    Asio::steady_timer pause;
};

Crowd::Crowd(Asio::io_context &context, HttpAddress address, std::string head, CrowdManner manner)
    : context(context), address(std::move(address)), head(std::move(head)), manner(std::move(manner))
{
}

Crowd::~Crowd()
{
    this->leave();
    // The clients' coroutines end before what they refer to.
    this->context.restart();
    while (!this->isSettled() && this->context.run_one() > 0) { }
    this->context.poll();
}

void Crowd::start()
{
    for (int i = 0; i < this->manner.clients; ++i) {
        auto client = std::make_shared<Client>(this->context);
        this->clients.push_back(client);
        Asio::co_spawn(
            this->context, [this, client, i] { return this->run(client, i); }, Asio::detached);
    }
}

Asio::awaitable<bool> Crowd::send(Client &client, const char *bytes, std::size_t length)
{
    const std::size_t piece = this->manner.pieceBytes == 0 ? length : this->manner.pieceBytes;
    boost::system::error_code error;
    for (std::size_t sent = 0; !error && sent < length; sent += piece) {
        const std::size_t size = std::min(piece, length - sent);
        co_await Asio::async_write(client.socket, Asio::buffer(bytes + sent, size), Asio::redirect_error(Asio::use_awaitable, error));
        if (!error && this->manner.pieceBytes > 0) {
            client.pause.expires_after(std::chrono::milliseconds(1));
            co_await client.pause.async_wait(Asio::redirect_error(Asio::use_awaitable, error));
        }
    }
    co_return !error;
}

Asio::awaitable<void> Crowd::run(std::shared_ptr<Client> client, int number)
{
    boost::system::error_code error;
    const Tcp::endpoint peer(Asio::ip::make_address(this->address.host), this->address.port);
    co_await client->socket.async_connect(peer, Asio::redirect_error(Asio::use_awaitable, error));
    std::string start = this->head;
    const std::string placeholder = "{n}";
    const std::size_t at = start.find(placeholder);
    if (at != std::string::npos) {
        start.replace(at, placeholder.size(), std::to_string(number));
    }
    start += this->manner.framing;
    if (!error) {
        co_await Asio::async_write(client->socket, Asio::buffer(start), Asio::redirect_error(Asio::use_awaitable, error));
    }
    const bool isComplete = number % completeEvery == 0;
    const std::size_t length = this->manner.wire.size() - (isComplete ? 0 : this->manner.missingBytes);
    if (!error) {
        co_await this->send(*client, this->manner.wire.data(), length);
    }
    ++this->settled;
    std::array<char, 4096> bytes {};
    while (!error) {
        co_await client->socket.async_read_some(Asio::buffer(bytes), Asio::redirect_error(Asio::use_awaitable, error));
    }
    boost::system::error_code ignored;
    client->socket.close(ignored);
}

bool Crowd::isSettled() const
{
    return this->settled == this->manner.clients;
}

void Crowd::leave()
{
    for (const auto &client : this->clients) {
        boost::system::error_code ignored;
        client->socket.close(ignored);
        client->pause.cancel();
    }
}

int Crowd::openConnections() const
{
    return static_cast<int>(std::count_if(this->clients.begin(), this->clients.end(), [](const auto &client) { return client->socket.is_open(); }));
}

} // namespace Godwitfork
