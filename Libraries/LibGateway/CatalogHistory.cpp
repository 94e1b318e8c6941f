#include "LibGateway/CatalogHistory.h"

#include "LibCore/Utf8.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Replaces bytes of a page that a frame cannot hold. No JSON text may contain it, so the object around it stays unreadable.
constexpr char unreadableByte = '\x01';
/// In milliseconds.
constexpr std::int64_t maxStoreAnswerAge = std::int64_t {1000} * 3600 * 24;
} // namespace

CatalogHistory::CatalogHistory(std::size_t maxPages, std::size_t maxBytes) : maxPages(maxPages), maxBytes(maxBytes)
{
}

void CatalogHistory::add(HistoryPage page)
{
    if (!this->pages.empty() && page.from != this->pages.back().to) {
        this->clear();
    }
    this->usedBytes += page.body.size();
    this->pages.push_back(std::move(page));
    while (this->pages.size() > 1 && (this->pages.size() > this->maxPages || this->usedBytes > this->maxBytes)) {
        this->usedBytes -= this->pages.front().body.size();
        this->pages.pop_front();
    }
}

std::optional<std::vector<HistoryPage>> CatalogHistory::since(CatalogRevision revision) const
{
    if (this->pages.empty() || revision < this->pages.front().from) {
        return std::nullopt;
    }
    std::vector<HistoryPage> result;
    std::copy_if(this->pages.begin(), this->pages.end(), std::back_inserter(result), [revision](const HistoryPage &page) { return page.to > revision; });
    return result;
}

void CatalogHistory::clear()
{
    this->pages.clear();
    this->usedBytes = 0;
}

std::string encodeRelayFrame(const RelayFrame &frame)
{
    nlohmann::json json = nlohmann::json::array({static_cast<int>(frame.type), static_cast<int>(frame.kind)});
    if (frame.type == RelayFrame::Type::Alive) {
        json.push_back(frame.revision);
        json.push_back(toMilliseconds(frame.storeAnswerAge));
    }
    if (frame.type == RelayFrame::Type::Page) {
        json.push_back(frame.page.from);
        json.push_back(frame.page.to);
        json.push_back(replaceInvalidUtf8(frame.page.body, unreadableByte));
    }
    if (frame.era) {
        json.push_back(*frame.era);
    }
    return json.dump();
}

std::optional<RelayFrame> decodeRelayFrame(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    try {
        RelayFrame frame;
        // The era is the last item, which a frame without one lacks.
        std::size_t eraIndex = 2;
        const int type = json.at(0).get<int>();
        const int kind = json.at(1).get<int>();
        if (type < static_cast<int>(RelayFrame::Type::Alive) || type > static_cast<int>(RelayFrame::Type::Withheld)
            || kind < static_cast<int>(CatalogKind::Configuration) || kind > static_cast<int>(CatalogKind::Evacuations)) {
            return std::nullopt;
        }
        frame.type = static_cast<RelayFrame::Type>(type);
        frame.kind = static_cast<CatalogKind>(kind);
        if (frame.type == RelayFrame::Type::Alive) {
            frame.revision = json.at(2).get<CatalogRevision>();
            const auto age = json.at(3).get<std::int64_t>();
            if (age < 0 || age > maxStoreAnswerAge) {
                return std::nullopt;
            }
            frame.storeAnswerAge = std::chrono::milliseconds(age);
            eraIndex = 4;
        }
        if (frame.type == RelayFrame::Type::Page) {
            frame.page = {json.at(2).get<CatalogRevision>(), json.at(3).get<CatalogRevision>(), json.at(4).get<std::string>()};
            eraIndex = 5;
        }
        if (json.size() > eraIndex) {
            if (!json.at(eraIndex).is_number_unsigned()) {
                return std::nullopt;
            }
            frame.era = json.at(eraIndex).get<StoreEra>();
        }
        return frame;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace Godwitfork
