#include "LibPeer/PeerNetwork.h"

#include "LibCore/Random.h"
#include "LibPeer/PeerLink.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <map>
#include <thread>

namespace Godwitfork
{

namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

namespace
{
constexpr Duration tickInterval = std::chrono::milliseconds(200);
// If more time than this lies between two ticks, the process was paused.
constexpr Duration pauseThreshold = std::chrono::milliseconds(800);
// Limit for the bytes of messages posted to the network thread that it has not processed yet.
constexpr std::size_t maxPostedBytes = std::size_t {32} * 1024 * 1024;
// Accepted connections are closed while this many links, dialled ones included, have not completed the authentication handshake.
constexpr std::size_t maxUnauthenticatedLinks = 512;

struct Peer {
    std::optional<Tcp::endpoint> endpoint;
    std::vector<std::shared_ptr<PeerLink>> links;
    std::shared_ptr<PeerLink> diallingLink;
    std::deque<std::string> queuedMessages;
    std::size_t queuedBytes = 0;
    /// Whether the tick dials the peer once `nextDial` is reached, without waiting for another message.
    bool isDialPending = false;
    Duration backoff {};
    MonotonicTime nextDial {};
};
} // namespace

struct PeerNetwork::State : std::enable_shared_from_this<PeerNetwork::State> {
    State(PeerNetworkOptions options, PeerHandlers handlers, PeerExecutor executor);

    void start();
    void stop();
    void accept();
    void tick();
    void setPeers(const std::vector<PeerEndpoint> &endpoints);
    void send(const std::string &incarnation, std::string payload);
    void dial(const std::string &incarnation, Peer &peer);
    PeerLinkHandlers makeLinkHandlers();
    void handleLinkReady(PeerLink &link);
    void handleLinkMessage(PeerLink &link, const std::string &payload);
    void handleLinkClosed(PeerLink &link);
    void dropQueuedMessages(Peer &peer);
    void dispatch(std::function<void()> callback) const;

    PeerNetworkOptions options;
    PeerHandlers handlers;
    PeerExecutor executor;
    AtomicPeerCounters counters;
    Asio::io_context context {1};
    Tcp::acceptor acceptor {context};
    Asio::steady_timer timer {context};
    RandomSource random = systemSeededRandomSource();
    std::map<std::string, Peer> peers;
    std::vector<std::shared_ptr<PeerLink>> unauthenticatedLinks;
    std::atomic<std::size_t> postedBytes = 0;
    MonotonicTime lastTick = monotonicNow();
    bool acceptStalled = false;
    bool stopping = false;
    std::uint16_t port = 0;
    std::thread thread;
};

PeerNetwork::State::State(PeerNetworkOptions options, PeerHandlers handlers, PeerExecutor executor)
    : options(std::move(options)), handlers(std::move(handlers)), executor(std::move(executor))
{
    const Tcp::endpoint endpoint(Asio::ip::make_address(this->options.listenHost), this->options.listenPort);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(Tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen(Asio::socket_base::max_listen_connections);
    this->port = this->acceptor.local_endpoint().port();
}

void PeerNetwork::State::start()
{
    this->accept();
    this->tick();
    this->thread = std::thread([state = this] { state->context.run(); });
}

void PeerNetwork::State::stop()
{
    Asio::post(this->context, [this] {
        this->stopping = true;
        boost::system::error_code ignored;
        this->acceptor.close(ignored);
        this->timer.cancel();
        const auto closeAll = [](const std::vector<std::shared_ptr<PeerLink>> &links) {
            for (const auto &link : links) {
                link->close();
            }
        };
        closeAll(this->unauthenticatedLinks);
        for (const auto &[incarnation, peer] : this->peers) {
            closeAll(peer.links);
        }
    });
    // io_context::run returns once every link has closed, since no work is left then.
    this->thread.join();
}

void PeerNetwork::State::dispatch(std::function<void()> callback) const
{
    if (this->executor) {
        this->executor(std::move(callback));
    } else {
        callback();
    }
}

PeerLinkHandlers PeerNetwork::State::makeLinkHandlers()
{
    PeerLinkHandlers linkHandlers;
    linkHandlers.ready = [this](PeerLink &link) { this->handleLinkReady(link); };
    linkHandlers.message = [this](PeerLink &link, const std::string &payload) { this->handleLinkMessage(link, payload); };
    linkHandlers.closed = [this](PeerLink &link) { this->handleLinkClosed(link); };
    return linkHandlers;
}

void PeerNetwork::State::accept()
{
    this->acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
        if (error == Asio::error::operation_aborted || !this->acceptor.is_open()) {
            return;
        }
        if (!error && this->unauthenticatedLinks.size() < maxUnauthenticatedLinks) {
            auto link = std::make_shared<PeerLink>(std::move(socket), HandshakeRole::Acceptor, std::string(), this->options, this->counters);
            link->setHandlers(this->makeLinkHandlers());
            this->unauthenticatedLinks.push_back(link);
            link->start();
        }
        if (error) {
            // The next tick accepts again. An immediate retry would loop if the process is out of file descriptors.
            this->acceptStalled = true;
            return;
        }
        this->accept();
    });
}

