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
/// Statuses from which on the server could not give a definite answer.
constexpr int firstServerError = 500;
constexpr int changeRounds = 3;
constexpr Duration pauseBetweenRounds = std::chrono::milliseconds(500);
/// An apply answers after at most four tries of four store calls of 2 s each.
constexpr Duration answerLimit = std::chrono::seconds(40);
} // namespace

ApiClient::ApiClient(const Options &options) : options(options)
{
}

std::optional<HttpResponse> ApiClient::call(const HttpAddress &server, const HttpRequest &request) const
{
    Asio::io_context context;
    HttpClient client(context);
    HttpCallOptions callOptions;
    callOptions.responseTimeout = answerLimit;
    callOptions.reuse = ConnectionReuse::Never;
    std::optional<HttpResponse> answer;
    const HttpRequest authorizedRequest = this->authorized(request);
    auto work = [&]() -> Asio::awaitable<void> {
        auto outcome = co_await client.call(server, authorizedRequest, callOptions);
        if (outcome) {
            answer = std::move(outcome).value();
        }
        context.stop();
    };
    Asio::co_spawn(context, work, [](std::exception_ptr error) {
        if (error) {
            std::rethrow_exception(error);
        }
    });
    context.run();
    return answer;
}

std::optional<HttpResponse> ApiClient::read(const std::string &target) const
{
    std::optional<HttpResponse> best;
    for (const HttpAddress &server : this->options.servers) {
        auto answer = this->call(server, makeRequest("GET", target));
        if (!answer) {
            continue;
        }
        if (answer->status < firstServerError) {
            return answer;
        }
        best = std::move(answer);
    }
    return best;
}

std::optional<HttpResponse> ApiClient::change(const std::string &target, const nlohmann::json &body) const
{
    std::optional<HttpResponse> best;
    for (int round = 0; round < changeRounds; ++round) {
        if (round > 0) {
            std::this_thread::sleep_for(pauseBetweenRounds);
        }
        for (const HttpAddress &server : this->options.servers) {
            auto answer = this->call(server, makeRequest("POST", target, body.dump()));
            if (answer && answer->status < firstServerError) {
                return answer;
            }
            if (answer) {
                best = std::move(answer);
            }
        }
    }
    return best;
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
