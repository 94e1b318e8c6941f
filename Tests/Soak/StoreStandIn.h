#pragma once

#include "LibHttp/HttpServer.h"

#include <nlohmann/json.hpp>

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <string>

namespace Godwitfork
{

enum class StoreMode { Up, Busy, Silent };

/// The platform's store as far as entries use it: lists, watches and status writes.
class StoreStandIn
{
public:
    explicit StoreStandIn(boost::asio::io_context &context);

    HttpAddress address() const;
    void setMode(StoreMode mode);
    void put(const std::string &kind, const std::string &name, nlohmann::json spec);
    void remove(const std::string &kind, const std::string &name);
    /// Forgets what changed so far; watches from before are answered 410.
    void forgetHistory();

private:
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    boost::asio::awaitable<void> serveWatch(HttpExchange &exchange, const std::string &kind);
    void record(const std::string &kind, bool deleted, const nlohmann::json &object);

    boost::asio::io_context &context;
    HttpServer server;
    StoreMode mode = StoreMode::Up;
    std::uint64_t revision = 10;
    std::uint64_t oldest = 0;
    std::map<std::string, std::map<std::string, nlohmann::json>> objects;
    std::deque<Event> events;
};

} // namespace Godwitfork
