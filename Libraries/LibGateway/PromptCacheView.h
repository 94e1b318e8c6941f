#pragma once

#include "LibGateway/GatewayRequest.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace Godwitfork
{

/// Key of each leading run of prompt parts, for one model.
std::vector<std::uint64_t> promptChain(const std::string &model, const std::vector<PromptPart> &parts);

/// Prompt parts that one engine probably keeps, least recently used first out. A view from outside: the engine may have
/// dropped some and learned others.
class PromptCacheView
{
public:
    explicit PromptCacheView(std::int64_t capacityTokens);

    /// Tokens of the prompt that need not be read again.
    std::int64_t cachedTokens(const std::vector<std::uint64_t> &chain, const std::vector<PromptPart> &parts) const;
    void record(const std::vector<std::uint64_t> &chain, const std::vector<PromptPart> &parts);

private:
    struct Entry {
        std::uint64_t key = 0;
        std::int64_t tokens = 0;
    };

    std::int64_t capacityTokens;
    std::int64_t usedTokens = 0;
    /// Most recently used first.
    std::list<Entry> entries;
    std::unordered_map<std::uint64_t, std::list<Entry>::iterator> byKey;
};

} // namespace Godwitfork
