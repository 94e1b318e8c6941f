#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <memory>
#include <string>

namespace Godwitfork
{

/// What bytes are held for.
enum class MemoryUse { RequestBody, Answer, PartialEvent };

constexpr std::array<MemoryUse, 3> memoryUses = {MemoryUse::RequestBody, MemoryUse::Answer, MemoryUse::PartialEvent};

const char *memoryUseName(MemoryUse use);

/// Limits of a budget, in bytes.
struct MemoryLimits {
    std::size_t capacity = 0;
    /// Items up to this size are small ones.
    std::size_t smallItem = 0;
    /// Part of the capacity that only small items may draw on.
    std::size_t smallPart = 0;
    /// Part of the capacity that large request bodies may not draw on, so that the answers to admitted requests find room.
    std::size_t answerPart = 0;
    /// Most that the large request bodies of one client account may hold.
    std::size_t accountBodies = 0;

    auto operator<=>(const MemoryLimits &) const = default;
};

/// Limits for a process that may hold `capacity` bytes of requests and answers.
MemoryLimits memoryLimits(std::size_t capacity);

/// Bytes that are held now.
struct MemoryHeld {
    std::size_t total = 0;
    /// Part of `total` held by large items.
    std::size_t large = 0;
    /// Part of `large` held by request bodies.
    std::size_t largeBodies = 0;

    auto operator<=>(const MemoryHeld &) const = default;
};

/// One item and the size that it should grow to, in bytes.
struct MemoryDemand {
    MemoryUse use = MemoryUse::RequestBody;
    std::size_t size = 0;
    std::size_t newSize = 0;
    /// Bytes that the large request bodies of the item's client account hold.
    std::size_t accountBodies = 0;

    auto operator<=>(const MemoryDemand &) const = default;
};

/// Whether an item may grow as demanded. An item may always shrink.
bool mayHold(const MemoryLimits &limits, const MemoryHeld &held, const MemoryDemand &demand);

/// Holds bytes of a budget for one item until it is destroyed. May outlive the budget.
class MemoryReservation
{
public:
    MemoryReservation() = default;
    ~MemoryReservation();
    MemoryReservation(MemoryReservation &&other) noexcept;
    MemoryReservation &operator=(MemoryReservation &&other) noexcept;
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    /// Changes the size in bytes; returns false, and changes nothing, if the budget does not allow it. Without a budget, any size is allowed.
    bool resize(std::size_t newSize);
    std::size_t size() const;

private:
    friend class MemoryBudget;
    struct Account;

    MemoryReservation(std::shared_ptr<Account> account, MemoryUse use, std::string client);

    std::shared_ptr<Account> account;
    MemoryUse use = MemoryUse::RequestBody;
    std::string client;
    std::size_t held = 0;
};

/// Account of the bytes that a process holds for its requests and answers. For use by one thread.
class MemoryBudget
{
public:
    explicit MemoryBudget(const MemoryLimits &limits);

    /// Opens a reservation of 0 bytes for an item of a client account, whose name is empty for requests without one.
    MemoryReservation open(MemoryUse use, std::string client) const;
    const MemoryLimits &limits() const;
    MemoryHeld held() const;
    std::size_t held(MemoryUse use) const;
    /// Largest number of bytes held so far.
    std::size_t peak() const;
    /// Number of refused demands.
    std::size_t refusals(MemoryUse use) const;

private:
    std::shared_ptr<MemoryReservation::Account> account;
};

} // namespace Godwitfork
