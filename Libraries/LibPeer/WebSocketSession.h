#pragma once

// This header and its source are compiled as C++17, so they include no other header of the project.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace Godwitfork
{

enum class WebSocketRole { Dialer, Acceptor };

struct WebSocketHandlers {
    /// Called with bytes to write to the transport, in order.
    std::function<void(const char *data, std::size_t size)> output;
    /// Called when the opening handshake is complete and messages may be sent.
    std::function<void()> opened;
    std::function<void(std::string payload)> message;
    /// Called when the session has ended or failed; the owner closes the transport.
    std::function<void()> closed;
};

/// WebSocket protocol (RFC 6455) of one connection, without transport and timers: received bytes are passed to `receive`, and
/// bytes to send are passed to `WebSocketHandlers::output`. Pings of the peer are answered. Not thread-safe.
class WebSocketSession
{
public:
    WebSocketSession(WebSocketRole role, WebSocketHandlers handlers);
    ~WebSocketSession();
    WebSocketSession(const WebSocketSession &) = delete;
    WebSocketSession &operator=(const WebSocketSession &) = delete;

    void start();
    /// Processes bytes from the transport. A message above the size limit ends the session.
    void receive(const char *data, std::size_t size);
    void limitMessageBytes(std::size_t limit);
    /// Returns false if the session is not open.
    bool sendBinary(const std::string &payload);
    bool sendPing();

    struct State;

private:
    std::unique_ptr<State> state;
};

} // namespace Godwitfork
