#include "LibGateway/HubDirectory.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Godwitfork
{

namespace
{
/// Two hubs tolerate the failure of one; every further hub adds one message per instance and interval.
constexpr std::size_t hubsPerDomain = 2;
constexpr const char *hubTask = "hub";
} // namespace

HubDirectory::HubDirectory(std::string ownAddress, std::string ownFailureDomain, Duration membershipTimeout)
    : ownAddress(std::move(ownAddress)), ownFailureDomain(std::move(ownFailureDomain)), view(membershipTimeout)
{
}

FleetView &HubDirectory::fleet()
{
    return this->view;
}

const FleetView &HubDirectory::fleet() const
{
    return this->view;
}

void HubDirectory::expire(MonotonicTime now)
{
    this->view.expire(now);
    std::erase_if(this->exclusions, [this, now](const auto &entry) { return !this->fleet().lastHeardAt(entry.first) || !this->isExcluded(entry.first, now); });
}

std::size_t HubDirectory::ownDomainSize() const
{
    const auto &members = this->view.members();
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [this](const FleetMember &member) { return member.failureDomain == this->ownFailureDomain; }));
}

void HubDirectory::exclude(const std::string &address, Duration minimum, MonotonicTime now)
{
    this->exclusions[address] = {now, now + minimum};
}

void HubDirectory::include(const std::string &address)
{
    this->exclusions.erase(address);
}

bool HubDirectory::wasHeardSince(const std::string &address, MonotonicTime since) const
{
    const auto heard = this->view.lastHeardAt(address);
    return heard && *heard > since;
}

bool HubDirectory::isExcluded(const std::string &address, MonotonicTime now) const
{
    const auto exclusion = this->exclusions.find(address);
    return exclusion != this->exclusions.end() && (now < exclusion->second.until || !this->wasHeardSince(address, exclusion->second.since));
}

std::vector<std::string> HubDirectory::dueProbes(MonotonicTime now) const
{
    std::vector<std::string> due;
    for (const auto &[address, exclusion] : this->exclusions) {
        if (now >= exclusion.until && !this->wasHeardSince(address, exclusion.since)) {
            due.push_back(address);
        }
    }
    return due;
}

// Members with the highest capacity come first, since a hub has more work than the others.
std::vector<std::string> HubDirectory::hubs(const std::string &failureDomain, MonotonicTime now) const
{
    std::vector<std::tuple<int, std::uint64_t, std::string>> scored;
    for (const FleetMember &member : this->view.members()) {
        if (member.failureDomain == failureDomain && !this->isExcluded(member.address, now)) {
            scored.emplace_back(member.capacity, rendezvousScore(hubTask, member.address), member.address);
        }
    }
    const std::size_t count = std::min(hubsPerDomain, scored.size());
    std::partial_sort(scored.begin(), scored.begin() + static_cast<std::ptrdiff_t>(count), scored.end(), std::greater<>());
    std::vector<std::string> hubs;
    for (std::size_t i = 0; i < count; ++i) {
        hubs.push_back(std::get<std::string>(scored[i]));
    }
    return hubs;
}

std::vector<std::string> HubDirectory::ownHubs(MonotonicTime now) const
{
    return this->hubs(this->ownFailureDomain, now);
}

std::vector<std::string> HubDirectory::remotePrimaries(MonotonicTime now) const
{
    std::set<std::string> domains;
    for (const FleetMember &member : this->view.members()) {
        if (member.failureDomain != this->ownFailureDomain) {
            domains.insert(member.failureDomain);
        }
    }
    std::vector<std::string> primaries;
    for (const std::string &domain : domains) {
        const std::vector<std::string> hubs = this->hubs(domain, now);
        if (!hubs.empty()) {
            primaries.push_back(hubs.front());
        }
    }
    return primaries;
}

bool HubDirectory::isPrimary(MonotonicTime now) const
{
    const std::vector<std::string> hubs = this->ownHubs(now);
    return !hubs.empty() && hubs.front() == this->ownAddress;
}

std::optional<std::string> HubDirectory::relayHub(StoreAccess access, MonotonicTime now) const
{
    const std::vector<std::string> own = this->ownHubs(now);
    if (!own.empty() && own.front() == this->ownAddress && access == StoreAccess::Working) {
        return std::nullopt;
    }
    for (const std::string &hub : own) {
        if (hub != this->ownAddress) {
            return hub;
        }
    }
    // Without a usable hub in its own failure domain, each instance chooses one by its own hash, so that all do not follow the same one.
    std::vector<std::string> remote = this->remotePrimaries(now);
    if (remote.empty()) {
        return std::nullopt;
    }
    return *std::max_element(remote.begin(), remote.end(), [this](const std::string &left, const std::string &right) {
        return rendezvousScore(this->ownAddress, left) < rendezvousScore(this->ownAddress, right);
    });
}

} // namespace Godwitfork
