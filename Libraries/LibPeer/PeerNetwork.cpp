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
// A tick that comes this late shows that the process was paused.
constexpr Duration pauseThreshold = std::chrono::milliseconds(800);
// Messages handed to the network's thread but not yet taken; bounds the memory if that thread falls behind.
constexpr std::size_t maxHandedBytes = std::size_t {32} * 1024 * 1024;
// Links that have not proven the key yet.
constexpr std::size_t maxUnprovenLinks = 512;

struct Peer {
    std::optional<Tcp::endpoint> endpoint;
    std::vector<std::shared_ptr<PeerLink>> links;
    std::shared_ptr<PeerLink> dialling;
    std::deque<std::string> waiting;
    std::size_t waitingBytes = 0;
    /// A lost link is dialled again without waiting for the next message.
    bool wanted = false;
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
    PeerLinkEvents eventsOfLinks();
    void linkReady(PeerLink &link);
    void linkMessage(PeerLink &link, const std::string &payload);
    void linkClosed(PeerLink &link);
    void dropWaiting(Peer &peer);
    void run(std::function<void()> callback) const;

    PeerNetworkOptions options;
    PeerHandlers handlers;
    PeerExecutor executor;
    PeerCounterCells counters;
    Asio::io_context context {1};
    Tcp::acceptor acceptor {context};
    Asio::steady_timer timer {context};
    RandomSource random = systemSeededRandomSource();
    std::map<std::string, Peer> peers;
    std::vector<std::shared_ptr<PeerLink>> unproven;
    std::atomic<std::size_t> handedBytes = 0;
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
        closeAll(this->unproven);
        for (const auto &[incarnation, peer] : this->peers) {
            closeAll(peer.links);
        }
    });
    // The context runs out of work once every link has closed.
    this->thread.join();
}

void PeerNetwork::State::run(std::function<void()> callback) const
{
    if (this->executor) {
        this->executor(std::move(callback));
    } else {
        callback();
    }
}

PeerLinkEvents PeerNetwork::State::eventsOfLinks()
{
    PeerLinkEvents events;
    events.ready = [this](PeerLink &link) { this->linkReady(link); };
    events.message = [this](PeerLink &link, const std::string &payload) { this->linkMessage(link, payload); };
    events.closed = [this](PeerLink &link) { this->linkClosed(link); };
    return events;
}

void PeerNetwork::State::accept()
{
    this->acceptor.async_accept([this](boost::system::error_code error, Tcp::socket socket) {
        if (error == Asio::error::operation_aborted || !this->acceptor.is_open()) {
            return;
        }
        if (!error && this->unproven.size() < maxUnprovenLinks) {
            auto link = std::make_shared<PeerLink>(std::move(socket), HandshakeRole::Acceptor, std::string(), this->options, this->counters);
            link->setEvents(this->eventsOfLinks());
            this->unproven.push_back(link);
            link->start();
        }
        if (error) {
            // The tick accepts again: without free descriptors an immediate retry fails at once and would spin.
            this->acceptStalled = true;
            return;
        }
        this->accept();
    });
}

void PeerNetwork::State::dial(const std::string &incarnation, Peer &peer)
{
    if (this->stopping || peer.dialling || !peer.endpoint) {
        return;
    }
    peer.dialling = std::make_shared<PeerLink>(Tcp::socket(this->context), HandshakeRole::Dialer, incarnation, this->options, this->counters);
    peer.dialling->setEvents(this->eventsOfLinks());
    this->unproven.push_back(peer.dialling);
    peer.dialling->dial(*peer.endpoint);
}

void PeerNetwork::State::linkReady(PeerLink &link)
{
    auto held = link.shared_from_this();
    std::erase(this->unproven, held);
    Peer &peer = this->peers[link.peer()];
    if (peer.dialling == held) {
        peer.dialling.reset();
        peer.backoff = {};
    }
    peer.wanted = false;
    peer.links.push_back(held);
    if (peer.links.size() == 1 && this->handlers.linkUp) {
        this->run([state = this->shared_from_this(), incarnation = link.peer()] { state->handlers.linkUp(incarnation); });
    }
    for (const std::string &payload : peer.waiting) {
        if (!link.send(payload)) {
            ++this->counters.droppedMessages;
        }
    }
    peer.waiting.clear();
    peer.waitingBytes = 0;
}

void PeerNetwork::State::linkMessage(PeerLink &link, const std::string &payload)
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
    this->run([state = this->shared_from_this(), sender = link.peer(), message = std::move(*decoded.assume_value())]() mutable {
        state->handlers.message(sender, std::move(message));
    });
}

