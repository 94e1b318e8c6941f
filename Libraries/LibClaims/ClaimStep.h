#pragma once

#include "LibClaims/Claim.h"

#include <cstdint>
#include <optional>

namespace Godwitfork
{

/// Result of a conditional write, as known to the store client.
enum class ClaimWriteResult {
    /// The write took effect.
    Written,
    /// The condition did not hold.
    Conflict,
    /// The write did not reach the store.
    NotSent,
    /// The write may have taken effect, or may do so later.
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
    /// Content of the object, if `result` is `Found`.
    Claim claim;
    /// Version of the object, if `result` is `Found`.
    std::uint64_t version = 0;
};

/// Action that the caller of a claim state machine has to perform next.
enum class ClaimAction {
    /// Write `claim` on the condition that the object does not exist.
    Create,
    /// Write `claim` on the condition that the object has `version`.
    Update,
    Read,
    /// Dispatch the request once, with `version` as the fencing token.
    Dispatch,
    /// Return the stored response in `claim`.
    Replay,
    Refuse,
    /// Call `start` again after a pause.
    Wait,
    Finished,
};

enum class ClaimRefusal { None, KeyReused, InProgress, OutcomeUnknown, StoreUnavailable, DeadlineExceeded };

/// Whether the keyed request was executed, as far as is known when it is refused.
enum class ClaimRan { No, Yes, Unknown };

/// Next action of a claim state machine, with its arguments.
struct ClaimStep {
    ClaimAction action = ClaimAction::Finished;
    Claim claim;
    /// Version of the claim object: the condition of an `Update`, or the fencing token of a `Dispatch`.
    std::uint64_t version = 0;
    ClaimRefusal refusal = ClaimRefusal::None;
    ClaimRan ran = ClaimRan::No;
    /// True if a write of this attempt has taken effect or still may, so that the claim must be closed as released.
    bool needsRelease = false;

    auto operator<=>(const ClaimStep &) const = default;
};

} // namespace Godwitfork
