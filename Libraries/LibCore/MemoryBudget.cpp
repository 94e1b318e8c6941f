#include "LibCore/MemoryBudget.h"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace Godwitfork
{

namespace
{
/// Largest small item: most bodies and answers are smaller.
constexpr std::size_t maxSmallItem = std::size_t {64} * 1024;
/// Parts of the capacity, as divisors.
constexpr std::size_t smallPartDivisor = 8;
constexpr std::size_t answerPartDivisor = 4;

/// Whether the use is one that callers cause before their request runs.
bool isOfRequest(MemoryUse use)
{
    return use == MemoryUse::RequestBody || use == MemoryUse::Connection;
}

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
    case MemoryUse::Connection:
        return "connection";
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
    limits.clientPart = (capacity - limits.answerPart) / 4 * 3;
    return limits;
}

MemoryShortage shortageOf(const MemoryLimits &limits, const MemoryHeld &held, const MemoryDemand &demand)
{
    if (demand.newSize <= demand.size) {
        return MemoryShortage::None;
    }
    const bool isRequest = isOfRequest(demand.use);
    const bool isLargeItem = isLarge(limits, demand.newSize);
    const bool isLargeBody = isLargeItem && demand.use == MemoryUse::RequestBody;
    const std::size_t growth = demand.newSize - demand.size;
    const std::size_t requestPart = difference(limits.capacity, limits.answerPart);
    const std::size_t largePart = difference(limits.capacity, limits.smallPart);
    const std::size_t bodyPart = difference(largePart, limits.answerPart);
    if (demand.newSize > limits.capacity || (isLargeItem && demand.newSize > largePart)
        || (isRequest && (demand.newSize > requestPart || demand.newSize > limits.clientPart))
        || (isLargeBody && (demand.newSize > bodyPart || demand.newSize > limits.accountBodies))) {
        return MemoryShortage::TooLarge;
    }
    if (isLargeBody && withChange(demand.accountBodies, limits, demand) > limits.accountBodies) {
        return MemoryShortage::ClientLarge;
    }
    if (isRequest && demand.clientBytes + growth > limits.clientPart) {
        return MemoryShortage::Client;
    }
    if (isLargeItem && (withChange(held.large, limits, demand) > largePart || (isLargeBody && withChange(held.largeBodies, limits, demand) > bodyPart))) {
        return MemoryShortage::ProcessLarge;
    }
    const bool hasRoom = held.total + growth <= limits.capacity && (!isRequest || demand.requestBytes + growth <= requestPart);
    return hasRoom ? MemoryShortage::None : MemoryShortage::Process;
}

bool mayHold(const MemoryLimits &limits, const MemoryHeld &held, const MemoryDemand &demand)
{
    return shortageOf(limits, held, demand) == MemoryShortage::None;
}

struct MemoryReservation::Account {
    MemoryLimits limits;
    MemoryHeld held;
    std::size_t peak = 0;
    std::map<MemoryUse, std::size_t> heldByUse;
    std::map<MemoryUse, std::size_t> refusals;
    /// Bytes of large request bodies by client; clients that hold none are left out.
    std::map<std::string, std::size_t> clientBodies;
    /// Bytes by client of each use that callers cause before their request runs; clients that hold none are left out.
    std::map<std::pair<MemoryUse, std::string>, std::size_t> clientBytes;
    std::vector<MemoryRelief> reliefs;
    bool isRelieving = false;

    MemoryDemand demand(const MemoryReservation &item, std::size_t newSize) const
    {
        MemoryDemand demand;
        demand.use = item.use;
        demand.size = item.held;
        demand.newSize = newSize;
        const auto bodies = this->clientBodies.find(item.client);
        demand.accountBodies = bodies == this->clientBodies.end() ? 0 : bodies->second;
        const auto bytes = this->clientBytes.find({item.use, item.client});
        demand.clientBytes = bytes == this->clientBytes.end() ? 0 : bytes->second;
        demand.requestBytes = this->heldFor(MemoryUse::RequestBody) + this->heldFor(MemoryUse::Connection);
        return demand;
    }

    std::size_t heldFor(MemoryUse use) const
    {
        const auto entry = this->heldByUse.find(use);
        return entry == this->heldByUse.end() ? 0 : entry->second;
    }

    /// Whether the demand may be met, if necessary after others have released memory.
    bool makeRoom(const MemoryReservation &item, std::size_t newSize)
    {
        while (true) {
            const MemoryShortage shortage = shortageOf(this->limits, this->held, this->demand(item, newSize));
            if (shortage == MemoryShortage::None) {
                return true;
            }
            if (shortage == MemoryShortage::TooLarge || this->isRelieving) {
                return false;
            }
            this->isRelieving = true;
            const bool isRelieved =
                std::any_of(this->reliefs.begin(), this->reliefs.end(), [&](const MemoryRelief &relief) { return relief(shortage, item.use, item.client); });
            this->isRelieving = false;
            if (!isRelieved) {
                return false;
            }
        }
    }

    template<typename Key>
    static void set(std::map<Key, std::size_t> &sums, const Key &key, std::size_t bytes)
    {
        if (bytes > 0) {
            sums[key] = bytes;
        } else {
            sums.erase(key);
        }
    }
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
    if (!all.makeRoom(*this, newSize)) {
        ++all.refusals[this->use];
        return false;
    }
    const MemoryDemand demand = all.demand(*this, newSize);
    all.held.total = all.held.total - this->held + newSize;
    all.held.large = withChange(all.held.large, all.limits, demand);
    all.heldByUse[this->use] += newSize - this->held;
    if (isOfRequest(this->use)) {
        Account::set(all.clientBytes, {this->use, this->client}, demand.clientBytes - this->held + newSize);
    }
    if (this->use == MemoryUse::RequestBody) {
        all.held.largeBodies = withChange(all.held.largeBodies, all.limits, demand);
        Account::set(all.clientBodies, this->client, withChange(demand.accountBodies, all.limits, demand));
    }
    all.peak = std::max(all.peak, all.held.total);
    this->held = newSize;
    return true;
}

std::size_t MemoryReservation::size() const
{
    return this->held;
}

const std::string &MemoryReservation::clientName() const
{
    return this->client;
}

void MemoryReservation::setClient(std::string newClient)
{
    if (this->held == 0) {
        this->client = std::move(newClient);
    }
}

MemoryBudget::MemoryBudget(const MemoryLimits &limits) : account(std::make_shared<MemoryReservation::Account>())
{
    this->account->limits = limits;
}

MemoryReservation MemoryBudget::open(MemoryUse use, std::string client) const
{
    return {this->account, use, std::move(client)};
}

void MemoryBudget::addRelief(MemoryRelief relief) const
{
    this->account->reliefs.push_back(std::move(relief));
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
    return this->account->heldFor(use);
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
