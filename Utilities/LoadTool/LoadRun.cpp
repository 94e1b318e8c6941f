#include "LoadRun.h"

#include "LibChecker/Sources.h"
#include "LibCore/Identifier.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/ServerSentEvents.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <optional>
#include <set>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// Time to set everything up before the first intended send.
constexpr Duration startDelay = std::chrono::milliseconds(100);
/// A caller waits this much longer than its deadline before it gives up.
constexpr Duration patience = std::chrono::seconds(5);
constexpr Duration longestWait = std::chrono::seconds(120);

const char *failureCode(const HttpClientError &error)
{
    switch (error.failure) {
    case HttpFailure::Connect:
        return "connect";
    case HttpFailure::Timeout:
        return "timeout";
    case HttpFailure::ConnectionLost:
        return "connection_lost";
    case HttpFailure::Withheld:
        return "withheld";
    case HttpFailure::MalformedResponse:
        break;
    }
    return "malformed_response";
}

class LoadRun
{
public:
    LoadRun(const Experiment &experiment, std::size_t variant, std::vector<std::string> &problems)
        : experiment(experiment), variant(experiment.variants[variant]), problems(problems), client(this->context), controlClient(this->context)
    {
    }

    void run(std::vector<RequestResult> &results)
    {
        this->start = monotonicNow() + startDelay;
        Asio::co_spawn(
            this->context, [this, &results]() -> Asio::awaitable<void> { co_await this->sendAll(results); }, Asio::detached);
        Asio::co_spawn(
            this->context, [this]() -> Asio::awaitable<void> { co_await this->driveFaults(); }, Asio::detached);
        this->context.run();
    }

private:
    Asio::awaitable<void> sleepUntil(MonotonicTime time)
    {
        Asio::steady_timer timer(this->context, time);
        co_await timer.async_wait(Asio::use_awaitable);
    }

    Asio::awaitable<void> sendAll(std::vector<RequestResult> &results)
    {
        for (RequestResult &result : results) {
            co_await this->sleepUntil(this->start + result.planned.at);
            Asio::co_spawn(
                this->context, [this, &result]() -> Asio::awaitable<void> { co_await this->send(result); }, Asio::detached);
        }
    }

    HttpRequest makeChatRequest(RequestResult &result)
    {
        const LoadAccount &account = this->experiment.accounts[result.planned.account];
        const bool isEngine = this->variant.kind == TargetKind::Engine;
        HttpHeaders headers {{"Content-Type", "application/json"}};
        if (isEngine) {
            result.caller.requestId = makeRequestId(wallNow(), this->random);
            headers.push_back({"X-Request-Id", result.caller.requestId});
        } else {
            headers.push_back({"Authorization", "Bearer " + account.key});
        }
        if (!isEngine && !result.planned.session.empty()) {
            const auto token = this->sessionTokens.find({result.planned.account, result.planned.session});
            headers.push_back({"Godwitfork-Session", token == this->sessionTokens.end() ? result.planned.session : token->second});
        }
        if (this->experiment.deadline > Duration(0)) {
            const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(this->experiment.deadline);
            headers.push_back({"Godwitfork-Deadline-Ms", std::to_string(milliseconds.count())});
        }
        const std::string body = chatRequestBody(result.planned, isEngine ? this->variant.engineModel : account.model);
        return makeRequest("POST", "/v1/chat/completions", body, std::move(headers));
    }

    Asio::awaitable<void> send(RequestResult &result)
    {
        const MonotonicTime intended = this->start + result.planned.at;
        result.sendDelay = monotonicNow() - intended;
        HttpCallOptions options;
        options.responseTimeout = options.idleTimeout = this->experiment.deadline > Duration(0) ? this->experiment.deadline + patience : longestWait;
        HttpRequest request = this->makeChatRequest(result);
        const auto &targets = this->variant.targets;
        const HttpAddress target = targets[static_cast<std::size_t>(result.caller.number) % targets.size()];
        auto response = co_await this->client.open(target, std::move(request), options);
        if (!response) {
            result.code = failureCode(response.error());
        } else {
            co_await this->receive(result, *response.value(), intended);
        }
        result.end = monotonicNow() - intended;
    }

