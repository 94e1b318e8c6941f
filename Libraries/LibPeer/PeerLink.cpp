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
// A handshake message has about 300 bytes. The low limit keeps processes without the key from filling the memory.
constexpr std::size_t maxHandshakeBytes = 1024;
} // namespace

PeerLink::PeerLink(Tcp::socket socket, HandshakeRole role, std::string expectedPeer, const PeerNetworkOptions &options, PeerCounterCells &counters)
    : socket(std::move(socket))
    , ownRole(role)
    , options(options)
    , counters(counters)
    , handshake(role, options.self, expectedPeer, options.sharedKey)
    , peerName(std::move(expectedPeer))
    , created(monotonicNow())
    , lastMessage(this->created)
{
}

void PeerLink::setEvents(PeerLinkEvents given)
{
    this->events = std::move(given);
}

bool PeerLink::isReady() const
{
    return this->ready;
}

const std::string &PeerLink::peer() const
{
    return this->peerName;
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
    WebSocketHandlers handlers;
    handlers.output = [this](const char *data, std::size_t size) { this->queueOutput(data, size); };
    handlers.opened = [this] {
        if (this->ownRole == HandshakeRole::Dialer) {
            this->session->sendBinary(this->handshake.hello());
        }
    };
    handlers.message = [this](std::string payload) { this->takePayload(std::move(payload)); };
    handlers.closed = [this] { this->close(); };
    this->session =
        std::make_unique<WebSocketSession>(this->ownRole == HandshakeRole::Dialer ? WebSocketRole::Dialer : WebSocketRole::Acceptor, std::move(handlers));
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
        self->awaitingSince.reset();
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
    this->queued.append(data, size);
    if (!this->awaitingSince) {
        this->awaitingSince = monotonicNow();
    }
    if (this->inFlight.empty()) {
        this->write();
    }
}

void PeerLink::write()
{
    this->inFlight.swap(this->queued);
    Asio::async_write(this->socket, Asio::buffer(this->inFlight), [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
        self->counters.bytesSent += size;
        // Frees the memory of a large message instead of keeping it for the life of the link.
        std::string().swap(self->inFlight);
        if (error || self->isClosed) {
            self->close();
            return;
        }
        if (!self->queued.empty()) {
            self->write();
        }
    });
}

bool PeerLink::send(const std::string &payload)
{
    if (!this->ready || this->queued.size() + this->inFlight.size() + payload.size() > this->options.maxQueueBytes) {
        return false;
    }
    this->lastMessage = monotonicNow();
    if (!this->session->sendBinary(payload)) {
        return false;
    }
    ++this->counters.messagesSent;
    return true;
}

void PeerLink::takePayload(std::string payload)
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
    this->events.message(*this, std::move(payload));
}

void PeerLink::continueHandshake(const std::string &payload)
{
    const std::optional<std::string> answer = this->handshake.receive(payload);
    if (this->handshake.state() == PeerHandshake::State::Failed) {
        this->close();
        return;
    }
    if (answer) {
        this->session->sendBinary(*answer);
    }
    if (this->handshake.state() == PeerHandshake::State::Complete) {
        this->peerName = this->handshake.peer();
        this->session->limitMessageBytes(this->options.maxMessageBytes);
        this->ready = true;
        ++this->counters.openLinks;
        this->events.ready(*this);
    }
}

void PeerLink::supervise(MonotonicTime now)
{
    if (!this->ready) {
        if (now - this->created > this->options.connectTimeout) {
            this->close();
        }
        return;
    }
    if (this->awaitingSince && now - *this->awaitingSince > this->options.silenceLimit) {
        ++this->counters.silentLinks;
        this->close();
    } else if (this->awaitingSince && !this->pinged && now - *this->awaitingSince > this->options.pingAfter) {
        this->pinged = true;
        this->session->sendPing();
    } else if (now - this->lastMessage > this->options.idleLimit) {
        this->close();
    }
}

void PeerLink::forgivePause(MonotonicTime now)
{
    this->created = std::max(this->created, now);
    if (this->awaitingSince) {
        this->awaitingSince = now;
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
    // Posted, because a handler of the session may be on the stack, and the owner destroys the link in this event.
    Asio::post(this->socket.get_executor(), [self = this->shared_from_this()] { self->events.closed(*self); });
}

} // namespace Godwitfork
