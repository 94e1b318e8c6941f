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
    const auto youngEntry = this->youngGeneration.find(objectName);
    if (youngEntry != this->youngGeneration.end()) {
        return youngEntry->second;
    }
    const auto oldEntry = this->oldGeneration.find(objectName);
    if (oldEntry == this->oldGeneration.end()) {
        return std::nullopt;
    }
    SessionPin pin = oldEntry->second;
    this->put(objectName, pin);
    return pin;
}

void PinCache::put(const std::string &objectName, SessionPin pin)
{
    if (this->youngGeneration.size() >= this->generationCapacity && !this->youngGeneration.contains(objectName)) {
        this->oldGeneration = std::exchange(this->youngGeneration, {});
    }
    this->youngGeneration.insert_or_assign(objectName, std::move(pin));
}

void PinCache::erase(const std::string &objectName)
{
    this->youngGeneration.erase(objectName);
    this->oldGeneration.erase(objectName);
}

} // namespace Godwitfork
