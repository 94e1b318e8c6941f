#include "LibGateway/CatalogFreshness.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// A hub that has lost the store is overdue after a watch that it did not answer and a margin. A copy that is overdue leaves the rest of the
/// limit for one call to the store.
constexpr int watchesPerLimit = 3;
constexpr int marginsPerLimit = 4;
/// Changes come in bursts, and during a release every endpoint changes: after a pause, one call returns several changes.
constexpr int changePausesPerLimit = 10;
constexpr Duration minWatchWait = std::chrono::milliseconds(500);
constexpr Duration maxWatchWait = std::chrono::seconds(2);
} // namespace

CatalogLimits catalogLimits(Duration changeLimit)
{
    CatalogLimits limits;
    limits.watchWait = std::clamp(changeLimit / watchesPerLimit, minWatchWait, maxWatchWait);
    limits.changePause = changeLimit / changePausesPerLimit;
    limits.maxAge = limits.watchWait + changeLimit / marginsPerLimit;
    return limits;
}

bool isOverdue(const CatalogFreshness &freshness, const CatalogLimits &limits, MonotonicTime now)
{
    return now - freshness.confirmedAt >= limits.maxAge;
}

// A store that is away may accept a call and never answer it. A call that it may hold open would then block the copy for the whole wait after
// its return, so a copy that is overdue asks for an answer at once.
std::optional<Duration> nextWatchWait(const CatalogReadState &state, const CatalogLimits &limits, MonotonicTime now)
{
    if (state.isPageWithheld || isOverdue(state.freshness, limits, now)) {
        return Duration::zero();
    }
    if (state.source != CatalogSource::Store) {
        return std::nullopt;
    }
    return state.isStoreFailing ? Duration::zero() : limits.watchWait;
}

} // namespace Godwitfork
