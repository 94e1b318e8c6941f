#include "CallerApi.h"

#include "ChatHandler.h"
#include "LibCore/Identifier.h"
#include "LibCore/Log.h"
#include "ServiceHandler.h"

#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// Metrics label of a request path. All unknown paths share one label, because callers could otherwise create an unbounded
/// number of time series.
std::string routeLabel(const std::string &path)
{
    if (ServiceHandler::handles(path)) {
        return "/v1/services";
    }
    const auto knownPaths = {"/healthz", "/readyz", "/metrics", "/v1/models", "/v1/chat/completions"};
    return std::ranges::find(knownPaths, path) == knownPaths.end() ? "other" : path;
}

/// Scope guard that counts a request as active; a graceful stop waits for active requests.
class ActiveRequest
{
public:
    explicit ActiveRequest(RouterStatus &status) : status(status)
    {
        this->status.beginRequest();
    }
    ~ActiveRequest()
    {
        this->status.endRequest();
    }
    ActiveRequest(const ActiveRequest &) = delete;
    ActiveRequest &operator=(const ActiveRequest &) = delete;

private:
    RouterStatus &status;
};
} // namespace

CallerApi::CallerApi(Worker &worker) : worker(worker)
{
}

HttpResponse CallerApi::refuse(int status, const std::string &code, const std::string &message)
{
    ApiError error = apiError(code, message);
    error.status = status;
    return errorResponse(error, "");
}

Asio::awaitable<void> CallerApi::handle(HttpExchange &exchange)
{
    const ActiveRequest active(this->worker.status);
    const std::string path = targetPath(exchange.request().target);
    std::string failure;
    try {
        const std::string code = co_await this->dispatch(exchange, path);
        this->worker.metrics.countRequest(routeLabel(path), code);
        co_return;
    } catch (const std::exception &error) {
        failure = error.what();
    }
    logEvent(LogLevel::Error, "request.exception", {{"path", path}, {"reason", failure}});
    this->worker.metrics.countRequest(routeLabel(path), "internal_error");
    exchange.abort();
}

Asio::awaitable<std::string> CallerApi::dispatch(HttpExchange &exchange, const std::string &path)
{
    if (path == "/healthz") {
        co_await exchange.respond(jsonResponse(200, R"({"status":"alive"})"));
        co_return "ok";
    }
    if (path == "/readyz") {
        const bool ready = this->worker.status.isAdmitting(monotonicNow());
        co_await exchange.respond(jsonResponse(ready ? 200 : 503, ready ? R"({"status":"ready"})" : R"({"status":"not_ready"})"));
        co_return ready ? "ok" : "not_ready";
    }
    if (path == "/metrics") {
        HttpResponse response;
        response.headers.push_back({"Content-Type", "text/plain; version=0.0.4"});
        response.body = this->worker.metrics.toText();
        co_await exchange.respond(std::move(response));
        co_return "ok";
    }
    co_return co_await this->handleAccountRoute(exchange, path);
}

Asio::awaitable<std::string> CallerApi::handleAccountRoute(HttpExchange &exchange, const std::string &path)
{
    std::string requestId = makeRequestId(wallNow(), this->worker.random);
    const SnapshotPointer snapshot = this->worker.snapshot;
    if (!snapshot || !this->worker.status.isAdmitting(monotonicNow())) {
        ApiError error =
            apiError("not_ready",
                     "this instance accepts no requests, because it is starting, stopping or without a valid configuration lease; retry on another instance");
        co_return co_await this->respondWithError(exchange, std::move(error), std::move(requestId));
    }
    const ClientAccount *account = snapshot->findAccountByKey(bearerKey(exchange.request().headers));
    if (account == nullptr) {
        ApiError error = apiError("invalid_api_key", "the API key is missing or invalid");
        co_return co_await this->respondWithError(exchange, std::move(error), std::move(requestId));
    }
    const std::string &method = exchange.request().method;
    if (path == "/v1/models" && method == "GET") {
        co_await exchange.respond(this->modelsResponse(*snapshot, *account));
        co_return "ok";
    }
    if (path == "/v1/chat/completions" && method == "POST") {
        ChatHandler handler(this->worker, exchange, snapshot, *account, std::move(requestId));
        co_return co_await handler.run();
    }
    if (ServiceHandler::handles(path) && method == "POST") {
        ServiceHandler handler(this->worker, exchange, snapshot, *account, std::move(requestId));
        co_return co_await handler.run();
    }
    const bool isKnownPath = path == "/v1/models" || path == "/v1/chat/completions" || ServiceHandler::handles(path);
    ApiError error =
        isKnownPath ? apiError("method_not_allowed", "this route does not support method " + method) : apiError("not_found", "there is no route " + path);
    co_return co_await this->respondWithError(exchange, std::move(error), std::move(requestId));
}

Asio::awaitable<std::string> CallerApi::respondWithError(HttpExchange &exchange, ApiError error, std::string requestId)
{
    logEvent(LogLevel::Info, "request.refused", {{"request_id", requestId}, {"code", error.code}, {"ran", ranStatusName(error.ran)}});
    co_await exchange.respond(errorResponse(error, requestId));
    co_return error.code;
}

HttpResponse CallerApi::modelsResponse(const RoutingSnapshot &snapshot, const ClientAccount &account) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[name, model] : snapshot.site().models) {
        if (!isModelAllowed(account, name)) {
            continue;
        }
        list.push_back({{"id", name}, {"object", "model"}, {"created", 0}, {"owned_by", "godwitfork"}});
        for (const ModelVersion &version : model.versions) {
            if (version.state != VersionState::Withdrawn && isVersionAllowed(account, name, version.name)) {
                list.push_back({{"id", name + ":" + version.name}, {"object", "model"}, {"created", 0}, {"owned_by", "godwitfork"}});
            }
        }
    }
    return jsonResponse(200, nlohmann::json {{"object", "list"}, {"data", list}}.dump());
}

} // namespace Godwitfork
