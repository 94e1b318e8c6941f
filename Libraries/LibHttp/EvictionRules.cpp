#include "LibHttp/EvictionRules.h"

#include <algorithm>
#include <tuple>

namespace Godwitfork
{

namespace
{
constexpr Duration progressWindow = std::chrono::milliseconds(500);
/// A client sends a request that it has begun within a few round trips; a younger one has had no time to make progress.
constexpr Duration evictionGrace = std::chrono::milliseconds(500);
/// A request that arrives at this rate is not closed for another one. At this rate a body of the largest size takes minutes.
constexpr double goodBytesPerSecond = 16 * 1024;

double seconds(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Order in which phases are evicted.
int rankOf(ConnectionPhase phase)
{
    switch (phase) {
    case ConnectionPhase::Receiving:
        return 0;
    case ConnectionPhase::Closing:
        return 1;
    case ConnectionPhase::Idle:
    case ConnectionPhase::Serving:
        break;
    }
    return 2;
}

bool mayEvict(const EvictionCandidate &candidate, MonotonicTime now)
{
    if (candidate.phase == ConnectionPhase::Serving || now - candidate.since < evictionGrace) {
        return false;
    }
    return candidate.phase != ConnectionPhase::Receiving || candidate.recentBytesPerSecond < goodBytesPerSecond;
}

/// The least candidate is evicted: least progress first, then the one that holds most, then the oldest.
auto orderOf(const EvictionCandidate &candidate)
{
    const double progress = candidate.phase == ConnectionPhase::Receiving ? candidate.recentBytesPerSecond : 0;
    return std::make_tuple(rankOf(candidate.phase), progress, -static_cast<double>(candidate.heldBytes), candidate.since);
}
} // namespace

void ReceiveProgress::begin(MonotonicTime now)
{
    *this = ReceiveProgress();
    this->start = now;
    this->windowStart = now;
}

void ReceiveProgress::add(std::size_t bytes, MonotonicTime now)
{
    const Duration elapsed = now - this->windowStart;
    if (elapsed >= progressWindow) {
        this->previous = elapsed < 2 * progressWindow ? this->current : 0;
        this->current = 0;
        this->windowStart = elapsed < 2 * progressWindow ? this->windowStart + progressWindow : now;
    }
    this->current += bytes;
    this->total += bytes;
}

MonotonicTime ReceiveProgress::startedAt() const
{
    return this->start;
}

std::uint64_t ReceiveProgress::receivedBytes() const
{
    return this->total;
}

double ReceiveProgress::recentBytesPerSecond(MonotonicTime now) const
{
    const double age = seconds(now - this->windowStart) / seconds(progressWindow);
    // The part of the window before that the last half second covers; a window that has ended fades in the same way.
    const double recent = age < 1 ? static_cast<double>(this->current) + static_cast<double>(this->previous) * (1 - age)
                                  : static_cast<double>(this->current) * std::max(0.0, 2 - age);
    return recent / seconds(progressWindow);
}

bool isTooSlow(const ReceiveProgress &progress, const ProgressLimits &limits, MonotonicTime now)
{
    const Duration late = now - progress.startedAt() - limits.grace;
    return late > Duration::zero() && static_cast<double>(progress.receivedBytes()) < limits.bytesPerSecond * seconds(late);
}

std::optional<std::size_t> chooseEviction(const std::vector<EvictionCandidate> &candidates, MonotonicTime now)
{
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        if (mayEvict(candidates[i], now) && (!chosen || orderOf(candidates[i]) < orderOf(candidates[*chosen]))) {
            chosen = i;
        }
    }
    return chosen;
}

} // namespace Godwitfork
