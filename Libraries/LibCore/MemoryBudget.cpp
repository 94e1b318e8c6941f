#include "LibCore/MemoryBudget.h"

#include <algorithm>
#include <map>
#include <utility>

namespace Godwitfork
{

namespace
{
/// Largest small item: most bodies and answers are smaller.
constexpr std::size_t maxSmallItem = std::size_t {64} * 1024;
/// Parts of the capacity, as divisors.
constexpr std::size_t smallPartDivisor = 8;
constexpr std::size_t answerPartDivisor = 4;

bool isLarge(const MemoryLimits &limits, std::size_t size)
{
    return size > limits.smallItem;
}

/// Bytes by which a sum over the large items changes.
std::size_t withChange(std::size_t sum, const MemoryLimits &limits, const MemoryDemand &demand)
{
    const std::size_t before = isLarge(limits, demand.size) ? demand.size : 0;
    const std::size_t after = isLarge(limits, demand.newSize) ? demand.newSize : 0;
    return sum - before + after;
}

std::size_t difference(std::size_t whole, std::size_t part)
{
    return whole > part ? whole - part : 0;
}
} // namespace

const char *memoryUseName(MemoryUse use)
{
    switch (use) {
    case MemoryUse::RequestBody:
        return "request_body";
    case MemoryUse::Answer:
        return "answer";
    case MemoryUse::PartialEvent:
        return "partial_event";
    }
    return "";
}

MemoryLimits memoryLimits(std::size_t capacity)
{
    MemoryLimits limits;
    limits.capacity = capacity;
    limits.smallItem = maxSmallItem;
    limits.smallPart = capacity / smallPartDivisor;
    limits.answerPart = capacity / answerPartDivisor;
    limits.accountBodies = (capacity - limits.smallPart - limits.answerPart) / 4 * 3;
    return limits;
}

bool mayHold(const MemoryLimits &limits, const MemoryHeld &held, const MemoryDemand &demand)
{
    if (demand.newSize <= demand.size) {
        return true;
    }
    if (demand.newSize > limits.capacity || held.total - demand.size + demand.newSize > limits.capacity) {
        return false;
    }
    if (!isLarge(limits, demand.newSize)) {
        return true;
    }
    const std::size_t largePart = difference(limits.capacity, limits.smallPart);
    if (withChange(held.large, limits, demand) > largePart) {
        return false;
    }
    if (demand.use != MemoryUse::RequestBody) {
        return true;
    }
    return withChange(held.largeBodies, limits, demand) <= difference(largePart, limits.answerPart)
        && withChange(demand.accountBodies, limits, demand) <= limits.accountBodies;
}

struct MemoryReservation::Account {
    MemoryLimits limits;
    MemoryHeld held;
    std::size_t peak = 0;
    std::map<MemoryUse, std::size_t> heldByUse;
    std::map<MemoryUse, std::size_t> refusals;
    /// Bytes of large request bodies by client account; accounts that hold none are left out.
    std::map<std::string, std::size_t> clientBodies;
};

MemoryReservation::MemoryReservation(std::shared_ptr<Account> account, MemoryUse use, std::string client)
    : account(std::move(account)), use(use), client(std::move(client))
{
}

MemoryReservation::~MemoryReservation()
{
    this->resize(0);
}

MemoryReservation::MemoryReservation(MemoryReservation &&other) noexcept
    : account(std::move(other.account)), use(other.use), client(std::move(other.client)), held(std::exchange(other.held, 0))
{
}

MemoryReservation &MemoryReservation::operator=(MemoryReservation &&other) noexcept
{
    if (this != &other) {
        this->resize(0);
        this->account = std::move(other.account);
        this->use = other.use;
        this->client = std::move(other.client);
        this->held = std::exchange(other.held, 0);
    }
    return *this;
}

bool MemoryReservation::resize(std::size_t newSize)
{
    if (!this->account) {
        this->held = newSize;
        return true;
    }
    if (newSize == this->held) {
        return true;
    }
    Account &all = *this->account;
    MemoryDemand demand;
    demand.use = this->use;
    demand.size = this->held;
    demand.newSize = newSize;
    const auto entry = all.clientBodies.find(this->client);
    demand.accountBodies = entry == all.clientBodies.end() ? 0 : entry->second;
    if (!mayHold(all.limits, all.held, demand)) {
        ++all.refusals[this->use];
        return false;
    }
    all.held.total = all.held.total - this->held + newSize;
    all.held.large = withChange(all.held.large, all.limits, demand);
    all.heldByUse[this->use] += newSize - this->held;
    if (this->use == MemoryUse::RequestBody) {
        all.held.largeBodies = withChange(all.held.largeBodies, all.limits, demand);
        const std::size_t bodies = withChange(demand.accountBodies, all.limits, demand);
        if (bodies > 0) {
            all.clientBodies[this->client] = bodies;
        } else if (entry != all.clientBodies.end()) {
            all.clientBodies.erase(entry);
        }
    }
    all.peak = std::max(all.peak, all.held.total);
    this->held = newSize;
    return true;
}

std::size_t MemoryReservation::size() const
{
    return this->held;
}

MemoryBudget::MemoryBudget(const MemoryLimits &limits) : account(std::make_shared<MemoryReservation::Account>())
{
    this->account->limits = limits;
}

MemoryReservation MemoryBudget::open(MemoryUse use, std::string client) const
{
    return {this->account, use, std::move(client)};
}

const MemoryLimits &MemoryBudget::limits() const
{
    return this->account->limits;
}

MemoryHeld MemoryBudget::held() const
{
    return this->account->held;
}

std::size_t MemoryBudget::held(MemoryUse use) const
{
    const auto entry = this->account->heldByUse.find(use);
    return entry == this->account->heldByUse.end() ? 0 : entry->second;
}

std::size_t MemoryBudget::peak() const
{
    return this->account->peak;
}

std::size_t MemoryBudget::refusals(MemoryUse use) const
{
    const auto entry = this->account->refusals.find(use);
    return entry == this->account->refusals.end() ? 0 : entry->second;
}

} // namespace Godwitfork
