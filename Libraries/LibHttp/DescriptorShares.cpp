#include "LibHttp/DescriptorShares.h"

#include <sys/resource.h>

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Log, listeners, timers, and connections to the store and to other instances: the least number, and the part of a larger limit.
constexpr int leastOwn = 64;
constexpr int ownDivisor = 16;
constexpr int peersDivisor = 4;
/// All instances of a large failure domain report to one hub and follow its relay, on a few connections each.
constexpr int mostPeers = 1024;
constexpr int othersDivisor = 16;
constexpr int mostOthers = 32;
/// Readiness, metrics or administration.
constexpr int otherListeners = 2;
constexpr int mostDescriptors = 1'000'000;
} // namespace

DescriptorShares descriptorShares(int descriptors)
{
    DescriptorShares shares;
    shares.others = std::clamp(descriptors / othersDivisor, 1, mostOthers);
    shares.peers = std::clamp(descriptors / peersDivisor, 1, mostPeers);
    const int own = std::max(leastOwn, descriptors / ownDivisor);
    shares.callers = std::max(1, (descriptors - own - shares.peers - otherListeners * shares.others) / 2);
    return shares;
}

int descriptorLimit()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > static_cast<rlim_t>(mostDescriptors)) {
        return mostDescriptors;
    }
    return static_cast<int>(limit.rlim_cur);
}

} // namespace Godwitfork