void PeerNetwork::State::dial(const std::string &incarnation, Peer &peer)
{
    if (this->stopping || peer.diallingLink || !peer.endpoint) {
        return;
    }
    peer.diallingLink = std::make_shared<PeerLink>(Tcp::socket(this->context), HandshakeRole::Dialer, incarnation, this->options, this->counters);
    peer.diallingLink->setHandlers(this->makeLinkHandlers());
    this->unauthenticatedLinks.push_back(peer.diallingLink);
    peer.diallingLink->dial(*peer.endpoint);
}

void PeerNetwork::State::handleLinkReady(PeerLink &link)
{
    auto sharedLink = link.shared_from_this();
    std::erase(this->unauthenticatedLinks, sharedLink);
    Peer &peer = this->peers[link.peer()];
    if (peer.diallingLink == sharedLink) {
        peer.diallingLink.reset();
        peer.backoff = {};
    }
    peer.isDialPending = false;
    peer.links.push_back(sharedLink);
    if (peer.links.size() == 1 && this->handlers.linkUp) {
        this->dispatch([state = this->shared_from_this(), incarnation = link.peer()] { state->handlers.linkUp(incarnation); });
    }
    for (const std::string &payload : peer.queuedMessages) {
        if (!link.send(payload)) {
            ++this->counters.droppedMessages;
        }
    }
    peer.queuedMessages.clear();
    peer.queuedBytes = 0;
}

void PeerNetwork::State::handleLinkMessage(PeerLink &link, const std::string &payload)
{
    auto decoded = decodePeerMessage(payload);
    if (!decoded) {
        ++this->counters.malformedMessages;
        return;
    }
    if (!decoded.assume_value()) {
        ++this->counters.unknownMessages;
        return;
    }
    this->dispatch([state = this->shared_from_this(), sender = link.peer(), message = std::move(*decoded.assume_value())]() mutable {
        state->handlers.message(sender, std::move(message));
    });
}

void PeerNetwork::State::handleLinkClosed(PeerLink &link)
{
    auto sharedLink = link.shared_from_this();
    std::erase(this->unauthenticatedLinks, sharedLink);
    const auto found = this->peers.find(link.peer());
    if (found == this->peers.end()) {
        return;
    }
    Peer &peer = found->second;
    const bool wasOpen = std::erase(peer.links, sharedLink) > 0;
    const bool failedDial = peer.diallingLink == sharedLink;
    if (failedDial) {
        peer.diallingLink.reset();
        // Messages for an unreachable peer would be outdated on delivery; their senders repeat what must arrive.
        this->dropQueuedMessages(peer);
    }
    if (wasOpen && peer.links.empty() && this->handlers.linkDown) {
        this->dispatch([state = this->shared_from_this(), incarnation = link.peer()] { state->handlers.linkDown(incarnation); });
    }
    if (!peer.endpoint) {
        if (peer.links.empty()) {
            this->peers.erase(found);
        }
        return;
    }
    if (failedDial || (wasOpen && link.role() == HandshakeRole::Dialer && peer.links.empty())) {
        peer.isDialPending = true;
        peer.backoff = std::clamp(peer.backoff * 2, this->options.minRedialDelay, this->options.maxRedialDelay);
        // Jitter over the upper half of the back-off, so that instances that lost the same peer do not dial it simultaneously.
        std::uniform_int_distribution<Duration::rep> jitter(peer.backoff.count() / 2, peer.backoff.count());
        peer.nextDial = monotonicNow() + Duration(jitter(this->random));
    }
}

void PeerNetwork::State::dropQueuedMessages(Peer &peer)
{
    this->counters.droppedMessages += peer.queuedMessages.size();
    peer.queuedMessages.clear();
    peer.queuedBytes = 0;
}

