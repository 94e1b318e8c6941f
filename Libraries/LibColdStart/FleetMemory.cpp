#include "LibColdStart/FleetMemory.h"

#include "LibCore/Digest.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Time for which a silent member keeps its rank. Longer than a partition lasts; the share of an instance that was removed for good is unused
/// until then.
constexpr Duration memoryTime = std::chrono::minutes(5);
/// Time after the first contact in which a new instance learns the whole fleet, and the fleet learns of it: three report intervals of up to
/// 1.2 s in a large fleet.
constexpr Duration settlingTime = std::chrono::milliseconds(3600);
} // namespace

void FleetMemory::update(const FleetContacts &contacts, MonotonicTime now)
{
    if (this->own != contacts.own) {
        this->own = contacts.own;
        ++this->changes;
    }
    for (const std::string &address : contacts.live) {
        if (address == this->own) {
            continue;
        }
        const auto [member, isNew] = this->lastLive.insert_or_assign(address, now);
        this->changes += isNew ? 1 : 0;
    }
    this->changes += std::erase_if(this->lastLive, [now](const auto &member) { return now - member.second > memoryTime; });
    const bool wasSettled = this->isSettled;
    // Instances that have forgotten each other in a long partition would all have low ranks, and each take a share.
    if (!this->hasReachedSeeds(contacts)) {
        this->reachedAt.reset();
        this->isSettled = false;
    } else if (!this->reachedAt) {
        this->reachedAt = now;
    }
    const bool isAlone = this->lastLive.empty();
    this->isSettled = this->reachedAt && (isAlone || this->isSettled || now - *this->reachedAt >= settlingTime);
    this->changes += wasSettled != this->isSettled ? 1 : 0;
}

bool FleetMemory::hasReachedSeeds(const FleetContacts &contacts) const
{
    const std::set<std::string> seeds(contacts.seeds.begin(), contacts.seeds.end());
    const auto isReached = [this](const std::string &seed) { return this->lastLive.contains(seed); };
    const auto others = static_cast<std::ptrdiff_t>(seeds.size()) - (seeds.contains(this->own) ? 1 : 0);
    return 2 * std::count_if(seeds.begin(), seeds.end(), isReached) >= others;
}

std::optional<int> FleetMemory::rankFor(std::string_view endpoint) const
{
    if (!this->isSettled) {
        return std::nullopt;
    }
    const std::uint64_t score = rendezvousScore(endpoint, this->own);
    return static_cast<int>(
        std::count_if(this->lastLive.begin(), this->lastLive.end(), [&](const auto &member) { return rendezvousScore(endpoint, member.first) > score; }));
}

int FleetMemory::size() const
{
    return static_cast<int>(this->lastLive.size()) + 1;
}

std::uint64_t FleetMemory::version() const
{
    return this->changes;
}

} // namespace Godwitfork
