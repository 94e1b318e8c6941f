#pragma once

#include "Faults.h"
#include "LibCore/Random.h"
#include "LibHttp/HttpMessage.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <set>
#include <string>

namespace Godwitfork
{

class ProxiedConnection;

/// Listener on 127.0.0.1 that forwards each connection to one address and injects the route's faults. Runs on the context's
/// thread.
class Route : public std::enable_shared_from_this<Route>
{
public:
    /// Binds a port that the kernel chooses. The port stays reserved for the lifetime of the route, even while the route is cut.
    Route(boost::asio::io_context &context, std::string name, HttpAddress forward, std::uint64_t seed);

    /// Starts to accept connections.
    void start();
    /// Replaces the faults of open and new connections. Faults that are absent from `faults` end.
    void setFaults(const Faults &faults);
    /// Permanently stops forwarding on all open connections without closing them. Returns how many were not frozen before.
    int freeze();
    /// Changes the address that later connections are forwarded to.
    void setForward(HttpAddress address);

    const std::string &name() const;
    /// Address on which the route listens.
    HttpAddress address() const;
    /// Address that new connections are forwarded to.
    const HttpAddress &forward() const;
    /// Faults that are in effect now.
    const Faults &faults() const;
    /// Number of open connections, including frozen ones.
    int openConnections() const;
    int frozenConnections() const;
    /// Number of bytes that were forwarded in the direction.
    std::int64_t bytesForwarded(Direction direction) const;

    /// Reserves bandwidth for data that was read now. Returns the time from which the data may be written, according to the delay,
    /// the jitter and the bandwidth limit.
    MonotonicTime scheduleWrite(Direction direction, std::size_t bytes);
    /// Adds to the number of forwarded bytes.
    void countForwarded(Direction direction, std::size_t bytes);
    void registerConnection(ProxiedConnection *connection);
    void unregisterConnection(ProxiedConnection *connection);

private:
    using Acceptor = boost::asio::ip::tcp::acceptor;

    void listen();
    boost::asio::awaitable<void> acceptLoop(std::shared_ptr<Acceptor> acceptor);

    boost::asio::io_context &context;
    std::string routeName;
    HttpAddress target;
    RandomSource random;
    Faults currentFaults;
    /// Socket that reserves the port.
    Acceptor portReservation;
    std::shared_ptr<Acceptor> listener;
    std::set<ProxiedConnection *> connections;
    /// Time until which the limited bandwidth is reserved, by direction.
    std::array<MonotonicTime, 2> linkFreeTimes {};
    /// Number of forwarded bytes, by direction.
    std::array<std::int64_t, 2> forwardedBytes {};
};

} // namespace Godwitfork