void PeerNetwork::State::tick()
{
    const MonotonicTime now = monotonicNow();
    const bool wasPaused = now - this->lastTick > pauseThreshold;
    this->lastTick = now;
    // Closing a link does not change the lists during the iteration, because `PeerLinkHandlers::closed` is posted.
    const auto checkTimeouts = [now, wasPaused](const std::vector<std::shared_ptr<PeerLink>> &links) {
        for (const auto &link : links) {
            if (wasPaused) {
                link->restartTimeouts(now);
            } else {
                link->checkTimeouts(now);
            }
        }
    };
    checkTimeouts(this->unauthenticatedLinks);
    for (auto &[incarnation, peer] : this->peers) {
        checkTimeouts(peer.links);
        if (peer.isDialPending && now >= peer.nextDial) {
            this->dial(incarnation, peer);
        }
    }
    if (std::exchange(this->acceptStalled, false)) {
        this->accept();
    }
    this->timer.expires_after(tickInterval);
    this->timer.async_wait([this](boost::system::error_code error) {
        if (!error && !this->stopping) {
            this->tick();
        }
    });
}

void PeerNetwork::State::setPeers(const std::vector<PeerEndpoint> &endpoints)
{
    std::map<std::string, Tcp::endpoint> listed;
    for (const PeerEndpoint &endpoint : endpoints) {
        boost::system::error_code error;
        const auto address = Asio::ip::make_address(endpoint.host, error);
        if (!error && endpoint.incarnation != this->options.self) {
            listed[endpoint.incarnation] = Tcp::endpoint(address, endpoint.port);
        }
    }
    for (auto &[incarnation, peer] : this->peers) {
        if (listed.count(incarnation) == 0) {
            peer.endpoint.reset();
            peer.isDialPending = false;
            this->dropQueuedMessages(peer);
        }
    }
    std::erase_if(this->peers, [](const auto &entry) { return !entry.second.endpoint && entry.second.links.empty() && !entry.second.diallingLink; });
    for (const auto &[incarnation, endpoint] : listed) {
        this->peers[incarnation].endpoint = endpoint;
    }
}

void PeerNetwork::State::send(const std::string &incarnation, std::string payload)
{
    const auto found = this->peers.find(incarnation);
    if (found == this->peers.end()) {
        ++this->counters.droppedMessages;
        return;
    }
    Peer &peer = found->second;
    // All messages use the oldest open link, which keeps them in order.
    const auto link = std::find_if(peer.links.begin(), peer.links.end(), [](const auto &candidate) { return candidate->isReady(); });
    if (link != peer.links.end()) {
        if (!(*link)->send(payload)) {
            ++this->counters.droppedMessages;
        }
        return;
    }
    if (!peer.endpoint || peer.queuedBytes + payload.size() > this->options.maxQueueBytes) {
        ++this->counters.droppedMessages;
        return;
    }
    peer.queuedBytes += payload.size();
    peer.queuedMessages.push_back(std::move(payload));
    if (monotonicNow() >= peer.nextDial) {
        this->dial(incarnation, peer);
    } else {
        peer.isDialPending = true;
    }
}

PeerNetwork::PeerNetwork(PeerNetworkOptions options, PeerHandlers handlers, PeerExecutor executor)
    : state(std::make_shared<State>(std::move(options), std::move(handlers), std::move(executor)))
{
    this->state->start();
}

PeerNetwork::~PeerNetwork()
{
    this->state->stop();
}

std::uint16_t PeerNetwork::port() const
{
    return this->state->port;
}

void PeerNetwork::setPeers(std::vector<PeerEndpoint> peers)
{
    Asio::post(this->state->context, [state = this->state.get(), peers = std::move(peers)] { state->setPeers(peers); });
}

void PeerNetwork::send(const std::string &incarnation, const PeerMessage &message)
{
    std::string payload = encodePeerMessage(message);
    const std::size_t size = payload.size();
    if (size > this->state->options.maxMessageBytes || this->state->postedBytes + size > maxPostedBytes) {
        ++this->state->counters.droppedMessages;
        return;
    }
    this->state->postedBytes += size;
    Asio::post(this->state->context, [state = this->state.get(), incarnation, payload = std::move(payload), size]() mutable {
        state->postedBytes -= size;
        state->send(incarnation, std::move(payload));
    });
}

PeerCounters PeerNetwork::counters() const
{
    const AtomicPeerCounters &cells = this->state->counters;
    PeerCounters counters;
    counters.bytesReceived = cells.bytesReceived;
    counters.bytesSent = cells.bytesSent;
    counters.messagesReceived = cells.messagesReceived;
    counters.messagesSent = cells.messagesSent;
    counters.unknownMessages = cells.unknownMessages;
    counters.malformedMessages = cells.malformedMessages;
    counters.droppedMessages = cells.droppedMessages;
    counters.failedHandshakes = cells.failedHandshakes;
    counters.unresponsiveLinks = cells.unresponsiveLinks;
    counters.openLinks = cells.openLinks;
    return counters;
}

} // namespace Godwitfork
