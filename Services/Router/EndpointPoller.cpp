#include "EndpointPoller.h"

#include "LibCore/Log.h"
#include "LibRouting/Ejection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr Duration pollTimeout = std::chrono::seconds(1);

HttpCallOptions pollOptions()
{
    HttpCallOptions options;
    options.connectTimeout = pollTimeout;
    options.responseTimeout = pollTimeout;
    options.idleTimeout = pollTimeout;
    return options;
}

void applyLoadReport(Worker &worker, EndpointIndex endpoint, const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("running") || !json["running"].is_number_integer()) {
        return;
    }
    try {
        const Duration age = std::chrono::milliseconds(json.value("age_ms", 0));
        recordLoadReport(worker.pool.table, endpoint, {json.value("running", 0), json.value("slots", 1), monotonicNow() - age});
        const bool isDraining = json.value("draining", false);
        DrainState &drain = worker.pool.table.endpoints[endpoint].drain;
        if (drain.byEndpoint != isDraining) {
            drain.byEndpoint = isDraining;
            logEvent(LogLevel::Info, "endpoint.draining", {{"endpoint", worker.pool.targets[endpoint].name}, {"draining", isDraining}});
        }
    } catch (const nlohmann::json::exception &error) {
        logEvent(LogLevel::Warning, "endpoint.malformed_load", {{"endpoint", worker.pool.targets[endpoint].name}, {"reason", error.what()}});
    }
}

std::vector<std::string> leavingAddresses(const std::string &body)
{
    std::vector<std::string> leaving;
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("instances") || !json["instances"].is_array()) {
        return leaving;
    }
    for (const auto &instance : json["instances"]) {
        if (instance.is_object() && instance.value("state", "") == "leaving") {
            leaving.push_back(instance.value("address", ""));
        }
    }
    return leaving;
}
} // namespace

EndpointPoller::EndpointPoller(Worker &worker) : worker(worker)
{
}

void EndpointPoller::start()
{
    if (!this->worker.settings.instanceList.host.empty()) {
        Asio::co_spawn(this->worker.context, this->pollInstanceList(), Asio::detached);
    }
}

void EndpointPoller::pollNewEndpoints()
{
    for (; this->polledCount < this->worker.pool.targets.size(); ++this->polledCount) {
        // A plain service provides no load report and might execute the poll as a call.
        if (this->worker.pool.targets[this->polledCount].kind == EndpointKind::PlainService) {
            continue;
        }
        Asio::co_spawn(this->worker.context, this->pollEndpoint(this->polledCount), Asio::detached);
    }
}

Asio::awaitable<void> EndpointPoller::waitForNextPoll()
{
    // Jitter between 50 % and 100 % of the interval desynchronises the polls of different instances.
    const auto interval = this->worker.settings.loadPollInterval.count();
    std::uniform_int_distribution<Duration::rep> jitter(interval / 2, interval);
    Asio::steady_timer timer(this->worker.context, Duration(jitter(this->worker.random)));
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<void> EndpointPoller::pollEndpoint(EndpointIndex endpoint)
{
    while (true) {
        // An endpoint that was removed from the configuration may be added again with the same address, so its loop keeps
        // running without sending polls.
        if (!this->worker.pool.table.endpoints[endpoint].drain.byOperator) {
            const HttpAddress address = this->worker.pool.targets[endpoint].address;
            auto answer = co_await this->worker.client.call(address, makeRequest("GET", "/load"), pollOptions());
            if (answer && answer.value().status == 200) {
                applyLoadReport(this->worker, endpoint, answer.value().body);
            } else if (!answer) {
                // Suspends an unreachable endpoint before a caller's request fails on it.
                recordFailure(this->worker.pool.table, endpoint, monotonicNow());
            }
        }
        co_await this->waitForNextPoll();
    }
}

Asio::awaitable<void> EndpointPoller::pollInstanceList()
{
    while (true) {
        const HttpAddress address = this->worker.settings.instanceList;
        auto answer = co_await this->worker.client.call(address, makeRequest("GET", "/instances"), pollOptions());
        // If the poll fails, the last list stays in effect; the endpoints' own load reports show sooner that one is draining.
        if (answer && answer.value().status == 200) {
            adoptInstanceList(this->worker.pool, leavingAddresses(answer.value().body));
        }
        co_await this->waitForNextPoll();
    }
}

} // namespace Godwitfork
