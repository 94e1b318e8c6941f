#include "LibEntry/CatalogRelay.h"

#include "LibCore/Log.h"

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
constexpr Duration heartbeatInterval = std::chrono::milliseconds(400);
/// Time without data after which a follower leaves its hub.
constexpr Duration heartbeatTimeout = std::chrono::milliseconds(1000);
constexpr Duration openTimeout = std::chrono::milliseconds(500);
/// Time that a new hub has to read the store before it refuses a follower; shorter than `openTimeout`.
constexpr Duration hubStartTime = std::chrono::milliseconds(300);
/// A follower reads larger pages from the store itself: sent to all followers, they would saturate the hub's network link.
constexpr std::size_t maxRelayedPageBytes = std::size_t {256} * 1024;
constexpr Duration retryPause = std::chrono::milliseconds(300);

Asio::awaitable<void> pause(Asio::io_context &context, Duration duration)
{
    Asio::steady_timer timer(context, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

/// Stands between the revision and the era of a position.
constexpr char eraSeparator = '-';

/// Writes the revision, and the era if it is known.
std::string positionText(const CatalogPosition &position)
{
    const std::string revision = std::to_string(position.revision);
    return position.era ? revision + eraSeparator + std::to_string(*position.era) : revision;
}

CatalogPosition parsePosition(const std::string &text)
{
    CatalogPosition position;
    char *end = nullptr;
    position.revision = std::strtoull(text.c_str(), &end, 10);
    if (*end == eraSeparator) {
        position.era = std::strtoull(end + 1, nullptr, 10);
    }
    return position;
}

std::string relayTarget(const std::vector<CatalogFollower *> &followers)
{
    std::string text = relayPath;
    char separator = '?';
    for (const CatalogFollower *follower : followers) {
        text += separator + std::string(catalogKindName(follower->objectKind())) + "=" + positionText(*follower->currentPosition());
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

void CatalogRelay::setSources(CatalogSource source)
{
    this->following = source == CatalogSource::Hub;
    for (CatalogFollower *follower : this->followers) {
        follower->setSource(source);
    }
}

Asio::awaitable<void> CatalogRelay::run()
{
    while (true) {
        const bool isListed = std::all_of(
            this->followers.begin(), this->followers.end(), [](const CatalogFollower *follower) { return follower->currentPosition().has_value(); });
        const auto hub = isListed ? this->chooseHub() : std::nullopt;
        if (hub) {
            co_await this->follow(*hub);
        }
        if (!this->chooseHub()) {
            this->setSources(CatalogSource::Store);
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
    logEvent(LogLevel::Info, "relay.followed", {{"hub", toText(hub)}});
    this->setSources(CatalogSource::Hub);
    ServerSentEventParser parser;
    bool isValid = true;
    // Another hub that becomes usable is no reason to switch.
    while (isValid && this->chooseHub()) {
        const auto bytes = co_await stream.value()->readSome();
        isValid = bytes && !bytes.value().empty() && this->applyBytes(parser, bytes.value());
    }
    if (!isValid) {
        this->reportUnresponsiveHub(hub);
        logEvent(LogLevel::Info, "relay.lost", {{"hub", toText(hub)}});
    }
    this->setSources(CatalogSource::NextHub);
}

bool CatalogRelay::applyBytes(ServerSentEventParser &parser, const std::string &bytes)
{
    const auto events = parser.feed(bytes);
    return events && std::all_of(events.value().begin(), events.value().end(), [this](const ServerSentEvent &event) {
               const auto frame = decodeRelayFrame(event.data);
               return frame && this->applyFrame(*frame) == FrameResult::Accepted;
           });
}

CatalogRelay::FrameResult CatalogRelay::applyFrame(const RelayFrame &frame)
{
    for (CatalogFollower *follower : this->followers) {
        if (follower->objectKind() != frame.kind) {
            continue;
        }
        follower->recordHubEra(frame.era);
        switch (frame.type) {
        case RelayFrame::Type::Alive:
            follower->confirm({frame.era, frame.revision}, monotonicNow() - frame.storeAnswerAge);
            return FrameResult::Accepted;
        case RelayFrame::Type::Withheld:
            logEvent(LogLevel::Info, "relay.withheld", {{"kind", catalogKindName(frame.kind)}});
            follower->readNextFromStore();
            return FrameResult::Accepted;
        case RelayFrame::Type::Page:
            return follower->applyRelayed(frame.page, frame.era) ? FrameResult::Accepted : FrameResult::Refused;
        }
    }
    return FrameResult::Refused;
}

// Only changes read from the store itself are relayed, so that no change passes through a chain of hubs.
bool CatalogRelay::canRelay(const std::vector<RelayPosition> &positions) const
{
    const MonotonicTime now = monotonicNow();
    return !this->following
        && std::all_of(positions.begin(), positions.end(), [now](const RelayPosition &position) { return position.follower->hasRecentStoreAnswer(now); });
}

Asio::awaitable<bool> CatalogRelay::waitUntilRelaying(const std::vector<RelayPosition> &positions)
{
    const MonotonicTime limit = monotonicNow() + hubStartTime;
    while (!this->canRelay(positions) && monotonicNow() < limit) {
        co_await pause(this->context, relayInterval);
    }
    co_return this->canRelay(positions);
}

std::vector<CatalogRelay::RelayPosition> CatalogRelay::requestedPositions(const HttpRequest &request) const
{
    std::vector<RelayPosition> positions;
    for (CatalogFollower *follower : this->followers) {
        const std::string position = queryValue(request.target, catalogKindName(follower->objectKind()));
        if (!position.empty()) {
            positions.push_back({follower, parsePosition(position), MonotonicTime()});
        }
    }
    return positions;
}

std::string CatalogRelay::pageFrames(RelayPosition &position) const
{
    const CatalogFollower &follower = *position.follower;
    const CatalogPosition current = *follower.currentPosition();
    if (position.sent.era != current.era) {
        // The heartbeat names the newer era, and the follower lists the store. A follower of a newer era waits for this instance.
        position.sent = std::max(position.sent, current);
        return {};
    }
    if (position.sent.revision >= current.revision) {
        return {};
    }
    const auto pages = follower.history().since(position.sent.revision);
    std::string output;
    // This instance's own history may have a gap, since it applied the changes that it received from a hub without keeping them.
    if (!pages || pages->empty()) {
        output = formatServerSentEvent(encodeRelayFrame({RelayFrame::Type::Withheld, follower.objectKind(), {}}));
        position.sent = current;
        return output;
    }
    for (const HistoryPage &page : *pages) {
        const bool isTooLarge = page.body.size() > maxRelayedPageBytes;
        RelayFrame frame {isTooLarge ? RelayFrame::Type::Withheld : RelayFrame::Type::Page, follower.objectKind(), {}};
        if (!isTooLarge) {
            frame.page = page;
            frame.era = current.era;
        }
        output += formatServerSentEvent(encodeRelayFrame(frame));
        position.sent.revision = page.to;
    }
    return output;
}

std::string CatalogRelay::heartbeatFrame(RelayPosition &position, bool isDue, MonotonicTime now) const
{
    const MonotonicTime answeredAt = position.follower->lastStoreAnswerTime();
    if (!isDue && answeredAt == position.confirmedAt) {
        return {};
    }
    position.confirmedAt = answeredAt;
    RelayFrame frame;
    frame.kind = position.follower->objectKind();
    // The store's answer was given at this instance's position, which a follower may be ahead of.
    frame.era = position.follower->currentPosition()->era;
    frame.revision = position.follower->currentPosition()->revision;
    frame.storeAnswerAge = now - answeredAt;
    return formatServerSentEvent(encodeRelayFrame(frame));
}

Asio::awaitable<void> CatalogRelay::serve(HttpExchange &exchange)
{
    std::vector<RelayPosition> positions = this->requestedPositions(exchange.request());
    const bool isRelaying = co_await this->waitUntilRelaying(positions);
    if (!isRelaying) {
        HttpResponse response;
        response.status = 503;
        co_await exchange.respond(std::move(response));
        co_return;
    }
    HttpHeaders headers;
    headers.push_back({"Content-Type", "text/event-stream"});
    bool isOpen = co_await exchange.startStream(200, std::move(headers));
    MonotonicTime nextHeartbeat = monotonicNow();
    while (isOpen && this->canRelay(positions)) {
        const MonotonicTime now = monotonicNow();
        const bool isHeartbeatDue = now >= nextHeartbeat;
        std::string output;
        for (RelayPosition &position : positions) {
            output += this->pageFrames(position);
            output += this->heartbeatFrame(position, isHeartbeatDue, now);
        }
        if (isHeartbeatDue) {
            nextHeartbeat = now + heartbeatInterval;
        }
        if (!output.empty()) {
            isOpen = co_await exchange.writeChunk(std::move(output));
        }
        co_await pause(this->context, relayInterval);
    }
    exchange.abort();
}

} // namespace Godwitfork
