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

/// Names one segment of the sums that an instance (incarnation) collects; numbers count from 1.
struct SegmentId {
    std::string instance;
    std::uint64_t number = 0;

    auto operator<=>(const SegmentId &) const = default;
};

/// Sums of one origin. Only the origin changes them, and it raises `sequence` with each change.
struct Segment {
    std::uint64_t sequence = 0;
    bool closed = false;
    EstimateSums sums;

    auto operator<=>(const Segment &) const = default;
};

/// Sums of all instances: a stored base, and the segments that it does not contain yet. There is one base for each
/// epoch, because the base is written by conditional update.
struct EstimateState {
    std::uint64_t epoch = 0;
    /// For each instance the number of its last segment in the base.
    std::map<std::string, std::uint64_t> foldedThrough;
    EstimateSums base;
    std::map<SegmentId, Segment> segments;

    auto operator<=>(const EstimateState &) const = default;
};

/// Merges a state or a part of one received from a peer or the store. Commutative, associative and idempotent.
void merge(EstimateState &state, const EstimateState &received);

/// State with the next epoch, whose base contains each instance's closed segments that follow without a gap, and all
/// known segments of the instances in `dead`. To be merged into the own state only after the conditional update of the
/// stored object from the previous epoch has succeeded.
EstimateState fold(const EstimateState &state, const std::set<std::string> &dead);

/// Sums over the base and all segments.
EstimateSums totalsOf(const EstimateState &state);

/// JSON of the stored object: epoch, folded segments and base.
std::string toStoredJson(const EstimateState &state);
/// Fails with `invalid_estimates` for malformed text.
ErrorOr<EstimateState> fromStoredJson(std::string_view text);

} // namespace Godwitfork
