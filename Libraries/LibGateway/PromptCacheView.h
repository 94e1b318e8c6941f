#pragma once

#include "LibGateway/GatewayRequest.h"
#include "LibGateway/PeerReport.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace Godwitfork
{

/// Returns the key of each prefix of a prompt for one model: element i is a hash of the model and the parts 0 to i.
std::vector<std::uint64_t> promptPrefixKeys(const std::string &model, const std::vector<PromptPart> &parts);
/// Returns the prefixes that an engine has cached after it read the prompt.
std::vector<CachedPart> cachedParts(const std::vector<std::uint64_t> &prefixKeys, const std::vector<PromptPart> &parts);

/// Estimate of the prompt cache of one engine: a cache of prompt parts with least-recently-used eviction. The engine's actual cache may
/// differ, since the engine evicts by its own rules and also serves other instances.
class PromptCacheView
{
public:
    /// Creates an empty cache of `capacityTokens` tokens.
    explicit PromptCacheView(std::int64_t capacityTokens);

    /// Returns the number of leading tokens of the prompt that are cached.
    std::int64_t cachedTokens(const std::vector<std::uint64_t> &prefixKeys, const std::vector<PromptPart> &parts) const;
    /// Records the parts of one prompt, in their order, as most recently used, and evicts the least recently used ones beyond the capacity.
    void record(const std::vector<CachedPart> &parts);

private:
    std::int64_t capacityTokens;
    std::int64_t usedTokens = 0;
    /// Cached parts, most recently used first.
    std::list<CachedPart> entries;
    std::unordered_map<std::uint64_t, std::list<CachedPart>::iterator> byKey;
};

} // namespace Godwitfork
