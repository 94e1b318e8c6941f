#include "ApiClient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include <thread>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr int statusOk = 200;
/// Lowest status with which the server reports that it could not determine the result of a request.
constexpr int firstServerError = 500;
constexpr int maxChangeRounds = 3;
constexpr Duration pauseBetweenRounds = std::chrono::milliseconds(500);
/// To apply a configuration, the server makes at most four attempts of four store calls, each with a timeout of 2 s, so it
/// responds within 32 s.
constexpr Duration responseTimeout = std::chrono::seconds(40);
} // namespace

ApiClient::ApiClient(const Options &options) : options(options)
{
}

std::optional<HttpResponse> ApiClient::call(const HttpAddress &server, const HttpRequest &request) const
{
    Asio::io_context context;
    HttpClient client(context);
    HttpCallOptions callOptions;
    callOptions.responseTimeout = responseTimeout;
    callOptions.reuse = ConnectionReuse::Never;
    std::optional<HttpResponse> response;
    const HttpRequest authorizedRequest = this->authorized(request);
    auto sendRequest = [&]() -> Asio::awaitable<void> {
        auto result = co_await client.call(server, authorizedRequest, callOptions);
        if (result) {
            response = std::move(result).value();
        }
        context.stop();
    };
    Asio::co_spawn(context, sendRequest, [](std::exception_ptr error) {
        if (error) {
            std::rethrow_exception(error);
        }
    });
    context.run();
    return response;
}

std::optional<HttpResponse> ApiClient::read(const std::string &target) const
{
    std::optional<HttpResponse> lastError;
    for (const HttpAddress &server : this->options.servers) {
        auto response = this->call(server, makeRequest("GET", target));
        if (!response) {
            continue;
        }
        if (response->status < firstServerError) {
            return response;
        }
        lastError = std::move(response);
    }
    return lastError;
}

std::optional<HttpResponse> ApiClient::change(const std::string &target, const nlohmann::json &body) const
{
    std::optional<HttpResponse> lastError;
    for (int round = 0; round < maxChangeRounds; ++round) {
        if (round > 0) {
            std::this_thread::sleep_for(pauseBetweenRounds);
        }
        for (const HttpAddress &server : this->options.servers) {
            auto response = this->call(server, makeRequest("POST", target, body.dump()));
            if (response && response->status < firstServerError) {
                return response;
            }
            if (response) {
                lastError = std::move(response);
            }
        }
    }
    return lastError;
}

HttpRequest ApiClient::authorized(HttpRequest request) const
{
    request.headers.push_back({"Authorization", "Bearer " + this->options.operatorKey});
    if (!request.body.empty()) {
        request.headers.push_back({"Content-Type", "application/json"});
    }
    return request;
}

} // namespace Godwitfork
