#pragma once

#include "LibCore/Time.h"
#include "LibPeer/PeerHandshake.h"
#include "LibPeer/PeerNetwork.h"
#include "LibPeer/WebSocketSession.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Godwitfork
{

/// Counters that the network thread writes and any thread may read.
struct AtomicPeerCounters {
    std::atomic<std::uint64_t> bytesReceived = 0;
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> messagesReceived = 0;
    std::atomic<std::uint64_t> messagesSent = 0;
    std::atomic<std::uint64_t> unknownMessages = 0;
    std::atomic<std::uint64_t> malformedMessages = 0;
    std::atomic<std::uint64_t> droppedMessages = 0;
    std::atomic<std::uint64_t> failedHandshakes = 0;
    std::atomic<std::uint64_t> unresponsiveLinks = 0;
    std::atomic<std::uint64_t> openLinks = 0;
};

class PeerLink;

/// Callbacks of a link, called on the network thread.
struct PeerLinkHandlers {
    std::function<void(PeerLink &)> ready;
    std::function<void(PeerLink &, std::string payload)> message;
    /// Called once, after the last call of the other handlers.
    std::function<void(PeerLink &)> closed;
};

/// One TCP connection with another router: WebSocket framing, the authentication handshake and the detection of peers that
/// stop responding. Internal to the library; used on the network thread only.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    using Tcp = boost::asio::ip::tcp;

    /// `expectedPeer` is the incarnation to connect to; empty on the accepting side.
    PeerLink(Tcp::socket socket, HandshakeRole role, std::string expectedPeer, const PeerNetworkOptions &options, AtomicPeerCounters &counters);

    void setHandlers(PeerLinkHandlers linkHandlers);
    /// Connects, then calls `start`.
    void dial(const Tcp::endpoint &endpoint);
    /// Starts the WebSocket and authentication handshakes on the connected socket.
    void start();
    /// Returns false if the queue is full or the link is not ready.
    bool send(const std::string &payload);
    /// Closes the link if its handshake, the peer's response or the next message is overdue; sends a ping first if the peer
    /// has not responded for `pingDelay`.
    void checkTimeouts(MonotonicTime now);
    /// Restarts the handshake and response timeouts after this process was paused: bytes that the peer sent during the pause
    /// are still unread, so the time without a response says nothing about the peer.
    void restartTimeouts(MonotonicTime now);
    void close();

    bool isReady() const;
    const std::string &peer() const;
    HandshakeRole role() const;

private:
    void read();
    void write();
    void queueOutput(const char *data, std::size_t size);
    void handlePayload(std::string payload);
    void continueHandshake(const std::string &payload);

    Tcp::socket socket;
    HandshakeRole ownRole;
    const PeerNetworkOptions &options;
    AtomicPeerCounters &counters;
    PeerLinkHandlers handlers;
    PeerHandshake handshake;
    std::string peerIncarnation;
    std::unique_ptr<WebSocketSession> session;
    std::array<char, 4096> input {};
    std::string queuedOutput;
    std::string outputInFlight;
    bool ready = false;
    bool isClosed = false;
    bool pinged = false;
    MonotonicTime created;
    MonotonicTime lastMessage;
    /// Time of the first send after the last received bytes; empty if nothing was sent since.
    std::optional<MonotonicTime> oldestUnansweredSend;
};

} // namespace Godwitfork
