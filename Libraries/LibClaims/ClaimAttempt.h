#pragma once

#include "LibClaims/ClaimStep.h"

namespace Godwitfork
{

/// One attempt of one instance to run a keyed request: decides from the store's answers whether to dispatch, to replay
/// a stored answer, or to refuse. Yields `Dispatch` at most once, and only if this attempt's own claim is in the store.
class ClaimAttempt
{
public:
    /// `wanted` is the claim to create, in state `Claimed` with a fresh token.
    explicit ClaimAttempt(Claim wanted);

    ClaimStep start();
    ClaimStep receive(const ClaimWriteResponse &written, WallTime now);
    ClaimStep receive(const ClaimReadResponse &read, WallTime now);

    /// Claim of this attempt, with the request identity that an earlier attempt of the key gave it.
    const Claim &claim() const;
    /// Version at which a released claim was to be taken over; 0 if this attempt only tried to create one.
    std::uint64_t takeoverVersion() const;

private:
    enum class Phase { Claiming, Expiring };

    ClaimStep read();
    ClaimStep writeAgain();
    ClaimStep own(std::uint64_t version, WallTime now) const;
    ClaimStep receiveExpiry(const ClaimWriteResponse &written);
    ClaimStep judge(const ClaimReadResponse &read, WallTime now);
    ClaimStep refuse(ClaimRefusal refusal, ClaimRan ran) const;
    ClaimStep refuseStore() const;

    Claim wanted;
    std::uint64_t updatedVersion = 0;
    Phase phase = Phase::Claiming;
    int rounds = 0;
    bool hasUncertainWrite = false;
    bool foundOtherClaim = false;
};

} // namespace Godwitfork
