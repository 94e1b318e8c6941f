#include "LoadHistory.h"

namespace Godwitfork
{

namespace
{
constexpr Duration maxLag = std::chrono::seconds(10);
}

void recordLoad(LoadHistory &history, int running, MonotonicTime now)
{
    history.samples.push_back({now, running});
    // The newest sample older than the longest lag still holds for that lag.
    while (history.samples.size() > 1 && now - history.samples[1].at > maxLag) {
        history.samples.pop_front();
    }
}

int loadBefore(const LoadHistory &history, Duration lag, MonotonicTime now)
{
    int running = 0;
    for (const LoadSample &sample : history.samples) {
        if (sample.at > now - lag) {
            break;
        }
        running = sample.running;
    }
    return running;
}

} // namespace Godwitfork