    Asio::awaitable<void> receive(RequestResult &result, HttpResponseStream &response, MonotonicTime intended)
    {
        result.status = response.status();
        if (result.caller.billed) {
            result.caller.requestId = headerValue(response.headers(), "X-Request-Id");
        }
        const std::string session = headerValue(response.headers(), "Godwitfork-Session");
        if (!session.empty()) {
            this->sessionTokens[{result.planned.account, result.planned.session}] = session;
        }
        const bool isStream = headerValue(response.headers(), "Content-Type").starts_with("text/event-stream");
        ResponseReader reader(result);
        ServerSentEventParser parser;
        std::string body;
        std::optional<MonotonicTime> lastToken;
        while (true) {
            const auto bytes = co_await response.readSome();
            if (!bytes) {
                reader.breakOff(failureCode(bytes.error()));
                co_return;
            }
            if (bytes.value().empty()) {
                break;
            }
            const MonotonicTime now = monotonicNow();
            if (result.firstByte < Duration(0)) {
                result.firstByte = now - intended;
            }
            if (!isStream) {
                body += bytes.value();
                continue;
            }
            const auto events = parser.feed(bytes.value());
            if (!events) {
                result.code = "malformed_response";
                co_return;
            }
            for (const ServerSentEvent &event : events.value()) {
                if (!reader.takeEvent(event.data)) {
                    continue;
                }
                if (lastToken) {
                    result.tokenGaps.push_back(now - *lastToken);
                }
                lastToken = now;
            }
        }
        if (isStream) {
            reader.finishStream();
        } else {
            reader.takeBody(body);
        }
    }

    Asio::awaitable<void> control(HttpAddress address, std::string method, std::string target, std::string body)
    {
        HttpRequest request = makeRequest(std::move(method), target, std::move(body));
        const auto response = co_await this->controlClient.call(address, std::move(request), HttpCallOptions());
        if (!response) {
            this->problems.push_back("fault control " + target + ": " + response.error().message);
        } else if (response.value().status != 200) {
            this->problems.push_back("fault control " + target + ": " + response.value().body);
        }
    }

    Asio::awaitable<void> driveFaults()
    {
        std::set<std::pair<HttpAddress, std::string>> routes;
        for (const ScheduledFault &fault : this->experiment.faults) {
            const std::string path = "/routes/" + percentEncode(fault.route);
            routes.insert({fault.control, path});
            co_await this->sleepUntil(this->start + fault.at);
            const bool freezes = fault.faults.empty();
            co_await this->control(fault.control, freezes ? "POST" : "PUT", path + (freezes ? "/freeze" : "/faults"), fault.faults);
        }
        co_await this->sleepUntil(this->start + this->experiment.duration);
        for (const auto &[address, path] : routes) {
            co_await this->control(address, "PUT", path + "/faults", "{}");
        }
    }

    const Experiment &experiment;
    const LoadVariant &variant;
    std::vector<std::string> &problems;
    Asio::io_context context;
    HttpClient client;
    HttpClient controlClient;
    RandomSource random = systemSeededRandomSource();
    MonotonicTime start;
    std::map<std::pair<std::size_t, std::string>, std::string> sessionTokens;
};

Asio::awaitable<ErrorOr<CheckSources>> fetchSources(const Experiment &experiment, HttpClient &client)
{
    CheckSources sources;
    for (const HttpAddress &engine : experiment.engines) {
        const auto response = co_await client.call(engine, makeRequest("GET", "/executions"), HttpCallOptions());
        if (!response) {
            co_return Error {"source_unreachable", toText(engine) + ": " + response.error().message};
        }
        CO_TRY(executions, parseExecutions(response.value().body));
        sources.executions.insert(sources.executions.end(), executions.begin(), executions.end());
    }
    std::string after;
    while (experiment.store.port != 0) {
        const std::string target = "/v1/list?prefix=ledger%2F&after=" + percentEncode(after);
        const auto response = co_await client.call(experiment.store, makeRequest("GET", target), HttpCallOptions());
        if (!response) {
            co_return Error {"source_unreachable", toText(experiment.store) + ": " + response.error().message};
        }
        CO_TRY(page, parseLedgerPage(response.value().body));
        sources.ledger.insert(sources.ledger.end(), page.records.begin(), page.records.end());
        if (page.next.empty()) {
            break;
        }
        after = page.next;
    }
    co_return sources;
}
} // namespace

std::vector<RequestResult>
runLoad(const Experiment &experiment, std::size_t variant, int repetition, std::int64_t firstNumber, std::vector<std::string> &problems)
{
    std::vector<RequestResult> results;
    for (PlannedRequest &planned : planRequests(experiment, repetition)) {
        RequestResult result;
        result.variant = variant;
        result.repetition = repetition;
        result.caller.number = firstNumber + static_cast<std::int64_t>(results.size());
        result.caller.account = experiment.accounts[planned.account].name;
        result.caller.promptWords = planned.promptWords;
        result.caller.requestedTokens = planned.tokens;
        result.caller.billed = experiment.variants[variant].kind == TargetKind::Router;
        result.planned = std::move(planned);
        results.push_back(std::move(result));
    }
    LoadRun(experiment, variant, problems).run(results);
    return results;
}

ErrorOr<CheckSources> readSources(const Experiment &experiment)
{
    Asio::io_context context;
    HttpClient client(context);
    ErrorOr<CheckSources> sources = Error {"source_unreachable", "not read"};
    Asio::co_spawn(
        context, [&]() -> Asio::awaitable<void> { sources = co_await fetchSources(experiment, client); }, Asio::detached);
    context.run();
    return sources;
}

} // namespace Godwitfork
