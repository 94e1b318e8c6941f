#include "LibPeer/WebSocketSession.h"

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

#include <utility>

namespace Godwitfork
{

namespace
{
// Uses the iostream transport of websocketpp, which passes bytes by function calls. Its Asio transport would compile
// Boost.Asio as C++17 into programs that also contain it as C++20, where its inline types differ.
template<typename Base>
struct SmallBufferConfig : Base {
    // An instance has a link to every other one, so the default buffer of 16 KiB would take 5 MB with 330 instances.
    // websocketpp requires these names.
    // NOLINTBEGIN(readability-identifier-naming)
    static const std::size_t connection_read_buffer_size = 1024;
    static const websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static const websocketpp::log::level alog_level = websocketpp::log::alevel::none;
    // NOLINTEND(readability-identifier-naming)
};

using DialerEndpoint = websocketpp::client<SmallBufferConfig<websocketpp::config::core_client>>;
using AcceptorEndpoint = websocketpp::server<SmallBufferConfig<websocketpp::config::core>>;

template<typename Endpoint>
typename Endpoint::connection_ptr makeConnection(Endpoint &endpoint);

template<>
DialerEndpoint::connection_ptr makeConnection(DialerEndpoint &endpoint)
{
    websocketpp::lib::error_code error;
    // The URI only sets the Host header; the transport is already connected.
    return endpoint.get_connection("ws://godwitfork/peer", error);
}

template<>
AcceptorEndpoint::connection_ptr makeConnection(AcceptorEndpoint &endpoint)
{
    return endpoint.get_connection();
}

void startConnection(DialerEndpoint &endpoint, const DialerEndpoint::connection_ptr &connection)
{
    endpoint.connect(connection);
}

void startConnection(AcceptorEndpoint &, const AcceptorEndpoint::connection_ptr &connection)
{
    connection->start();
}
} // namespace

struct WebSocketSession::State {
    virtual ~State() = default;
    virtual void start() = 0;
    virtual void receive(const char *data, std::size_t size) = 0;
    virtual void limitMessageBytes(std::size_t limit) = 0;
    virtual bool sendBinary(const std::string &payload) = 0;
    virtual bool sendPing() = 0;
};

namespace
{
template<typename Endpoint>
struct Session final : WebSocketSession::State {
    explicit Session(WebSocketHandlers handlers) : handlers(std::move(handlers))
    {
        this->endpoint.clear_access_channels(websocketpp::log::alevel::all);
        this->endpoint.clear_error_channels(websocketpp::log::elevel::all);
        this->connection = makeConnection(this->endpoint);
        this->connection->set_write_handler([this](const websocketpp::connection_hdl &, const char *data, std::size_t size) {
            this->handlers.output(data, size);
            return websocketpp::lib::error_code();
        });
        this->connection->set_open_handler([this](const websocketpp::connection_hdl &) { this->handlers.opened(); });
        this->connection->set_message_handler([this](const websocketpp::connection_hdl &, const typename Endpoint::message_ptr &message) {
            this->handlers.message(std::move(message->get_raw_payload()));
        });
        this->connection->set_close_handler([this](const websocketpp::connection_hdl &) { this->handlers.closed(); });
        this->connection->set_fail_handler([this](const websocketpp::connection_hdl &) { this->handlers.closed(); });
    }

    ~Session() override
    {
        // The pending read holds a reference to the connection and must be cancelled. The handlers are replaced first, because
        // cancelling may call them, and they access the owner of this session, which may be partly destroyed.
        this->handlers.output = [](const char *, std::size_t) {};
        this->handlers.opened = [] {};
        this->handlers.message = [](const std::string &) {};
        this->handlers.closed = [] {};
        this->connection->fatal_error();
    }

    void start() override
    {
        startConnection(this->endpoint, this->connection);
    }

    void receive(const char *data, std::size_t size) override
    {
        this->connection->read_all(data, size);
    }

    void limitMessageBytes(std::size_t limit) override
    {
        this->connection->set_max_message_size(limit);
    }

    bool sendBinary(const std::string &payload) override
    {
        return !this->connection->send(payload, websocketpp::frame::opcode::binary);
    }

    bool sendPing() override
    {
        websocketpp::lib::error_code error;
        this->connection->ping(std::string(), error);
        return !error;
    }

    WebSocketHandlers handlers;
    Endpoint endpoint;
    typename Endpoint::connection_ptr connection;
};
} // namespace

WebSocketSession::WebSocketSession(WebSocketRole role, WebSocketHandlers handlers)
{
    if (role == WebSocketRole::Dialer) {
        this->state = std::make_unique<Session<DialerEndpoint>>(std::move(handlers));
    } else {
        this->state = std::make_unique<Session<AcceptorEndpoint>>(std::move(handlers));
    }
}

WebSocketSession::~WebSocketSession() = default;

void WebSocketSession::start()
{
    this->state->start();
}

void WebSocketSession::receive(const char *data, std::size_t size)
{
    this->state->receive(data, size);
}

void WebSocketSession::limitMessageBytes(std::size_t limit)
{
    this->state->limitMessageBytes(limit);
}

bool WebSocketSession::sendBinary(const std::string &payload)
{
    return this->state->sendBinary(payload);
}

bool WebSocketSession::sendPing()
{
    return this->state->sendPing();
}

} // namespace Godwitfork
