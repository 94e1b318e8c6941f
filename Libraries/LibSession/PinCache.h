#pragma once

#include "LibSession/SessionToken.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

namespace Godwitfork
{

/// Bounded cache of session pins by object name. It keeps two generations: a full younger one replaces the older one, so
/// that a recently used pin survives at least half the capacity of newer ones.
class PinCache
{
public:
    explicit PinCache(std::size_t capacity);

    std::optional<SessionPin> find(const std::string &objectName);
    void put(const std::string &objectName, SessionPin pin);
    void erase(const std::string &objectName);

private:
    std::size_t generationCapacity;
    std::unordered_map<std::string, SessionPin> young;
    std::unordered_map<std::string, SessionPin> old;
};

} // namespace Godwitfork
