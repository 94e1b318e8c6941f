#pragma once

#include "LibClaims/ClaimStep.h"

namespace Godwitfork
{

enum class ClaimClosingResult {
    Pending,
    /// The store holds the final state.
    Recorded,
    /// Another instance set the claim to `Unknown` after it expired, or claimed a released key again.
    Overtaken,
};

/// Brings this instance's claim into its final state: done, unknown or released. Retries until the store shows how the
/// claim stands. `Released` is only for an attempt that has not dispatched.
class ClaimClosing
{
public:
    /// `version` is the version of this instance's claim, or 0 if it is not known whether the claim was written.
    /// `takeoverVersion` is that of ClaimAttempt.
    ClaimClosing(Claim target, std::uint64_t version, std::uint64_t takeoverVersion);

    /// Also called after each `Wait`.
    ClaimStep start();
    ClaimStep receive(const ClaimWriteResponse &written);
    ClaimStep receive(const ClaimReadResponse &read);
    ClaimClosingResult result() const;

private:
    ClaimStep update(Claim claim, std::uint64_t condition) const;
    ClaimStep finish(ClaimClosingResult outcome);

    Claim target;
    std::uint64_t version;
    std::uint64_t takeoverVersion;
    ClaimClosingResult outcome = ClaimClosingResult::Pending;
};

} // namespace Godwitfork
