#pragma once

#include "LibSession/SessionToken.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace Godwitfork
{

/// Bounded cache of session pins by object name, which approximates eviction of the least recently used pins with two generations. When
/// the young generation is full it replaces the old one, so a pin stays cached until at least `capacity / 2` other pins were used.
class PinCache
{
public:
    explicit PinCache(std::size_t capacity);

    /// Returns the pin and moves it to the young generation; empty if it is not cached.
    std::optional<SessionPin> find(const std::string &objectName);
    void put(const std::string &objectName, SessionPin pin);
    void erase(const std::string &objectName);

private:
    /// Highest number of pins in each generation.
    std::size_t generationCapacity;
    std::unordered_map<std::string, SessionPin> youngGeneration;
    std::unordered_map<std::string, SessionPin> oldGeneration;
};

} // namespace Godwitfork
