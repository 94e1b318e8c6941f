#include "LibOverload/DemandView.h"

namespace Godwitfork
{

namespace
{
/// Time constant of the decay of demand. An instance gets a few requests a second, so a shorter time leaves too few of each kind, and a longer one hides bursts
/// that last some seconds.
constexpr Duration demandTimeConstant = std::chrono::seconds(4);
/// Least decayed number of requests of a kind for which others give way: one within the last 9 s.
constexpr double minDemand = 0.1;

Duration meanWork(const ObservationSum &work)
{
    return work.weight > 0 ? std::chrono::duration_cast<Duration>(std::chrono::duration<double>(work.sum / work.weight)) : Duration::zero();
}
} // namespace

KindDemand::KindDemand() : work(demandTimeConstant)
{
}

void DemandView::record(const std::string &kind, int priority, Duration objective, Duration work, MonotonicTime now)
{
    KindDemand &demand = this->kinds.try_emplace({priority, kind}).first->second;
    demand.objective = objective;
    demand.work.add({std::chrono::duration<double>(work).count(), 1}, now);
}

bool DemandView::isUrgentAtRisk(int priority, Duration wait, double riskShare, MonotonicTime now) const
{
    for (const auto &[kind, demand] : this->kinds) {
        if (kind.first >= priority) {
            break;
        }
        const ObservationSum work = demand.work.valueAt(now);
        if (work.weight >= minDemand && wait + meanWork(work) > std::chrono::duration_cast<Duration>(demand.objective * riskShare)) {
            return true;
        }
    }
    return false;
}

} // namespace Godwitfork
