#pragma once

#include "LibHttp/HttpServerState.h"
#include "LibHttp/RequestReceiver.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>

#include <string>

namespace Godwitfork
{

/// Serves the requests of one TCP connection, one after the other.
class HttpConnection
    : public HttpExchange
    , public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(boost::asio::ip::tcp::socket socket, std::string address, std::shared_ptr<HttpServer::State> state, bool isBeyondLimit);
    ~HttpConnection() override;

    boost::asio::awaitable<void> run();
    /// Applies the limit of the time without a request again, if the connection waits for one.
    void checkIdle();
    bool hasUnreadBytes() const;
    const std::string &address() const;
    /// Whether an eviction would release memory of the client, or a large body.
    bool holdsFor(MemoryUse use, const std::string &client) const;
    std::size_t bodyMemory() const;
    /// Whether the connection waits for bytes, so that it may be evicted now.
    bool isEvictable() const;
    EvictionCandidate evictionCandidate(MonotonicTime now) const;
    /// Releases what the connection holds and closes it. A request that was arriving is refused as not run.
    void evict();

    const HttpRequest &request() const override;
    std::shared_ptr<const std::string> sharedBody() const override;
    bool isBodyMissing() const override;
    boost::asio::awaitable<bool> respond(HttpResponse response) override;
    boost::asio::awaitable<bool> startStream(int status, HttpHeaders headers) override;
    boost::asio::awaitable<bool> writeChunk(std::string bytes) override;
    boost::asio::awaitable<bool> finishStream() override;
    void abort() override;
    void onClientDisconnect(std::function<void()> callback) override;

private:
    /// A request with the memory reserved for its body.
    struct ReceivedRequest {
        HttpRequest request;
        MemoryReservation memory;
        bool isBodyMissing = false;
    };
    /// How the receiving of a request, or a step of it, ended.
    enum class Received { Complete, Refused, Lost };

    void watchForDisconnect();
    void stopWatching();
    MonotonicTime idleEnd() const;
    /// Time by which the request must have arrived.
    MonotonicTime receiveEnd() const;
    void enter(ConnectionPhase newPhase);
    /// Waits for the first bytes of a request. Returns false if the client has closed the connection or none arrived in time.
    boost::asio::awaitable<bool> waitForRequest();
    boost::asio::awaitable<bool> readRequest();
    boost::asio::awaitable<Received> receive();
    /// Reads more bytes of a request.
    boost::asio::awaitable<Received> readMore();
    /// Decides on the request by its head. Returns `Complete` if the body is not to be read.
    boost::asio::awaitable<std::optional<Received>> takeHead();
    /// Passes the request on without its body, which finds no room.
    Received dropBody();
    Received completeRequest();
    Received refuse(HttpRefusal refusal);
    Received refuseForMemory();
    /// Ends the read when the request has taken too long or arrives too slowly.
    void checkReceiving();
    void watchReceiving();
    /// Reserves what the connection holds besides the body; `additional` for the request in progress.
    bool reserve(std::size_t additional);
    bool resizeMemory(MemoryReservation &reservation, std::size_t bytes);
    boost::asio::awaitable<void> readUntilClosed();
    boost::asio::awaitable<void> respondWithError(HttpRefusal refusal);
    template<typename Message>
    void setHeaders(Message &message, const HttpHeaders &headers);

    boost::beast::tcp_stream stream;
    std::string clientAddress;
    std::shared_ptr<HttpServer::State> state;
    boost::beast::flat_buffer buffer;
    std::shared_ptr<ReceivedRequest> current;
    std::unique_ptr<RequestReceiver> receiver;
    HttpRefusal refusal;
    /// What the connection holds besides the body of its request.
    MemoryReservation memory;
    ReceiveProgress progress;
    std::function<void()> disconnectHandler;
    /// Number of the current disconnect watch; a completion with another number belongs to an earlier request.
    std::uint64_t watchNumber = 0;
    boost::asio::steady_timer idleTimer;
    MonotonicTime idleSince;
    ConnectionPhase phase = ConnectionPhase::Idle;
    MonotonicTime phaseSince;
    /// Whether the connection exceeds the limit, so that its request is refused.
    bool isBeyondLimit;
    bool keepAlive = true;
    bool isIdle = false;
    /// Whether the connection waits for bytes of a request that is being received.
    bool isReading = false;
    bool isTooLate = false;
    bool isEvicted = false;
};

} // namespace Godwitfork
