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

/// Counters that the network's thread writes and any thread reads.
struct PeerCounterCells {
    std::atomic<std::uint64_t> bytesReceived = 0;
    std::atomic<std::uint64_t> bytesSent = 0;
    std::atomic<std::uint64_t> messagesReceived = 0;
    std::atomic<std::uint64_t> messagesSent = 0;
    std::atomic<std::uint64_t> unknownMessages = 0;
    std::atomic<std::uint64_t> malformedMessages = 0;
    std::atomic<std::uint64_t> droppedMessages = 0;
    std::atomic<std::uint64_t> failedHandshakes = 0;
    std::atomic<std::uint64_t> silentLinks = 0;
    std::atomic<std::uint64_t> openLinks = 0;
};

class PeerLink;

struct PeerLinkEvents {
    std::function<void(PeerLink &)> ready;
    std::function<void(PeerLink &, std::string payload)> message;
    /// Called once, after the last other event.
    std::function<void(PeerLink &)> closed;
};

/// One TCP connection with another router: WebSocket framing, the key challenge, and the supervision of silence. Internal to
/// the library; used on the network's thread only.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    using Tcp = boost::asio::ip::tcp;

    /// `expectedPeer` is the incarnation that is dialled; empty on the accepting side.
    PeerLink(Tcp::socket socket, HandshakeRole role, std::string expectedPeer, const PeerNetworkOptions &options, PeerCounterCells &counters);

    void setEvents(PeerLinkEvents given);
    /// Connects, then goes on as `start`.
    void dial(const Tcp::endpoint &endpoint);
    void start();
    /// False if the queue is full or the link is not ready.
    bool send(const std::string &payload);
    /// Closes a link that is overdue, silent or idle, and pings one that may be.
    void supervise(MonotonicTime now);
    /// Restarts the limits after a pause of this process, which leaves unread bytes that prove the peer alive.
    void forgivePause(MonotonicTime now);
    void close();

    bool isReady() const;
    const std::string &peer() const;
    HandshakeRole role() const;

private:
    void read();
    void write();
    void queueOutput(const char *data, std::size_t size);
    void takePayload(std::string payload);
    void continueHandshake(const std::string &payload);

    Tcp::socket socket;
    HandshakeRole ownRole;
    const PeerNetworkOptions &options;
    PeerCounterCells &counters;
    PeerLinkEvents events;
    PeerHandshake handshake;
    std::string peerName;
    std::unique_ptr<WebSocketSession> session;
    std::array<char, 4096> input {};
    std::string queued;
    std::string inFlight;
    bool ready = false;
    bool isClosed = false;
    bool pinged = false;
    MonotonicTime created;
    MonotonicTime lastMessage;
    /// Time of the oldest send since bytes last arrived.
    std::optional<MonotonicTime> awaitingSince;
};

} // namespace Godwitfork
