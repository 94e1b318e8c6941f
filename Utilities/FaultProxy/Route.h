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

/// Listener on 127.0.0.1 that forwards each connection to one address and applies the route's faults to it. Lives on the
/// context's thread.
class Route : public std::enable_shared_from_this<Route>
{
public:
    /// Binds a port chosen by the kernel; it stays reserved while the route exists, also while the route is cut.
    Route(boost::asio::io_context &context, std::string name, HttpAddress forward, std::uint64_t seed);

    void start();
    /// Puts the faults in force for open and new connections. Faults not named in `faults` end.
    void setFaults(const Faults &faults);
    /// Makes the connections that are open now silent for good without closing them. Returns their number.
    int freeze();
    /// Changes the address that later connections are forwarded to.
    void setForward(HttpAddress address);

    const std::string &name() const;
    HttpAddress address() const;
    const HttpAddress &forward() const;
    const Faults &faults() const;
    int openConnections() const;
    int frozenConnections() const;
    std::int64_t bytesForwarded(Direction direction) const;

    /// Time at which data read now may be written, by the delay, the jitter and the bandwidth limit.
    MonotonicTime dueTime(Direction direction, std::size_t bytes);
    void countForwarded(Direction direction, std::size_t bytes);
    void add(ProxiedConnection *connection);
    void remove(ProxiedConnection *connection);

private:
    using Acceptor = boost::asio::ip::tcp::acceptor;

    void listen();
    boost::asio::awaitable<void> acceptLoop(std::shared_ptr<Acceptor> acceptor);

    boost::asio::io_context &context;
    std::string routeName;
    HttpAddress target;
    RandomSource random;
    Faults current;
    Acceptor reservation;
    std::shared_ptr<Acceptor> listener;
    std::set<ProxiedConnection *> connections;
    std::array<MonotonicTime, 2> linkFree {};
    std::array<std::int64_t, 2> forwarded {};
};

} // namespace Godwitfork
