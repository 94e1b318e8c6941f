#pragma once

#include "LibHttp/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <set>
#include <string>

namespace Godwitfork
{

class HttpConnection;

/// What the listener and the connections of a server share.
struct HttpServer::State : std::enable_shared_from_this<HttpServer::State> {
    State(boost::asio::io_context &context, HttpServerLimits limits, HttpHandler handler, HttpErrorFormatter formatError);

    boost::asio::awaitable<void> acceptLoop();
    void open(boost::asio::ip::tcp::socket socket);
    bool mayAccept() const;
    void closeListener();
    void drain();
    /// Reservation for a connection or, without an admission of its own, for a body.
    MemoryReservation openMemory(MemoryUse use, const std::string &address) const;
    /// Releases memory for a demand that cannot be met.
    bool relieve(MemoryShortage shortage, MemoryUse use, const std::string &client);
    /// Closes a connection to make room for another one, of the given address if that is not empty. Returns false if none may be closed.
    bool evictForConnection(const std::string &address);
    /// Logs the counters after a change, at a bounded rate.
    void logCounters();

    boost::asio::io_context &context;
    boost::asio::ip::tcp::acceptor acceptor;
    HttpServerLimits limits;
    HttpHandler handler;
    HttpErrorFormatter formatError;
    BodyAdmission admitBody;
    std::optional<MemoryBudget> memory;
    std::set<HttpConnection *> connections;
    /// Open connections by address of the client, without those that are being evicted.
    std::map<std::string, int> connectionsByAddress;
    /// Connections that were chosen for eviction and are not closed yet.
    int evictedOpen = 0;
    /// Connection that demands memory; null if it is none of this server.
    HttpConnection *demanding = nullptr;
    std::uint64_t acceptedConnections = 0;
    HttpServerCounters counters;
    MonotonicTime countersLoggedAt;
    bool isKeepAliveDisabled = false;
    bool isDraining = false;
};

} // namespace Godwitfork
