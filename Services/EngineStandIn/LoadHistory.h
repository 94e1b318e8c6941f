#pragma once

#include "LibCore/Time.h"

#include <deque>

namespace Godwitfork
{

struct LoadSample {
    MonotonicTime at;
    int running = 0;

    auto operator<=>(const LoadSample &) const = default;
};

/// Past numbers of running requests, so that a load report can lag as engines' reports do.
struct LoadHistory {
    std::deque<LoadSample> samples;
};

void recordLoad(LoadHistory &history, int running, MonotonicTime now);
/// Number of running requests that held `lag` ago.
int loadBefore(const LoadHistory &history, Duration lag, MonotonicTime now);

} // namespace Godwitfork
