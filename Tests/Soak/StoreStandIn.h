#pragma once

#include "LibHttp/HttpServer.h"

#include <nlohmann/json.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace Godwitfork
{

enum class StoreMode { Up, Busy, Silent };

/// The platform's store as far as entries use it: lists, watches and status writes. It can return from a copy of an earlier state.
class StoreStandIn
{
public:
    explicit StoreStandIn(boost::asio::io_context &context);

    HttpAddress address() const;
    void setMode(StoreMode mode);
    void put(const std::string &kind, const std::string &name, nlohmann::json spec);
    void putStatus(const std::string &kind, const std::string &name, nlohmann::json status);
    void remove(const std::string &kind, const std::string &name);
    /// Forgets what changed so far; watches from before are answered 410.
    void forgetHistory();

    /// Keeps a copy of the present state for `restore`.
    void copy();
    /// Returns to the state of the copy in the next era. Calls in progress are never answered, unless `answersLate` is set.
    void restore();
    std::uint64_t revision() const;
    const nlohmann::json &object(const std::string &kind, const std::string &name);

    /// Whether answers state the era.
    bool statesEra = true;
    /// Whether watches in progress at `restore` are answered with the state and the era of before.
    bool answersLate = false;
    /// Number of objects in one answer to a list.
    std::size_t pageSize = 500;
    /// Called before each page of a list is answered.
    std::function<void(const std::string &kind)> beforePage;
    /// Calls so far, by kind.
    std::map<std::string, int> lists;
    std::map<std::string, int> watches;

private:
    using Objects = std::map<std::string, std::map<std::string, nlohmann::json>>;

    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        nlohmann::json event;
    };

    boost::asio::awaitable<void> serve(HttpExchange &exchange);
    boost::asio::awaitable<void> serveWatch(HttpExchange &exchange, const std::string &kind);
    HttpResponse listPage(const std::string &target, const std::string &kind);
    HttpResponse writeStatus(const HttpRequest &request, const std::string &kind, const std::string &name);
    std::optional<std::string> eventsAfter(const std::string &kind, std::uint64_t after, bool isWaiting) const;
    /// Sends nothing more on the connection.
    boost::asio::awaitable<void> fallSilent(HttpExchange &exchange);
    boost::asio::awaitable<void> respond(HttpExchange &exchange, HttpResponse response, std::uint64_t era);
    void record(const std::string &kind, bool deleted, const nlohmann::json &object);

    boost::asio::io_context &context;
    HttpServer server;
    StoreMode mode = StoreMode::Up;
    std::uint64_t era = 1;
    std::uint64_t lastRevision = 10;
    std::uint64_t oldest = 0;
    Objects objects;
    std::deque<Event> events;
    Objects copiedObjects;
    std::uint64_t copiedRevision = 0;
};

} // namespace Godwitfork
