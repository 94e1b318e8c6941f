#include "RatingApi.h"

#include "LibCore/Digest.h"
#include "LibStandIn/StandInProcess.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr double highestQuality = 0.95;
constexpr double qualitySlope = 1.5;

// Must agree with the engine stand-in, so that confidence and quality depend on the same difficulty.
double difficultyOf(const std::string &prompt)
{
    return static_cast<double>(hash64(prompt)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}
} // namespace

RatingApi::RatingApi(RatingProfile profile) : profile(std::move(profile)), random(this->profile.seed)
{
}

Asio::awaitable<void> RatingApi::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string path = targetPath(request.target);
    if (path == "/v1/answers" && request.method == "POST") {
        co_await exchange.respond(this->takeAnswer(request.body));
    } else if (path == "/v1/ratings") {
        const std::string text = queryValue(request.target, "after");
        std::uint64_t after = 0;
        std::from_chars(text.data(), text.data() + text.size(), after);
        co_await exchange.respond(this->ratingsResponse(after));
    } else {
        co_await exchange.respond(standInRefusal(404, "not_found", "no such route"));
    }
}

HttpResponse RatingApi::takeAnswer(const std::string &body)
{
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    if (!answer.is_object()) {
        return standInRefusal(400, "invalid_json", "the body must be a JSON object");
    }
    try {
        const std::string requestId = answer.at("request_id");
        const std::string model = answer.at("model");
        const std::string prompt = answer.at("prompt");
        if (this->known.insert(requestId).second) {
            const auto skill = this->profile.skills.find(model);
            const double passed = difficultyOf(prompt) - (skill == this->profile.skills.end() ? 1 : skill->second);
            const double rating = this->drawRating(highestQuality - qualitySlope * std::max(0.0, passed));
            std::exponential_distribution<double> delay(1);
            const auto wait = static_cast<Duration::rep>(delay(this->random) * static_cast<double>(this->profile.meanDelay.count()));
            this->pending.emplace(monotonicNow() + Duration(wait), Rating {requestId, rating});
        }
    } catch (const nlohmann::json::exception &error) {
        return standInRefusal(400, "invalid_request", error.what());
    }
    return jsonResponse(202, "{}");
}

double RatingApi::drawRating(double quality)
{
    if (quality <= 0) {
        return 0;
    }
    const double good = std::gamma_distribution<double>(quality * this->profile.concentration)(this->random);
    const double poor = std::gamma_distribution<double>((1 - quality) * this->profile.concentration)(this->random);
    return good / (good + poor);
}

HttpResponse RatingApi::ratingsResponse(std::uint64_t after)
{
    const MonotonicTime now = monotonicNow();
    while (!this->pending.empty() && this->pending.begin()->first <= now) {
        this->due.push_back(std::move(this->pending.begin()->second));
        this->pending.erase(this->pending.begin());
    }
    nlohmann::json list = nlohmann::json::array();
    for (std::uint64_t index = after; index < this->due.size(); ++index) {
        const Rating &rating = this->due[index];
        list.push_back({{"number", index + 1}, {"request_id", rating.requestId}, {"rating", rating.rating}});
    }
    return jsonResponse(200, nlohmann::json {{"ratings", list}}.dump());
}

} // namespace Godwitfork
