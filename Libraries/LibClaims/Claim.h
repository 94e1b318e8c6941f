#pragma once

#include "LibCore/Error.h"
#include "LibCore/Time.h"

#include <compare>
#include <string>
#include <string_view>

namespace Godwitfork
{

/// State of a claim on an idempotency key.
enum class ClaimState {
    /// The owner may dispatch the request until `notAfter`, or has dispatched it.
    Claimed,
    /// The owner gave up before it sent any byte to an endpoint; the key may be claimed again.
    Released,
    /// The service responded; the claim contains its response.
    Done,
    /// The request may or may not have been executed. Final.
    Unknown,
};

/// Response of the service, stored for retries with the same idempotency key.
struct ClaimAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
    /// False if the body was not stored, because it was too large or not UTF-8.
    bool hasBody = false;

    auto operator<=>(const ClaimAnswer &) const = default;
};

/// Claim of one instance on an idempotency key, stored as the object `claims/<account>/<key hash>`.
struct Claim {
    ClaimState state = ClaimState::Claimed;
    std::string requestId;
    /// Hash of the request, see `claimBodyHash`.
    std::string bodyHash;
    /// Instance that wrote the claim.
    std::string owner;
    /// Random value by which the writer of an uncertain write recognises its own claim.
    std::string token;
    /// Time after which the owner must not dispatch.
    WallTime notAfter;
    /// Set in state `Done`.
    ClaimAnswer answer;

    auto operator<=>(const Claim &) const = default;
};

/// Largest difference assumed between the clocks of two instances. A retry treats a claim as expired only this long after
/// its `notAfter`.
inline constexpr Duration maximumClockError = std::chrono::milliseconds(500);

/// Largest response body that is stored in a claim.
inline constexpr std::size_t maximumAnswerBytes = 64UL * 1024UL;

/// Returns the name of the claim object. The key is hashed, so that it can contain any characters.
std::string claimName(std::string_view account, std::string_view key);
/// Hashes the service, the path and the body, to detect a key that is reused for a different request.
std::string claimBodyHash(std::string_view service, std::string_view path, std::string_view body);

std::string encodeClaim(const Claim &claim);
/// Fails with `malformed_claim`.
ErrorOr<Claim> decodeClaim(std::string_view text);

/// Whether the owner may send the first byte to an endpoint now. To be called directly before it is sent.
bool mayDispatch(const Claim &claim, WallTime now);
/// Whether another instance may treat the claim as abandoned.
bool isExpired(const Claim &claim, WallTime now);

/// Returns the claim in state `Released`.
Claim releasedClaim(Claim claim);
/// Returns the claim in state `Unknown`.
Claim unknownClaim(Claim claim);
/// Returns the claim in state `Done` with the response. The body is left out if it exceeds `maximumAnswerBytes` or is not
/// UTF-8, which JSON cannot represent.
Claim doneClaim(Claim claim, ClaimAnswer answer);

} // namespace Godwitfork
