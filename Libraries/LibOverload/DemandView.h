#pragma once

#include "LibCore/DecayingSum.h"

#include <map>
#include <string>
#include <utility>

namespace Godwitfork
{

/// Requests of one kind, which is a route at one priority, in the recent past of this instance.
struct KindDemand {
    KindDemand();

    /// Time to the first output within which an answer is on time.
    Duration objective = Duration::zero();
    /// Seconds for which the requests keep an endpoint busy (sum) over their number (weight).
    DecayingSum work;
};

/// Requests of one service in the recent past of this instance, by kind.
class DemandView
{
public:
    /// Records a request; `work` is the time for which it keeps an endpoint busy.
    void record(const std::string &kind, int priority, Duration objective, Duration work, MonotonicTime now);

    /// Whether recent requests that are more urgent than `priority` would get their first output later than `riskShare` of their objective if they had to wait
    /// for `wait`.
    bool isUrgentAtRisk(int priority, Duration wait, double riskShare, MonotonicTime now) const;

private:
    /// Kinds by priority and route.
    std::map<std::pair<int, std::string>, KindDemand> kinds;
};

} // namespace Godwitfork
