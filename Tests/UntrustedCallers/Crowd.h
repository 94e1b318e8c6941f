#pragma once

#include "LibHttp/HttpMessage.h"

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Godwitfork
{

/// What each client of a crowd sends after its head.
struct CrowdManner {
    std::string name;
    /// Header lines that describe the framing of the body.
    std::string framing;
    /// The body as sent; the clients share it.
    std::string wire;
    /// Bytes of one write; 0 sends everything in one write.
    std::size_t pieceBytes = 0;
    /// Bytes at the end that most clients leave out.
    std::size_t missingBytes = 1;
    int clients = 0;
};

/// A body of `bodyBytes` with its length in the head.
CrowdManner plainBodies(int clients, std::size_t bodyBytes, std::size_t pieceBytes);
CrowdManner chunkedBodies(int clients, std::size_t bodyBytes, std::size_t chunkBytes);
/// A short chunked body and `trailerBytes` of trailers that do not end.
CrowdManner endlessTrailers(int clients, std::size_t trailerBytes);
/// A chunk extension of `extensionBytes` that does not end.
CrowdManner endlessExtension(int clients, std::size_t extensionBytes);
/// A head that does not end, within the size limit.
CrowdManner unfinishedHeads(int clients, std::size_t headBytes);

/// Clients that each send one request at the same time. One in eight completes it; the others stop just before its end and keep the connection
/// open until the server closes it.
class Crowd
{
public:
    /// `head` is the request line and the headers without those of the framing; `{n}` stands for the number of the client.
    Crowd(boost::asio::io_context &context, HttpAddress address, std::string head, CrowdManner manner);
    ~Crowd();

    void start();
    /// Whether every client has sent all that it will, or was refused.
    bool isSettled() const;
    /// Closes all connections.
    void leave();
    int openConnections() const;

private:
    struct Client;

    boost::asio::awaitable<void> run(std::shared_ptr<Client> client, int number);
    boost::asio::awaitable<bool> send(Client &client, const char *bytes, std::size_t length);

    boost::asio::io_context &context;
    HttpAddress address;
    std::string head;
    CrowdManner manner;
    std::vector<std::shared_ptr<Client>> clients;
    int settled = 0;
};

} // namespace Godwitfork
