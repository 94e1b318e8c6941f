#pragma once

#include "LibCascade/EstimateSums.h"
#include "LibCore/Error.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace Godwitfork
{

/// Identifies one segment of the sums that an incarnation of an instance collects; numbers start at 1.
struct SegmentId {
    std::string instance;
    std::uint64_t number = 0;

    auto operator<=>(const SegmentId &) const = default;
};

/// Part of the sums of one instance. Only that instance changes it, and increments `sequence` with each change. A closed segment no
/// longer changes.
struct Segment {
    std::uint64_t sequence = 0;
    bool closed = false;
    EstimateSums sums;

    auto operator<=>(const Segment &) const = default;
};

/// Sums of all instances as a conflict-free replicated data type: a stored base, and the segments that the base does not contain yet.
/// The base is written by conditional update, so there is exactly one for each epoch.
struct EstimateState {
    std::uint64_t epoch = 0;
    /// Number of the last segment in the base, by instance.
    std::map<std::string, std::uint64_t> foldedThrough;
    EstimateSums base;
    std::map<SegmentId, Segment> segments;

    auto operator<=>(const EstimateState &) const = default;
};

/// Merges a state, or a part of one, that was received from a peer or the store. The operation is commutative, associative and
/// idempotent.
void merge(EstimateState &state, const EstimateState &received);

/// Returns the state of the next epoch, whose base also contains each instance's closed segments up to the first gap in their numbers,
/// and all known segments of the instances in `dead`. The caller merges it into its own state only after the conditional update of
/// the stored object from the previous epoch has succeeded.
EstimateState fold(const EstimateState &state, const std::set<std::string> &dead);

/// Returns the sums over the base and all segments.
EstimateSums totalsOf(const EstimateState &state);

/// Returns the JSON text of the stored object, which holds the epoch, the numbers of the folded segments and the base.
std::string toStoredJson(const EstimateState &state);
/// Parses the text of the stored object. Fails with `invalid_estimates` if it is malformed.
ErrorOr<EstimateState> fromStoredJson(std::string_view text);

} // namespace Godwitfork
