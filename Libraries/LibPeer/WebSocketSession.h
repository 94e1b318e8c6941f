#pragma once

// This header and its source are C++17, so they include no other header of the project.

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace Godwitfork
{

enum class WebSocketRole { Dialer, Acceptor };

struct WebSocketHandlers {
    /// Bytes to write to the transport, in order.
    std::function<void(const char *data, std::size_t size)> output;
    /// The opening handshake is complete; messages may be sent.
    std::function<void()> opened;
    std::function<void(std::string payload)> message;
    /// The session ended or failed; the transport is to be closed.
    std::function<void()> closed;
};

/// WebSocket protocol (RFC 6455) of one connection without any transport or timer: bytes go in through `receive` and out
/// through a handler. Pings of the other side are answered. Not thread-safe.
class WebSocketSession
{
public:
    WebSocketSession(WebSocketRole role, WebSocketHandlers handlers);
    ~WebSocketSession();
    WebSocketSession(const WebSocketSession &) = delete;
    WebSocketSession &operator=(const WebSocketSession &) = delete;

    void start();
    /// Takes bytes from the transport. A message above the size limit ends the session.
    void receive(const char *data, std::size_t size);
    void limitMessageBytes(std::size_t limit);
    /// False if the session is not open.
    bool sendBinary(const std::string &payload);
    bool sendPing();

    struct State;

private:
    std::unique_ptr<State> state;
};

} // namespace Godwitfork
