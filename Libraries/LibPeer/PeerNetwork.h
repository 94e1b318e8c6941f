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
    /// Key that all instances hold; links with processes that lack it fail. Must not be empty.
    std::string sharedKey;
    std::string listenHost = "127.0.0.1";
    /// 0 lets the kernel choose.
    std::uint16_t listenPort = 0;
    std::size_t maxMessageBytes = std::size_t {2} * 1024 * 1024;
    /// Bound of the bytes that wait for one peer; messages above it are dropped and counted.
    std::size_t maxQueueBytes = std::size_t {4} * 1024 * 1024;
    /// Limit for the TCP connection, the WebSocket handshake and the challenge together.
    Duration connectTimeout = std::chrono::milliseconds(1500);
    /// A link that answers nothing for this long after a send is pinged.
    Duration pingAfter = std::chrono::milliseconds(500);
    /// A link that answers nothing for this long after a send is closed and replaced. With the tick this stays below 2 s.
    Duration silenceLimit = std::chrono::milliseconds(1600);
    Duration redialMin = std::chrono::milliseconds(50);
    Duration redialMax = std::chrono::seconds(3);
    /// A link without messages for this long is closed. At 330 instances a link is used each 41 s on average, so that
    /// links normally stay open.
    Duration idleLimit = std::chrono::minutes(5);
};

struct PeerEndpoint {
    std::string incarnation;
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const PeerEndpoint &) const = default;
};

struct PeerCounters {
    /// Bytes of the TCP payload, with the WebSocket framing.
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t messagesReceived = 0;
    std::uint64_t messagesSent = 0;
    std::uint64_t unknownMessages = 0;
    std::uint64_t malformedMessages = 0;
    /// Messages that found a full queue or a peer that could not be reached.
    std::uint64_t droppedMessages = 0;
    /// Connections that closed before both sides had proven the key.
    std::uint64_t failedHandshakes = 0;
    /// Links closed because the peer answered nothing.
    std::uint64_t silentLinks = 0;
    std::uint64_t openLinks = 0;
};

/// Runs a callback; the router's function posts it to the control thread.
using PeerExecutor = std::function<void(std::function<void()>)>;

struct PeerHandlers {
    /// Message of an authenticated peer.
    std::function<void(const std::string &sender, PeerMessage message)> message;
    /// The first link with a peer opened, or its last one closed. Both may be empty.
    std::function<void(const std::string &peer)> linkUp;
    std::function<void(const std::string &peer)> linkDown;
};

/// Links with the other routers, on a thread of its own. A link is dialled at the first send, serves both directions, and
/// is dialled again with backoff and jitter after a loss while its peer is in the peer list. Messages to one peer arrive in
/// order or not at all. All functions may be called from any thread.
class PeerNetwork
{
public:
    /// Binds at once and throws boost::system::system_error if the address is in use. Without an executor the handlers run
    /// on the network's thread.
    PeerNetwork(PeerNetworkOptions options, PeerHandlers handlers, PeerExecutor executor = {});
    /// Closes all links and waits for the thread. Callbacks that were posted already may still run afterwards.
    ~PeerNetwork();
    PeerNetwork(const PeerNetwork &) = delete;
    PeerNetwork &operator=(const PeerNetwork &) = delete;

    std::uint16_t port() const;
    /// Replaces the list of peers that may be dialled. Links that other instances opened stay.
    void setPeers(std::vector<PeerEndpoint> peers);
    /// Queues a message. It is lost if the queue is full, the peer is unknown or the link fails; the counters tell.
    void send(const std::string &incarnation, const PeerMessage &message);
    PeerCounters counters() const;

    struct State;

private:
    std::shared_ptr<State> state;
};

} // namespace Godwitfork
