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

/// Key of each leading run of prompt parts, for one model.
std::vector<std::uint64_t> promptChain(const std::string &model, const std::vector<PromptPart> &parts);
/// What an engine keeps after it read the prompt.
std::vector<CachedPart> cachedParts(const std::vector<std::uint64_t> &chain, const std::vector<PromptPart> &parts);

/// Prompt parts that one engine probably keeps, least recently used first out. A view from outside: the engine may have
/// dropped some and learned others.
class PromptCacheView
{
public:
    explicit PromptCacheView(std::int64_t capacityTokens);

    /// Tokens of the prompt that need not be read again.
    std::int64_t cachedTokens(const std::vector<std::uint64_t> &chain, const std::vector<PromptPart> &parts) const;
    /// Adds what the engine read for one prompt, leading parts first.
    void record(const std::vector<CachedPart> &parts);

private:
    std::int64_t capacityTokens;
    std::int64_t usedTokens = 0;
    /// Most recently used first.
    std::list<CachedPart> entries;
    std::unordered_map<std::uint64_t, std::list<CachedPart>::iterator> byKey;
};

} // namespace Godwitfork
