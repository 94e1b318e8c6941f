#include "LibEntry/CatalogRelay.h"

#include "LibCore/Log.h"
#include "LibHttp/ServerSentEvents.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr const char *relayPath = "/catalog";
/// How soon a change goes on to the following instances.
constexpr Duration relayInterval = std::chrono::milliseconds(50);
constexpr Duration aliveInterval = std::chrono::milliseconds(600);
/// A hub that sends nothing for this long is not followed any more.
constexpr Duration silenceLimit = std::chrono::milliseconds(1300);
constexpr Duration openTimeout = std::chrono::milliseconds(500);
constexpr Duration retryPause = std::chrono::milliseconds(300);
/// A hub whose own watches are older does not claim to know the store.
constexpr Duration freshness = std::chrono::milliseconds(3500);

Asio::awaitable<void> pause(Asio::io_context &context, Duration duration)
{
    Asio::steady_timer timer(context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

std::string target(const std::vector<CatalogFollower *> &followers)
{
    std::string text = relayPath;
    char separator = '?';
    for (const CatalogFollower *follower : followers) {
        text += separator + std::string(catalogKindName(follower->kindOfObjects())) + "=" + std::to_string(*follower->position());
        separator = '&';
    }
    return text;
}
} // namespace

CatalogRelay::CatalogRelay(Asio::io_context &context,
                           HttpClient &client,
                           std::vector<CatalogFollower *> followers,
                           std::function<std::optional<HttpAddress>()> chooseHub,
                           std::function<void(const HttpAddress &)> reportSilentHub)
    : context(context), client(client), followers(std::move(followers)), chooseHub(std::move(chooseHub)), reportSilentHub(std::move(reportSilentHub))
{
}

void CatalogRelay::setRelayed(bool relayed)
{
    this->following = relayed;
    for (CatalogFollower *follower : this->followers) {
        follower->setRelayed(relayed);
    }
}

bool CatalogRelay::isFollowing() const
{
    return this->following;
}

Asio::awaitable<void> CatalogRelay::run()
{
    while (true) {
        const bool isListed =
            std::all_of(this->followers.begin(), this->followers.end(), [](const CatalogFollower *follower) { return follower->position().has_value(); });
        const auto hub = isListed ? this->chooseHub() : std::nullopt;
        if (hub) {
            co_await this->follow(*hub);
        }
        co_await pause(this->context, retryPause);
    }
}

Asio::awaitable<void> CatalogRelay::follow(HttpAddress hub)
{
    HttpCallOptions options;
    options.connectTimeout = openTimeout;
    options.responseTimeout = openTimeout;
    options.idleTimeout = silenceLimit;
    options.tcpUserTimeout = silenceLimit;
    auto stream = co_await this->client.open(hub, makeRequest("GET", target(this->followers)), options);
    if (!stream || stream.value()->status() != 200) {
        this->reportSilentHub(hub);
        co_return;
    }
    this->setRelayed(true);
    ServerSentEventParser parser;
    bool isSound = true;
    // Another hub that becomes usable is no reason to leave this one.
    while (isSound && this->chooseHub()) {
        const auto bytes = co_await stream.value()->readSome();
        if (!bytes || bytes.value().empty()) {
            break;
        }
        const auto events = parser.feed(bytes.value());
        isSound = events.has_value();
        if (!isSound) {
            break;
        }
        for (const ServerSentEvent &event : events.value()) {
            const auto frame = decodeRelayFrame(event.data);
            isSound = isSound && frame && this->takeFrame(*frame) == FrameResult::Taken;
        }
    }
    this->setRelayed(false);
    this->reportSilentHub(hub);
    logEvent(LogLevel::Info, "relay.lost", {{"hub", toText(hub)}});
}

CatalogRelay::FrameResult CatalogRelay::takeFrame(const RelayFrame &frame)
{
    if (frame.type == RelayFrame::Type::Alive) {
        return FrameResult::Taken;
    }
    for (CatalogFollower *follower : this->followers) {
        if (follower->kindOfObjects() != frame.kind) {
            continue;
        }
        if (frame.type == RelayFrame::Type::Page && follower->applyRelayed(frame.page)) {
            return FrameResult::Taken;
        }
        return FrameResult::Refused;
    }
    return FrameResult::Refused;
}

// Only what this instance reads from the store itself is passed on, so that no news goes through a chain of hubs.
bool CatalogRelay::isFirstHand() const
{
    const MonotonicTime now = monotonicNow();
    return !this->following && std::all_of(this->followers.begin(), this->followers.end(), [now](const CatalogFollower *follower) {
        return follower->position() && now - follower->lastConfirmed() < freshness;
    });
}

Asio::awaitable<bool> CatalogRelay::sendPages(HttpExchange &exchange, std::vector<CatalogRevision> &positions)
{
    std::string output;
    for (std::size_t i = 0; i < this->followers.size(); ++i) {
        const auto pages = this->followers[i]->history().since(positions[i]);
        if (!pages) {
            // Nothing changed since this instance's own list, or the asking instance is too far behind.
            if (positions[i] >= this->followers[i]->listedAt()) {
                continue;
            }
            co_return false;
        }
        for (const HistoryPage &page : *pages) {
            output += formatServerSentEvent(encodeRelayFrame({RelayFrame::Type::Page, this->followers[i]->kindOfObjects(), page}));
            positions[i] = page.to;
        }
    }
    if (output.empty()) {
        co_return true;
    }
    co_return co_await exchange.writeChunk(std::move(output));
}

Asio::awaitable<void> CatalogRelay::serve(HttpExchange &exchange)
{
    if (!this->isFirstHand()) {
        HttpResponse response;
        response.status = 503;
        co_await exchange.respond(std::move(response));
        co_return;
    }
    std::vector<CatalogRevision> positions;
    for (const CatalogFollower *follower : this->followers) {
        positions.push_back(std::strtoull(queryValue(exchange.request().target, catalogKindName(follower->kindOfObjects())).c_str(), nullptr, 10));
    }
    HttpHeaders headers;
    headers.push_back({"Content-Type", "text/event-stream"});
    bool isOpen = co_await exchange.startStream(200, std::move(headers));
    const std::string alive = formatServerSentEvent(encodeRelayFrame(RelayFrame()));
    MonotonicTime nextAlive = monotonicNow();
    while (isOpen && this->isFirstHand()) {
        isOpen = co_await this->sendPages(exchange, positions);
        const MonotonicTime now = monotonicNow();
        if (isOpen && now >= nextAlive) {
            nextAlive = now + aliveInterval;
            isOpen = co_await exchange.writeChunk(alive);
        }
        co_await pause(this->context, relayInterval);
    }
    exchange.abort();
}

} // namespace Godwitfork
