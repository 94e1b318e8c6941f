#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>

namespace Godwitfork
{

/// What bytes are held for.
enum class MemoryUse { RequestBody, Answer, PartialEvent, Connection };

constexpr std::array<MemoryUse, 4> memoryUses = {MemoryUse::RequestBody, MemoryUse::Answer, MemoryUse::PartialEvent, MemoryUse::Connection};

const char *memoryUseName(MemoryUse use);

/// Limits of a budget, in bytes.
struct MemoryLimits {
    std::size_t capacity = 0;
    /// Items up to this size are small ones.
    std::size_t smallItem = 0;
    /// Part of the capacity that only small items may draw on.
    std::size_t smallPart = 0;
    /// Part of the capacity that connections and request bodies may not draw on, so that the answers to admitted requests find room.
    std::size_t answerPart = 0;
    /// Most that the large request bodies of one client may hold. A client is an account, or an address where no account is known.
    std::size_t accountBodies = 0;
    /// Most that one client may hold for the same use, of connections and of request bodies.
    std::size_t clientPart = std::numeric_limits<std::size_t>::max();

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
    /// Bytes that the large request bodies of the item's client hold.
    std::size_t accountBodies = 0;
    /// Bytes that the item's client holds for the same use.
    std::size_t clientBytes = 0;
    /// Bytes that connections and request bodies hold.
    std::size_t requestBytes = 0;

    auto operator<=>(const MemoryDemand &) const = default;
};

/// Why an item may not grow: it exceeds a limit by itself, or the process or the item's client holds too much, in all or for large items.
enum class MemoryShortage { None, TooLarge, Process, ProcessLarge, Client, ClientLarge };

/// What keeps an item from growing as demanded. An item may always shrink.
MemoryShortage shortageOf(const MemoryLimits &limits, const MemoryHeld &held, const MemoryDemand &demand);
/// Whether an item may grow as demanded.
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
    /// Name of the client; empty if none is known.
    const std::string &clientName() const;
    /// Sets the client of a reservation that holds nothing.
    void setClient(std::string newClient);

private:
    friend class MemoryBudget;
    struct Account;

    MemoryReservation(std::shared_ptr<Account> account, MemoryUse use, std::string client);

    std::shared_ptr<Account> account;
    MemoryUse use = MemoryUse::RequestBody;
    std::string client;
    std::size_t held = 0;
};

/// Releases memory of another item for a demand that cannot be met; returns false if none may be released. `client` and `use` are those of the
/// demand.
using MemoryRelief = std::function<bool(MemoryShortage shortage, MemoryUse use, const std::string &client)>;

/// Account of the bytes that a process holds for its connections, requests and answers. For use by one thread.
class MemoryBudget
{
public:
    explicit MemoryBudget(const MemoryLimits &limits);

    /// Opens a reservation of 0 bytes for an item of a client, whose name is empty if none is known.
    MemoryReservation open(MemoryUse use, std::string client) const;
    /// Adds a function that is asked for room before a demand is refused, as long as it released some. It must not use reservations that have
    /// been destroyed, and may only shrink others.
    void addRelief(MemoryRelief relief) const;
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
