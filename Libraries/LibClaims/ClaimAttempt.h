#pragma once

#include "LibClaims/ClaimStep.h"

namespace Godwitfork
{

/// State machine for one attempt to execute a request with an idempotency key. It decides from the responses of the store
/// whether to dispatch the request, replay a stored response or refuse. It yields `Dispatch` at most once, and only if this
/// attempt's own claim is in the store.
class ClaimAttempt
{
public:
    /// `wanted` is the claim to create, in state `Claimed` with a fresh token.
    explicit ClaimAttempt(Claim wanted);

    ClaimStep start();
    ClaimStep receive(const ClaimWriteResponse &written, WallTime now);
    ClaimStep receive(const ClaimReadResponse &read, WallTime now);

    /// Claim of this attempt. Its request identity is that of the released claim if it takes over one.
    const Claim &claim() const;
    /// Version of the released claim that this attempt tried to take over; 0 if it only tried to create a claim.
    std::uint64_t takeoverVersion() const;

private:
    enum class Phase { Claiming, Expiring };

    ClaimStep read();
    ClaimStep write();
    ClaimStep dispatchOrRefuse(std::uint64_t version, WallTime now) const;
    ClaimStep receiveExpiry(const ClaimWriteResponse &written);
    ClaimStep evaluateFoundClaim(const ClaimReadResponse &read, WallTime now);
    ClaimStep refuse(ClaimRefusal refusal, ClaimRan ran) const;
    ClaimStep refuseStoreUnavailable() const;

    Claim wanted;
    /// Version of the released claim to take over; 0 while the attempt creates a claim.
    std::uint64_t releasedVersion = 0;
    Phase phase = Phase::Claiming;
    int rounds = 0;
    /// True after a write of this attempt whose effect is unknown.
    bool hasUncertainWrite = false;
    /// True if another attempt's claim may exist that is not released, so that its request may have been executed.
    bool foundOtherClaim = false;
};

} // namespace Godwitfork
