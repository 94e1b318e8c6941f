#pragma once

#include "LibHttp/HttpServer.h"
#include "ObjectTable.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <string>

namespace Godwitfork
{

/// Faults that tests switch on through `PUT /control/fault`.
struct StoreFaults {
    /// Every connection is closed without an answer.
    bool outage = false;
    /// Delay of every answer.
    Duration delay {0};
    /// Number of writes that take effect although their connection is then closed without an answer.
    int lostWriteAnswers = 0;
    /// Limits the lost answers to objects with this prefix.
    std::string lostPrefix;
};

/// Calls by kind, for capacity figures; a watch counts once however long it waits.
struct StoreCounters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
};

/// HTTP face of the object store stand-in.
class StoreApi
{
public:
    explicit StoreApi(boost::asio::io_context &context);
    boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    boost::asio::awaitable<void> handleObject(HttpExchange &exchange, std::string name);
    boost::asio::awaitable<void> handleWrite(HttpExchange &exchange, std::string name);
    boost::asio::awaitable<void> handleWatch(HttpExchange &exchange);
    boost::asio::awaitable<void> handleControl(HttpExchange &exchange);
    boost::asio::awaitable<void> sleep(Duration duration);
    bool takeLostAnswer(const std::string &name);

    boost::asio::io_context &context;
    ObjectTable table;
    StoreFaults faults;
    StoreCounters counters;
    /// Cancelled on every write, which wakes the waiting watches.
    boost::asio::steady_timer changed;
};

} // namespace Godwitfork
