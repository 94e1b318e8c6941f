#pragma once

#include "LibClaims/Claim.h"

#include <cstdint>
#include <optional>

namespace Godwitfork
{

/// Result of a conditional write as the store client saw it.
enum class ClaimWriteResult {
    Written,
    /// The condition did not hold.
    Conflict,
    /// The write did not reach the store.
    NotSent,
    /// The write may take effect, now or later.
    Uncertain,
};

struct ClaimWriteResponse {
    ClaimWriteResult result = ClaimWriteResult::Uncertain;
    /// Version of the object, if `result` is `Written`.
    std::uint64_t version = 0;
};

enum class ClaimReadResult { Found, Missing, Failed };

struct ClaimReadResponse {
    ClaimReadResult result = ClaimReadResult::Failed;
    Claim claim;
    std::uint64_t version = 0;
};

enum class ClaimAction {
    /// Write `claim` if the object does not exist.
    Create,
    /// Write `claim` if the object has `version`.
    Update,
    Read,
    /// Dispatch once with the fencing number `version`.
    Dispatch,
    /// Return the answer in `claim`.
    Replay,
    Refuse,
    /// Start again after a pause.
    Wait,
    Finished,
};

enum class ClaimRefusal { None, KeyReused, InProgress, OutcomeUnknown, StoreUnavailable, DeadlineExceeded };

/// What is known about the keyed request when it is refused.
enum class ClaimRan { No, Yes, Unknown };

/// Next thing to do for a claim.
struct ClaimStep {
    ClaimAction action = ClaimAction::Finished;
    Claim claim;
    std::uint64_t version = 0;
    ClaimRefusal refusal = ClaimRefusal::None;
    ClaimRan ran = ClaimRan::No;
    /// A write of this attempt may still stand or take effect, so the claim must be closed as released.
    bool needsRelease = false;

    auto operator<=>(const ClaimStep &) const = default;
};

} // namespace Godwitfork
