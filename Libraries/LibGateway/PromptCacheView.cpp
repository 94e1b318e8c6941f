#include "LibGateway/PromptCacheView.h"

#include "LibCore/Digest.h"

namespace Godwitfork
{

std::vector<std::uint64_t> promptChain(const std::string &model, const std::vector<PromptPart> &parts)
{
    std::vector<std::uint64_t> chain;
    std::uint64_t key = hash64(model);
    for (const PromptPart &part : parts) {
        key = hash64(part.id, key);
        chain.push_back(key);
    }
    return chain;
}

std::vector<CachedPart> cachedParts(const std::vector<std::uint64_t> &chain, const std::vector<PromptPart> &parts)
{
    std::vector<CachedPart> result;
    for (std::size_t i = 0; i < chain.size(); ++i) {
        result.push_back({chain[i], parts[i].tokens});
    }
    return result;
}

PromptCacheView::PromptCacheView(std::int64_t capacityTokens) : capacityTokens(capacityTokens)
{
}

std::int64_t PromptCacheView::cachedTokens(const std::vector<std::uint64_t> &chain, const std::vector<PromptPart> &parts) const
{
    std::int64_t tokens = 0;
    for (std::size_t i = 0; i < chain.size(); ++i) {
        if (!this->byKey.contains(chain[i])) {
            break;
        }
        tokens += parts[i].tokens;
    }
    return tokens;
}

void PromptCacheView::record(const std::vector<CachedPart> &parts)
{
    // From the last part to the first, so that leading parts are used more recently and drop out last.
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
