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
/// Interval at which a hub sends new changes to its followers.
constexpr Duration relayInterval = std::chrono::milliseconds(50);
constexpr Duration heartbeatInterval = std::chrono::milliseconds(600);
/// Time without data after which a follower leaves its hub.
constexpr Duration heartbeatTimeout = std::chrono::milliseconds(1300);
constexpr Duration openTimeout = std::chrono::milliseconds(500);
constexpr Duration retryPause = std::chrono::milliseconds(300);
/// Largest age of the last store answer at which a hub still relays changes.
constexpr Duration maxStoreAnswerAge = std::chrono::milliseconds(3500);

Asio::awaitable<void> pause(Asio::io_context &context, Duration duration)
{
    Asio::steady_timer timer(context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

std::string relayTarget(const std::vector<CatalogFollower *> &followers)
{
    std::string text = relayPath;
    char separator = '?';
    for (const CatalogFollower *follower : followers) {
        text += separator + std::string(catalogKindName(follower->objectKind())) + "=" + std::to_string(*follower->currentRevision());
        separator = '&';
    }
    return text;
}
} // namespace

CatalogRelay::CatalogRelay(Asio::io_context &context,
                           HttpClient &client,
                           std::vector<CatalogFollower *> followers,
                           std::function<std::optional<HttpAddress>()> chooseHub,
                           std::function<void(const HttpAddress &)> reportUnresponsiveHub)
    : context(context)
    , client(client)
    , followers(std::move(followers))
    , chooseHub(std::move(chooseHub))
    , reportUnresponsiveHub(std::move(reportUnresponsiveHub))
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
        const bool isListed = std::all_of(
            this->followers.begin(), this->followers.end(), [](const CatalogFollower *follower) { return follower->currentRevision().has_value(); });
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
    options.idleTimeout = heartbeatTimeout;
    options.tcpUserTimeout = heartbeatTimeout;
    auto stream = co_await this->client.open(hub, makeRequest("GET", relayTarget(this->followers)), options);
    if (!stream || stream.value()->status() != 200) {
        this->reportUnresponsiveHub(hub);
        co_return;
    }
    this->setRelayed(true);
    ServerSentEventParser parser;
    bool isValid = true;
    // Follows this hub until it fails or no hub is to be followed. Another hub that becomes usable is no reason to switch.
    while (isValid && this->chooseHub()) {
        const auto bytes = co_await stream.value()->readSome();
        if (!bytes || bytes.value().empty()) {
            break;
        }
        const auto events = parser.feed(bytes.value());
        isValid = events.has_value();
        if (!isValid) {
            break;
        }
        for (const ServerSentEvent &event : events.value()) {
            const auto frame = decodeRelayFrame(event.data);
            isValid = isValid && frame && this->applyFrame(*frame) == FrameResult::Accepted;
        }
    }
    this->setRelayed(false);
    this->reportUnresponsiveHub(hub);
    logEvent(LogLevel::Info, "relay.lost", {{"hub", toText(hub)}});
}

CatalogRelay::FrameResult CatalogRelay::applyFrame(const RelayFrame &frame)
{
    if (frame.type == RelayFrame::Type::Alive) {
        return FrameResult::Accepted;
    }
    for (CatalogFollower *follower : this->followers) {
        if (follower->objectKind() != frame.kind) {
            continue;
        }
        if (frame.type == RelayFrame::Type::Page && follower->applyRelayed(frame.page)) {
            return FrameResult::Accepted;
        }
        return FrameResult::Refused;
    }
    return FrameResult::Refused;
}

// Only changes read from the store itself are relayed, so that no change passes through a chain of hubs.
bool CatalogRelay::canRelay() const
{
    const MonotonicTime now = monotonicNow();
    return !this->following && std::all_of(this->followers.begin(), this->followers.end(), [now](const CatalogFollower *follower) {
        return follower->currentRevision() && now - follower->lastStoreAnswerTime() < maxStoreAnswerAge;
    });
}

Asio::awaitable<bool> CatalogRelay::sendPages(HttpExchange &exchange, std::vector<CatalogRevision> &positions)
{
    std::string output;
    for (std::size_t i = 0; i < this->followers.size(); ++i) {
        const auto pages = this->followers[i]->history().since(positions[i]);
        if (!pages) {
            // The history has no pages from this revision: either nothing changed since this hub's own list, or the follower is too far behind.
            if (positions[i] >= this->followers[i]->lastListRevision()) {
                continue;
            }
            co_return false;
        }
        for (const HistoryPage &page : *pages) {
            output += formatServerSentEvent(encodeRelayFrame({RelayFrame::Type::Page, this->followers[i]->objectKind(), page}));
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
    if (!this->canRelay()) {
        HttpResponse response;
        response.status = 503;
        co_await exchange.respond(std::move(response));
        co_return;
    }
    std::vector<CatalogRevision> positions;
    for (const CatalogFollower *follower : this->followers) {
        positions.push_back(std::strtoull(queryValue(exchange.request().target, catalogKindName(follower->objectKind())).c_str(), nullptr, 10));
    }
    HttpHeaders headers;
    headers.push_back({"Content-Type", "text/event-stream"});
    bool isOpen = co_await exchange.startStream(200, std::move(headers));
    const std::string heartbeat = formatServerSentEvent(encodeRelayFrame(RelayFrame()));
    MonotonicTime nextHeartbeat = monotonicNow();
    while (isOpen && this->canRelay()) {
        isOpen = co_await this->sendPages(exchange, positions);
        const MonotonicTime now = monotonicNow();
        if (isOpen && now >= nextHeartbeat) {
            nextHeartbeat = now + heartbeatInterval;
            isOpen = co_await exchange.writeChunk(heartbeat);
        }
        co_await pause(this->context, relayInterval);
    }
    exchange.abort();
}

} // namespace Godwitfork
