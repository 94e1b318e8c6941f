#pragma once

#include "LibClaims/ClaimStep.h"

namespace Godwitfork
{

enum class ClaimClosingResult {
    /// The final state is not confirmed yet.
    Pending,
    /// The store contains the final state.
    Recorded,
    /// Another instance set the claim to `Unknown` after it expired, or claimed a released key again.
    Overtaken,
};

/// State machine that writes the final state of this instance's claim: done, unknown or released. It retries until the store
/// has confirmed a final state. `Released` is permitted only for an attempt that has not dispatched.
class ClaimClosing
{
public:
    /// `target` is the claim in its final state. `version` is the version of this instance's claim in the store, or 0 if it is
    /// not known whether the claim was written. `takeoverVersion` is the value of ClaimAttempt::takeoverVersion.
    ClaimClosing(Claim target, std::uint64_t version, std::uint64_t takeoverVersion);

    /// Returns the first action; also to be called after each `Wait`.
    ClaimStep start();
    ClaimStep receive(const ClaimWriteResponse &written);
    ClaimStep receive(const ClaimReadResponse &read);
    ClaimClosingResult result() const;

private:
    ClaimStep update(Claim claim, std::uint64_t condition) const;
    ClaimStep finish(ClaimClosingResult newOutcome);

    Claim target;
    std::uint64_t version;
    std::uint64_t takeoverVersion;
    ClaimClosingResult outcome = ClaimClosingResult::Pending;
};

} // namespace Godwitfork
