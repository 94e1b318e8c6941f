#pragma once

#include "Route.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>

namespace Godwitfork
{

/// Client connection and the associated connection to the target, with a queue of delayed data for each direction.
class ProxiedConnection : public std::enable_shared_from_this<ProxiedConnection>
{
public:
    ProxiedConnection(boost::asio::io_context &context, std::shared_ptr<Route> route, boost::asio::ip::tcp::socket client);
    ~ProxiedConnection();
    ProxiedConnection(const ProxiedConnection &) = delete;
    ProxiedConnection &operator=(const ProxiedConnection &) = delete;

    /// Connects to the target and starts to forward data in both directions.
    boost::asio::awaitable<void> run();
    /// Resets both sides unless the connection is frozen, because a path that loses all packets loses the reset as well.
    void resetUnlessFrozen();
    /// Permanently stops forwarding data, without closing the connection.
    void freeze();
    /// Wakes the readers and writers, so that they apply the route's new faults.
    void applyChangedFaults();
    bool isFrozen() const;

private:
    /// Data that was read at once and is delayed as a whole.
    struct Chunk {
        /// Time from which the bytes may be written.
        MonotonicTime due;
        /// Data; empty to mark the end of the stream.
        std::string bytes;
    };

    /// One direction of the connection.
    struct Pipe {
        Pipe(boost::asio::io_context &context, Direction direction, boost::asio::ip::tcp::socket &from, boost::asio::ip::tcp::socket &to);

        Direction direction;
        boost::asio::ip::tcp::socket &from;
        boost::asio::ip::tcp::socket &to;
        std::deque<Chunk> chunks;
        std::size_t queuedBytes = 0;
        /// Due time of the chunk that was queued last.
        MonotonicTime lastDue;
        /// Timer that never expires; cancelling it wakes the reader and the writer.
        boost::asio::steady_timer wakeTimer;
        boost::asio::steady_timer dueTimer;
    };

    /// Reads from the pipe's source into its queue until the end of the stream.
    boost::asio::awaitable<void> readInto(Pipe &pipe);
    /// Writes the pipe's queue to its destination, each chunk once it is due.
    boost::asio::awaitable<void> writeFrom(Pipe &pipe);
    /// Appends a chunk with its due time to the pipe's queue.
    void enqueue(Pipe &pipe, std::string bytes);
    /// Starts the coroutines that read and write one direction.
    void startPipe(Pipe &pipe);
    /// Whether a fault prevents data from being forwarded in the direction.
    bool isWithheld(Direction direction) const;
    /// Largest size of a chunk, in bytes.
    std::size_t maxChunkSize() const;
    /// Number of queued bytes in one direction from which on no more is read.
    std::size_t maxQueueSize() const;
    /// Closes both sides with a TCP reset.
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
