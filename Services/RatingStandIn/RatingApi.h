#pragma once

#include "LibCore/Random.h"
#include "LibHttp/HttpServer.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

struct RatingProfile {
    /// Share of prompts, by difficulty, that each `model:version` answers well; 1 for those not named.
    std::map<std::string, double> skills;
    /// Mean of the exponential delay between an answer and its rating.
    Duration meanDelay = std::chrono::seconds(1);
    /// Concentration of the Beta distribution around the quality; smaller is noisier.
    double concentration = 6;
    std::uint64_t seed = 1;
};

/// HTTP face of the rating service stand-in. `POST /v1/answers` with `request_id`, `model` (`model:version`) and `prompt`
/// hands in an answer; a repeated one is not rated again. `GET /v1/ratings?after=N` lists the ratings that are due, in the
/// order of their numbers.
class RatingApi
{
public:
    explicit RatingApi(RatingProfile profile);
    boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    struct Rating {
        std::string requestId;
        double rating = 0;
    };

    HttpResponse takeAnswer(const std::string &body);
    HttpResponse ratingsResponse(std::uint64_t after);
    double drawRating(double quality);

    RatingProfile profile;
    RandomSource random;
    std::set<std::string> known;
    std::multimap<MonotonicTime, Rating> pending;
    /// Number of a rating is its position, counted from 1.
    std::vector<Rating> due;
};

} // namespace Godwitfork
