#pragma once

#include "LibCore/Time.h"
#include "LibPeer/PeerMessage.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Godwitfork
{

struct PeerNetworkOptions {
    /// Incarnation of this process.
    std::string self;
    /// Key that all instances share; the handshake with a process that does not hold it fails. Must not be empty.
    std::string sharedKey;
    std::string listenHost = "127.0.0.1";
    /// TCP port of the listener; 0 lets the kernel choose one.
    std::uint16_t listenPort = 0;
    std::size_t maxMessageBytes = std::size_t {2} * 1024 * 1024;
    /// Limit for the bytes queued for one peer; a message that exceeds it is dropped and counted.
    std::size_t maxQueueBytes = std::size_t {4} * 1024 * 1024;
    /// Time limit for the TCP connection, the WebSocket handshake and the authentication handshake together.
    Duration connectTimeout = std::chrono::milliseconds(1500);
    /// Time without received bytes after a send before the link is pinged.
    Duration pingDelay = std::chrono::milliseconds(500);
    /// Time without received bytes after a send before the link is closed and dialled again. Timeouts are checked every
    /// 200 ms, so an unresponsive peer is detected within 2 s.
    Duration responseTimeout = std::chrono::milliseconds(1600);
    /// Bounds of the exponential back-off between two attempts to dial a peer.
    Duration minRedialDelay = std::chrono::milliseconds(50);
    Duration maxRedialDelay = std::chrono::seconds(3);
    /// Time without messages before a link is closed. With 330 instances a link carries a message every 41 s on average, so
    /// that links normally stay open.
    Duration idleTimeout = std::chrono::minutes(5);
};

struct PeerEndpoint {
    std::string incarnation;
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const PeerEndpoint &) const = default;
};

/// Totals since the network started, except `openLinks`, which is the current number.
struct PeerCounters {
    /// TCP payload bytes, including the WebSocket framing.
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t unknownMessages = 0;
    std::uint64_t malformedMessages = 0;
    /// Messages dropped because a queue was full, the message too large or the peer unknown or unreachable.
    std::uint64_t droppedMessages = 0;
    /// Connections that failed or closed before the authentication handshake was complete.
    std::uint64_t failedHandshakes = 0;
    /// Links closed because the peer sent nothing within `PeerNetworkOptions::responseTimeout`.
    std::uint64_t unresponsiveLinks = 0;
    std::uint64_t openLinks = 0;
};

/// Function that runs a callback; that of the router posts it to the control thread.
using PeerExecutor = std::function<void(std::function<void()>)>;

struct PeerHandlers {
    /// Called for each message of an authenticated peer.
    std::function<void(const std::string &sender, PeerMessage message)> message;
    /// Called when the first link with a peer opens and when the last one closes. Either may be unset.
    std::function<void(const std::string &peer)> linkUp;
    std::function<void(const std::string &peer)> linkDown;
};

/// Manages the links with the other routers on its own thread. A link is dialled at the first send and carries messages in
/// both directions. While its peer is in the peer list, a lost link is dialled again with exponential back-off and jitter.
/// Messages to one peer arrive in order or not at all. All functions may be called from any thread.
class PeerNetwork
{
public:
    /// Binds the listener; throws boost::system::system_error if the address is in use. Without an executor the handlers run
    /// on the network thread.
    PeerNetwork(PeerNetworkOptions options, PeerHandlers handlers, PeerExecutor executor = {});
    /// Closes all links and joins the thread. Callbacks that the executor has already received may still run afterwards.
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    std::uint16_t port() const;
    /// Replaces the list of peers that may be dialled. Open links are not closed.
    void setPeers(std::vector<PeerEndpoint> peers);
    /// Queues a message. It is dropped if a queue is full, the message is too large or the peer is unknown or unreachable
    /// (counted as `droppedMessages`), and may be lost if the link fails.
    void send(const std::string &incarnation, const PeerMessage &message);
    PeerCounters counters() const;

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace Godwitfork
