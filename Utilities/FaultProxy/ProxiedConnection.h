#pragma once

#include "Route.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace Godwitfork
{

/// One client connection and its connection to the target, with a delay line for each direction.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection>
{
public:
    ProxiedConnection(boost::asio::io_context &context, std::shared_ptr<Route> route, boost::asio::ip::tcp::socket client);
    ~ProxiedConnection();
    ProxiedConnection(const ProxiedConnection &) = delete;
    ProxiedConnection &operator=(const ProxiedConnection &) = delete;

    boost::asio::awaitable<void> run();
    /// Resets both sides, unless the connection is frozen: no reset gets through a path that has gone silent.
    void cut();
    void freeze();
    void notifyFaultsChanged();
    bool isFrozen() const;

private:
    struct Piece {
        MonotonicTime due;
        /// Empty at the end of the stream.
        std::string bytes;
    };

    struct Pipe {
        Pipe(boost::asio::io_context &context, Direction direction, boost::asio::ip::tcp::socket &from, boost::asio::ip::tcp::socket &to);

        Direction direction;
        boost::asio::ip::tcp::socket &from;
        boost::asio::ip::tcp::socket &to;
        std::deque<Piece> pieces;
        std::size_t queuedBytes = 0;
        MonotonicTime lastDue;
        /// Never expires; cancelling it wakes the reader and the writer.
        boost::asio::steady_timer changed;
        boost::asio::steady_timer dueTimer;
    };

    boost::asio::awaitable<void> readInto(Pipe &pipe);
    boost::asio::awaitable<void> writeFrom(Pipe &pipe);
    void push(Pipe &pipe, std::string bytes);
    void startPipe(Pipe &pipe);
    bool isWithheld(Direction direction) const;
    std::size_t pieceLimit() const;
    std::size_t queueLimit() const;
    void reset();

    boost::asio::io_context &context;
    std::shared_ptr<Route> route;
    boost::asio::ip::tcp::socket client;
    boost::asio::ip::tcp::socket target;
    Pipe toTarget;
    Pipe toClient;
    bool frozen = false;
    bool closed = false;
};

/// Serves one accepted connection of a route until it ends.
void startConnection(boost::asio::io_context &context, std::shared_ptr<Route> route, boost::asio::ip::tcp::socket client);

} // namespace Godwitfork
