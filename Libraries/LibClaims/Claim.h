#pragma once

#include "LibCore/Error.h"
#include "LibCore/Time.h"

#include <compare>
#include <string>
#include <string_view>

namespace Godwitfork
{

enum class ClaimState {
    /// The owner may dispatch until `notAfter`, or has dispatched.
    Claimed,
    /// The owner gave up before any byte went out; the key may be claimed again.
    Released,
    /// The call was answered.
    Done,
    /// The call may have run; final.
    Unknown,
};

/// Answer of the service, kept for retries of the same key.
struct ClaimAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
    /// False if the body was too large to keep.
    bool hasBody = false;

    auto operator<=>(const ClaimAnswer &) const = default;
};

/// Value of a claim object, `claims/<account>/<key hash>` (design section 5.2).
struct Claim {
    ClaimState state = ClaimState::Claimed;
    std::string requestId;
    std::string bodyHash;
    std::string owner;
    /// Random text that tells the writer whether an uncertain write was its own.
    std::string token;
    WallTime notAfter;
    ClaimAnswer answer;

    auto operator<=>(const Claim &) const = default;
};

/// Clock difference that a retry allows for before it takes a claim as expired.
inline constexpr Duration maximumClockError = std::chrono::milliseconds(500);

/// Largest response body that a claim keeps.
inline constexpr std::size_t maximumAnswerBytes = 64UL * 1024UL;

std::string claimName(std::string_view account, std::string_view key);
/// Hash that tells two requests with the same key apart; covers the service, the path and the body.
std::string claimBodyHash(std::string_view service, std::string_view path, std::string_view body);

std::string encodeClaim(const Claim &claim);
/// Fails with `malformed_claim`.
ErrorOr<Claim> decodeClaim(std::string_view text);

/// Whether the owner may write the first byte to an endpoint now. To be called directly before the write.
bool mayDispatch(const Claim &claim, WallTime now);
/// Whether another instance may take the claim as abandoned.
bool isExpired(const Claim &claim, WallTime now);

Claim releasedClaim(Claim claim);
Claim unknownClaim(Claim claim);
/// Leaves the body out if it passes `maximumAnswerBytes` or is not UTF-8, which JSON cannot hold.
Claim doneClaim(Claim claim, ClaimAnswer answer);

} // namespace Godwitfork