void PeerNetwork::State::linkClosed(PeerLink &link)
{
    auto held = link.shared_from_this();
    std::erase(this->unproven, held);
    const auto found = this->peers.find(link.peer());
    if (found == this->peers.end()) {
        return;
    }
    Peer &peer = found->second;
    const bool wasOpen = std::erase(peer.links, held) > 0;
    const bool failedDial = peer.dialling == held;
    if (failedDial) {
        peer.dialling.reset();
        // Messages for a peer that cannot be reached grow stale, and their senders repeat what matters.
        this->dropWaiting(peer);
    }
    if (wasOpen && peer.links.empty() && this->handlers.linkDown) {
        this->run([state = this->shared_from_this(), incarnation = link.peer()] { state->handlers.linkDown(incarnation); });
    }
    if (!peer.endpoint) {
        if (peer.links.empty()) {
            this->peers.erase(found);
        }
        return;
    }
    if (failedDial || (wasOpen && link.role() == HandshakeRole::Dialer && peer.links.empty())) {
        peer.wanted = true;
        peer.backoff = std::clamp(peer.backoff * 2, this->options.redialMin, this->options.redialMax);
        // Full jitter, so that instances that lost the same peer do not dial it at once.
        std::uniform_int_distribution<Duration::rep> jitter(peer.backoff.count() / 2, peer.backoff.count());
        peer.nextDial = monotonicNow() + Duration(jitter(this->random));
    }
}

void PeerNetwork::State::dropWaiting(Peer &peer)
{
    this->counters.droppedMessages += peer.waiting.size();
    peer.waiting.clear();
    peer.waitingBytes = 0;
}

void PeerNetwork::State::tick()
{
    const MonotonicTime now = monotonicNow();
    const bool wasPaused = now - this->lastTick > pauseThreshold;
    this->lastTick = now;
    // The lists stay as they are meanwhile, because the closed event of a link is posted.
    const auto supervise = [now, wasPaused](const std::vector<std::shared_ptr<PeerLink>> &links) {
        for (const auto &link : links) {
            if (wasPaused) {
                link->forgivePause(now);
            } else {
                link->supervise(now);
            }
        }
    };
    supervise(this->unproven);
    for (auto &[incarnation, peer] : this->peers) {
        supervise(peer.links);
        if (peer.wanted && now >= peer.nextDial) {
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
            peer.wanted = false;
            this->dropWaiting(peer);
        }
    }
    std::erase_if(this->peers, [](const auto &entry) { return !entry.second.endpoint && entry.second.links.empty() && !entry.second.dialling; });
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
    // The oldest open link carries everything, so that messages stay in order.
    const auto link = std::find_if(peer.links.begin(), peer.links.end(), [](const auto &candidate) { return candidate->isReady(); });
    if (link != peer.links.end()) {
        if (!(*link)->send(payload)) {
            ++this->counters.droppedMessages;
        }
        return;
    }
    if (!peer.endpoint || peer.waitingBytes + payload.size() > this->options.maxQueueBytes) {
        ++this->counters.droppedMessages;
        return;
    }
    peer.waitingBytes += payload.size();
    peer.waiting.push_back(std::move(payload));
    if (monotonicNow() >= peer.nextDial) {
        this->dial(incarnation, peer);
    } else {
        peer.wanted = true;
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
    if (size > this->state->options.maxMessageBytes || this->state->handedBytes + size > maxHandedBytes) {
        ++this->state->counters.droppedMessages;
        return;
    }
    this->state->handedBytes += size;
    Asio::post(this->state->context, [state = this->state.get(), incarnation, payload = std::move(payload), size]() mutable {
        state->handedBytes -= size;
        state->send(incarnation, std::move(payload));
    });
}

PeerCounters PeerNetwork::counters() const
{
    const PeerCounterCells &cells = this->state->counters;
    PeerCounters counters;
    counters.bytesReceived = cells.bytesReceived;
    counters.bytesSent = cells.bytesSent;
    counters.messagesReceived = cells.messagesReceived;
    counters.messagesSent = cells.messagesSent;
    counters.unknownMessages = cells.unknownMessages;
    counters.malformedMessages = cells.malformedMessages;
    counters.droppedMessages = cells.droppedMessages;
    counters.failedHandshakes = cells.failedHandshakes;
    counters.silentLinks = cells.silentLinks;
    counters.openLinks = cells.openLinks;
    return counters;
}

} // namespace Godwitfork
