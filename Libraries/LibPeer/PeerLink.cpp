#include "LibPeer/PeerLink.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
// A handshake message has about 300 bytes. The low limit prevents unauthenticated processes from exhausting the memory.
constexpr std::size_t maxHandshakeBytes = 1024;
} // namespace

PeerLink::PeerLink(Tcp::socket socket, HandshakeRole role, std::string expectedPeer, const PeerNetworkOptions &options, AtomicPeerCounters &counters)
    : socket(std::move(socket))
    , ownRole(role)
    , options(options)
    , counters(counters)
    , handshake(role, options.self, expectedPeer, options.sharedKey)
    , peerIncarnation(std::move(expectedPeer))
    , created(monotonicNow())
    , lastMessage(this->created)
{
}

void PeerLink::setHandlers(PeerLinkHandlers linkHandlers)
{
    this->handlers = std::move(linkHandlers);
}

bool PeerLink::isReady() const
{
    return this->ready;
}

const std::string &PeerLink::peer() const
{
    return this->peerIncarnation;
}

HandshakeRole PeerLink::role() const
{
    return this->ownRole;
}

void PeerLink::dial(const Tcp::endpoint &endpoint)
{
    this->socket.async_connect(endpoint, [self = this->shared_from_this()](boost::system::error_code error) {
        if (error || self->isClosed) {
            self->close();
            return;
        }
        self->start();
    });
}

void PeerLink::start()
{
    boost::system::error_code ignored;
    this->socket.set_option(Tcp::no_delay(true), ignored);
    WebSocketHandlers sessionHandlers;
    sessionHandlers.output = [this](const char *data, std::size_t size) { this->queueOutput(data, size); };
    sessionHandlers.opened = [this] {
        if (this->ownRole == HandshakeRole::Dialer) {
            this->session->sendBinary(this->handshake.hello());
        }
    };
    sessionHandlers.message = [this](std::string payload) { this->handlePayload(std::move(payload)); };
    sessionHandlers.closed = [this] { this->close(); };
    this->session = std::make_unique<WebSocketSession>(this->ownRole == HandshakeRole::Dialer ? WebSocketRole::Dialer : WebSocketRole::Acceptor,
                                                       std::move(sessionHandlers));
    this->session->limitMessageBytes(maxHandshakeBytes);
    this->session->start();
    this->read();
}

void PeerLink::read()
{
    if (this->isClosed) {
        return;
    }
    this->socket.async_read_some(Asio::buffer(this->input), [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
        if (error || self->isClosed) {
            self->close();
            return;
        }
        self->counters.bytesReceived += size;
        self->oldestUnansweredSend.reset();
        self->pinged = false;
        self->session->receive(self->input.data(), size);
        self->read();
    });
}

void PeerLink::queueOutput(const char *data, std::size_t size)
{
    if (this->isClosed) {
        return;
    }
    this->queuedOutput.append(data, size);
    if (!this->oldestUnansweredSend) {
        this->oldestUnansweredSend = monotonicNow();
    }
    if (this->outputInFlight.empty()) {
        this->write();
    }
}

void PeerLink::write()
{
    this->outputInFlight.swap(this->queuedOutput);
    Asio::async_write(this->socket, Asio::buffer(this->outputInFlight), [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
        self->counters.bytesSent += size;
        // Frees the memory of a large message; clear() would keep it allocated as long as the link exists.
        std::string().swap(self->outputInFlight);
        if (error || self->isClosed) {
            self->close();
            return;
        }
        if (!self->queuedOutput.empty()) {
            self->write();
        }
    });
}

bool PeerLink::send(const std::string &payload)
{
    if (!this->ready || this->queuedOutput.size() + this->outputInFlight.size() + payload.size() > this->options.maxQueueBytes) {
        return false;
    }
    this->lastMessage = monotonicNow();
    if (!this->session->sendBinary(payload)) {
        return false;
    }
    ++this->counters.messagesSent;
    return true;
}

void PeerLink::handlePayload(std::string payload)
{
    if (this->isClosed) {
        return;
    }
    if (!this->ready) {
        this->continueHandshake(payload);
        return;
    }
    this->lastMessage = monotonicNow();
    ++this->counters.messagesReceived;
    this->handlers.message(*this, std::move(payload));
}

void PeerLink::continueHandshake(const std::string &payload)
{
    const std::optional<std::string> reply = this->handshake.receive(payload);
    if (this->handshake.state() == PeerHandshake::State::Failed) {
        this->close();
        return;
    }
    if (reply) {
        this->session->sendBinary(*reply);
    }
    if (this->handshake.state() == PeerHandshake::State::Complete) {
        this->peerIncarnation = this->handshake.peer();
        this->session->limitMessageBytes(this->options.maxMessageBytes);
        this->ready = true;
        ++this->counters.openLinks;
        this->handlers.ready(*this);
    }
}

void PeerLink::checkTimeouts(MonotonicTime now)
{
    if (!this->ready) {
        if (now - this->created > this->options.connectTimeout) {
            this->close();
        }
        return;
    }
    if (this->oldestUnansweredSend && now - *this->oldestUnansweredSend > this->options.responseTimeout) {
        ++this->counters.unresponsiveLinks;
        this->close();
    } else if (this->oldestUnansweredSend && !this->pinged && now - *this->oldestUnansweredSend > this->options.pingDelay) {
        this->pinged = true;
        this->session->sendPing();
    } else if (now - this->lastMessage > this->options.idleTimeout) {
        this->close();
    }
}

void PeerLink::restartTimeouts(MonotonicTime now)
{
    this->created = std::max(this->created, now);
    if (this->oldestUnansweredSend) {
        this->oldestUnansweredSend = now;
    }
}

void PeerLink::close()
{
    if (this->isClosed) {
        return;
    }
    this->isClosed = true;
    if (this->ready) {
        --this->counters.openLinks;
    } else {
        ++this->counters.failedHandshakes;
    }
    this->ready = false;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    // Posted, because a handler of the WebSocket session may be on the call stack, and the owner destroys the link in `closed`.
    Asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->handlers.closed(*self); });
}

} // namespace Godwitfork
