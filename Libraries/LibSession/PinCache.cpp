#include "LibSession/PinCache.h"

#include <algorithm>
#include <utility>

namespace Godwitfork
{

PinCache::PinCache(std::size_t capacity) : generationCapacity(std::max<std::size_t>(1, capacity / 2))
{
}

std::optional<SessionPin> PinCache::find(const std::string &objectName)
{
    const auto recent = this->young.find(objectName);
    if (recent != this->young.end()) {
        return recent->second;
    }
    const auto aged = this->old.find(objectName);
    if (aged == this->old.end()) {
        return std::nullopt;
    }
    SessionPin pin = aged->second;
    this->put(objectName, pin);
    return pin;
}

void PinCache::put(const std::string &objectName, SessionPin pin)
{
    if (this->young.size() >= this->generationCapacity && !this->young.contains(objectName)) {
        this->old = std::exchange(this->young, {});
    }
    this->young.insert_or_assign(objectName, std::move(pin));
}

void PinCache::erase(const std::string &objectName)
{
    this->young.erase(objectName);
    this->old.erase(objectName);
}

} // namespace Godwitfork
