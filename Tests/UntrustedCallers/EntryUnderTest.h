#pragma once

#include "ChildProcess.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"
#include "StoreStandIn.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace Godwitfork
{

/// A real entry process with a store and one endpoint that answers every request, both in this process.
class EntryUnderTest
{
public:
    /// `memoryMb` and `descriptors` are the limits of the machine.
    EntryUnderTest(long memoryMb, int descriptors);
    ~EntryUnderTest();
    EntryUnderTest(const EntryUnderTest &) = delete;
    EntryUnderTest &operator=(const EntryUnderTest &) = delete;

    /// Runs until the condition holds or the time is over; returns whether it holds.
    bool runUntil(const std::function<bool()> &condition, Duration limit);
    /// Sends an ordinary request, again after each refusal, until it is answered or the time is over.
    bool answersOrdinaryRequest();

    boost::asio::io_context context {1};
    HttpAddress callers;
    HttpAddress readiness;
    HttpAddress peers;
    HttpAddress metrics;
    std::unique_ptr<ChildProcess> process;

private:
    int sendOnce();
    boost::asio::awaitable<void> answer(HttpExchange &exchange);

    HttpClient client;
    StoreStandIn store;
    HttpServer endpoint;
    std::string settingsFile;
    int sent = 0;
};

} // namespace Godwitfork
