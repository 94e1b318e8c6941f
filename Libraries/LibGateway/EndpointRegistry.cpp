#include "LibGateway/EndpointRegistry.h"

#include "LibCore/Digest.h"

#include <set>

namespace Godwitfork
{

namespace
{
/// Reports of other instances are up to two reporting intervals old, so a report of leaving within this time after a registration may
/// describe the time before it. If the endpoint does leave within this time, the store reports it.
constexpr Duration confirmationPeriod = std::chrono::seconds(3);

/// Whether two entries differ at most in what each renewal of a registration changes.
bool isRenewal(const EndpointEntry &entry, const EndpointEntry &known)
{
    EndpointEntry renewed = known;
    renewed.sequence = entry.sequence;
    renewed.coldRemaining = entry.coldRemaining;
    return renewed == entry;
}

/// Whether an entry is an earlier registration of the incarnation, as in a copy from which the store returned.
bool isEarlier(const EndpointEntry &entry, const EndpointEntry &known)
{
    return entry.incarnation == known.incarnation && entry.sequence < known.sequence;
}
} // namespace

EndpointKey endpointKey(std::string_view id)
{
    return static_cast<EndpointKey>(hash64(id));
}

const char *endpointChangeName(EndpointChangeKind kind)
{
    switch (kind) {
    case EndpointChangeKind::Added:
        return "added";
    case EndpointChangeKind::Restarted:
        return "restarted";
    case EndpointChangeKind::Draining:
        return "draining";
    case EndpointChangeKind::Changed:
        return "changed";
    case EndpointChangeKind::Removed:
        return "removed";
    case EndpointChangeKind::Held:
        return "held";
    }
    return "changed";
}

EndpointRegistry::EndpointRegistry(Duration reregistrationTime) : reregistrationTime(reregistrationTime)
{
}

std::vector<EndpointChange> EndpointRegistry::replaceAll(const std::vector<EndpointEntry> &entries, SnapshotTrust trust, MonotonicTime now)
{
    std::vector<EndpointChange> changes;
    std::set<std::string> present;
    for (const EndpointEntry &entry : entries) {
        present.insert(entry.id);
        for (EndpointChange &change : this->put(entry, now)) {
            changes.push_back(std::move(change));
        }
    }
    for (auto position = this->registrations.begin(); position != this->registrations.end();) {
        Registration &registration = position->second;
        if (present.contains(position->first)) {
            ++position;
            continue;
        }
        if (this->hold(registration, trust, now, changes)) {
            ++position;
            continue;
        }
        changes.push_back({EndpointChangeKind::Removed, registration.entry});
        position = this->erase(position);
    }
    return changes;
}

std::vector<EndpointChange> EndpointRegistry::put(const EndpointEntry &entry, MonotonicTime now)
{
    const auto known = this->registrations.find(entry.id);
    if (known == this->registrations.end()) {
        this->registrations.emplace(entry.id, Registration {entry, now, false, std::nullopt});
        this->idsByKey[endpointKey(entry.id)] = entry.id;
        return {{EndpointChangeKind::Added, entry}};
    }
    Registration &registration = known->second;
    registration.removeAt.reset();
    if (registration.entry.state == EndpointState::Draining && isEarlier(entry, registration.entry)) {
        return {};
    }
    registration.lastConfirmed = now;
    registration.isMarkedByPeer = false;
    if (isRenewal(entry, registration.entry)) {
        registration.entry = entry;
        return {};
    }
    EndpointChangeKind kind = EndpointChangeKind::Changed;
    if (registration.entry.incarnation != entry.incarnation || registration.entry.address != entry.address) {
        kind = EndpointChangeKind::Restarted;
    } else if (registration.entry.state != entry.state && entry.state == EndpointState::Draining) {
        kind = EndpointChangeKind::Draining;
    }
    registration.entry = entry;
    return {{kind, entry}};
}

// A draining endpoint that is missing has left; only a ready one may be alive and have lost its registration in the outage.
bool EndpointRegistry::hold(Registration &registration, SnapshotTrust trust, MonotonicTime now, std::vector<EndpointChange> &changes) const
{
    const bool mayBeMissing = trust.outageEndedAt && now < *trust.outageEndedAt + this->reregistrationTime;
    if (!mayBeMissing || registration.entry.state != EndpointState::Ready) {
        return false;
    }
    if (!registration.removeAt) {
        registration.removeAt = *trust.outageEndedAt + this->reregistrationTime;
        changes.push_back({EndpointChangeKind::Held, registration.entry});
    }
    return true;
}

std::vector<EndpointChange> EndpointRegistry::remove(const std::string &id, SnapshotTrust trust, MonotonicTime now)
{
    std::vector<EndpointChange> changes;
    const auto known = this->registrations.find(id);
    if (known == this->registrations.end() || this->hold(known->second, trust, now, changes)) {
        return changes;
    }
    changes.push_back({EndpointChangeKind::Removed, known->second.entry});
    this->erase(known);
    return changes;
}

std::vector<EndpointChange> EndpointRegistry::markLeaving(const std::string &id, std::int64_t incarnation, MonotonicTime now)
{
    const auto known = this->registrations.find(id);
    if (known == this->registrations.end() || known->second.entry.incarnation != incarnation || known->second.entry.state == EndpointState::Draining) {
        return {};
    }
    // A registration that is missing from the store is kept only because it may have expired in an outage; another instance saw it end.
    const bool isMissing = known->second.removeAt.has_value();
    if (!isMissing && now - known->second.lastConfirmed < confirmationPeriod) {
        return {};
    }
    known->second.isMarkedByPeer = true;
    known->second.entry.state = EndpointState::Draining;
    return {{EndpointChangeKind::Draining, known->second.entry}};
}

std::vector<const EndpointEntry *> EndpointRegistry::draining() const
{
    std::vector<const EndpointEntry *> endpoints;
    for (const auto &[id, registration] : this->registrations) {
        if (registration.entry.state == EndpointState::Draining && !registration.isMarkedByPeer) {
            endpoints.push_back(&registration.entry);
        }
    }
    return endpoints;
}

std::vector<EndpointChange> EndpointRegistry::expire(MonotonicTime now)
{
    std::vector<EndpointChange> changes;
    for (auto position = this->registrations.begin(); position != this->registrations.end();) {
        if (position->second.removeAt && *position->second.removeAt <= now) {
            changes.push_back({EndpointChangeKind::Removed, position->second.entry});
            position = this->erase(position);
        } else {
            ++position;
        }
    }
    return changes;
}

const EndpointEntry *EndpointRegistry::find(const std::string &id) const
{
    const auto known = this->registrations.find(id);
    return known == this->registrations.end() ? nullptr : &known->second.entry;
}

std::vector<const EndpointEntry *> EndpointRegistry::ready(const std::string &service) const
{
    std::vector<const EndpointEntry *> endpoints;
    for (const auto &[id, registration] : this->registrations) {
        if (registration.entry.service == service && registration.entry.state == EndpointState::Ready) {
            endpoints.push_back(&registration.entry);
        }
    }
    return endpoints;
}

const EndpointEntry *EndpointRegistry::findByKey(EndpointKey key) const
{
    const auto id = this->idsByKey.find(key);
    return id == this->idsByKey.end() ? nullptr : this->find(id->second);
}

std::vector<const EndpointEntry *> EndpointRegistry::ofService(const std::string &service) const
{
    std::vector<const EndpointEntry *> endpoints;
    for (const auto &[id, registration] : this->registrations) {
        if (registration.entry.service == service) {
            endpoints.push_back(&registration.entry);
        }
    }
    return endpoints;
}

std::map<std::string, EndpointRegistry::Registration>::iterator EndpointRegistry::erase(std::map<std::string, Registration>::iterator position)
{
    this->idsByKey.erase(endpointKey(position->first));
    return this->registrations.erase(position);
}

std::size_t EndpointRegistry::size() const
{
    return this->registrations.size();
}

} // namespace Godwitfork
