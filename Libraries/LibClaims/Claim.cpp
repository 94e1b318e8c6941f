#include "LibClaims/Claim.h"

#include "LibCore/Digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace Godwitfork
{

using Json = nlohmann::json;

namespace
{
constexpr int formatVersion = 1;

constexpr std::array<std::pair<ClaimState, std::string_view>, 4> stateNames {{
    {ClaimState::Claimed, "claimed"},
    {ClaimState::Released, "released"},
    {ClaimState::Done, "done"},
    {ClaimState::Unknown, "unknown"},
}};

std::string_view stateName(ClaimState state)
{
    return std::ranges::find(stateNames, state, &std::pair<ClaimState, std::string_view>::first)->second;
}

ErrorOr<ClaimState> stateFromName(const std::string &name)
{
    const auto *found = std::ranges::find(stateNames, name, &std::pair<ClaimState, std::string_view>::second);
    if (found == stateNames.end()) {
        return Error {"malformed_claim", "unknown claim state '" + name + "'"};
    }
    return found->first;
}

ErrorOr<Claim> readClaim(const Json &value)
{
    Claim claim;
    claim.state = TRY(stateFromName(value.at("state").get<std::string>()));
    value.at("request_id").get_to(claim.requestId);
    value.at("body_hash").get_to(claim.bodyHash);
    value.at("owner").get_to(claim.owner);
    value.at("token").get_to(claim.token);
    claim.notAfter = WallTime(Duration(value.at("not_after").get<std::int64_t>()));
    if (claim.state == ClaimState::Done) {
        const Json &answer = value.at("answer");
        answer.at("status").get_to(claim.answer.status);
        answer.at("content_type").get_to(claim.answer.contentType);
        claim.answer.hasBody = answer.contains("body");
        claim.answer.body = answer.value("body", "");
    }
    return claim;
}

bool isUtf8(const std::string &text)
{
    try {
        Json(text).dump();
        return true;
    } catch (const Json::type_error &) {
        return false;
    }
}
} // namespace

std::string claimName(std::string_view account, std::string_view key)
{
    return "claims/" + std::string(account) + "/" + sha256Hex(key);
}

std::string claimBodyHash(std::string_view service, std::string_view path, std::string_view body)
{
    // Service names and paths contain no line break, so different requests give different texts to hash.
    return sha256Hex(std::string(service) + "\n" + std::string(path) + "\n" + std::string(body));
}

std::string encodeClaim(const Claim &claim)
{
    Json value = {{"version", formatVersion},
                  {"state", stateName(claim.state)},
                  {"request_id", claim.requestId},
                  {"body_hash", claim.bodyHash},
                  {"owner", claim.owner},
                  {"token", claim.token},
                  {"not_after", claim.notAfter.time_since_epoch().count()}};
    if (claim.state == ClaimState::Done) {
        Json &answer = value["answer"] = {{"status", claim.answer.status}, {"content_type", claim.answer.contentType}};
        if (claim.answer.hasBody) {
            answer["body"] = claim.answer.body;
        }
    }
    return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

ErrorOr<Claim> decodeClaim(std::string_view text)
{
    try {
        return readClaim(Json::parse(text));
    } catch (const Json::exception &failure) {
        return Error {"malformed_claim", failure.what()};
    }
}

bool mayDispatch(const Claim &claim, WallTime now)
{
    return claim.state == ClaimState::Claimed && now < claim.notAfter;
}

bool isExpired(const Claim &claim, WallTime now)
{
    return now > claim.notAfter + maximumClockError;
}

Claim releasedClaim(Claim claim)
{
    claim.state = ClaimState::Released;
    return claim;
}

Claim unknownClaim(Claim claim)
{
    claim.state = ClaimState::Unknown;
    return claim;
}

Claim doneClaim(Claim claim, ClaimAnswer answer)
{
    answer.hasBody = answer.body.size() <= maximumAnswerBytes && isUtf8(answer.body);
    if (!answer.hasBody) {
        answer.body.clear();
    }
    claim.state = ClaimState::Done;
    claim.answer = std::move(answer);
    return claim;
}

} // namespace Godwitfork
