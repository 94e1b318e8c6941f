#include "LibGateway/PromptCacheView.h"

#include "LibCore/Digest.h"

namespace Godwitfork
{

std::vector<std::uint64_t> promptPrefixKeys(const std::string &model, const std::vector<PromptPart> &parts)
{
    std::vector<std::uint64_t> prefixKeys;
    std::uint64_t key = hash64(model);
    for (const PromptPart &part : parts) {
        key = hash64(part.id, key);
        prefixKeys.push_back(key);
    }
    return prefixKeys;
}

std::vector<CachedPart> cachedParts(const std::vector<std::uint64_t> &prefixKeys, const std::vector<PromptPart> &parts)
{
    std::vector<CachedPart> result;
    for (std::size_t i = 0; i < prefixKeys.size(); ++i) {
        result.push_back({prefixKeys[i], parts[i].tokens});
    }
    return result;
}

PromptCacheView::PromptCacheView(std::int64_t capacityTokens) : capacityTokens(capacityTokens)
{
}

std::int64_t PromptCacheView::cachedTokens(const std::vector<std::uint64_t> &prefixKeys, const std::vector<PromptPart> &parts) const
{
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i < prefixKeys.size(); ++i) {
        if (!this->byKey.contains(prefixKeys[i])) {
            break;
        }
        tokens += parts[i].tokens;
    }
    return tokens;
}

void PromptCacheView::record(const std::vector<CachedPart> &parts)
{
    // Parts are recorded from the last to the first, so that leading parts are the most recently used and are evicted last.
    for (auto part = parts.rbegin(); part != parts.rend(); ++part) {
        const auto known = this->byKey.find(part->key);
        if (known != this->byKey.end()) {
            this->entries.splice(this->entries.begin(), this->entries, known->second);
            continue;
        }
        this->entries.push_front(*part);
        this->byKey[part->key] = this->entries.begin();
        this->usedTokens += part->tokens;
    }
    while (this->usedTokens > this->capacityTokens && !this->entries.empty()) {
        this->usedTokens -= this->entries.back().tokens;
        this->byKey.erase(this->entries.back().key);
        this->entries.pop_back();
    }
}

} // namespace Godwitfork
