#pragma once

#include "LibEntry/CatalogFollower.h"
#include "LibEntry/EntryState.h"
#include "LibGateway/CatalogHistory.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"
#include "LibHttp/ServerSentEvents.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Godwitfork
{

/// Relays store changes through hubs to the other instances of a fleet, since store calls are rate limited and priced. A hub sends what its
/// own watches return. An instance that loses its hub looks for another one and then watches the store itself.
class CatalogRelay
{
public:
    /// `followers` are the kinds of object that are relayed. `chooseHub` returns the hub to follow, or nothing if the store is to be watched
    /// directly.
    CatalogRelay(boost::asio::io_context &context,
                 HttpClient &client,
                 std::vector<CatalogFollower *> followers,
                 std::function<std::optional<HttpAddress>()> chooseHub,
                 std::function<void(const HttpAddress &)> reportUnresponsiveHub);

    /// Follows hubs until the process ends.
    boost::asio::awaitable<void> run();
    /// Streams store changes to an instance that follows this one.
    boost::asio::awaitable<void> serve(HttpExchange &exchange);

private:
    /// Position of one kind in the stream to a follower.
    struct RelayPosition {
        CatalogFollower *follower = nullptr;
        CatalogPosition sent;
        /// Time of the last store answer that the follower was told of.
        MonotonicTime confirmedAt;
    };

    enum class FrameResult { Accepted, Refused };

    boost::asio::awaitable<void> follow(HttpAddress hub);
    /// Returns the frames with the changes after a position, and advances it.
    std::string pageFrames(RelayPosition &position) const;
    /// Returns a heartbeat if one is due or the store has answered since the last one.
    std::string heartbeatFrame(RelayPosition &position, bool isDue, MonotonicTime now) const;
    /// Waits a short time until this instance can relay; one that has just become a hub reads the store first.
    boost::asio::awaitable<bool> waitUntilRelaying(const std::vector<RelayPosition> &positions);
    std::vector<RelayPosition> requestedPositions(const HttpRequest &request) const;
    /// Applies the frames that the next bytes of a hub's stream complete. Returns false if one is malformed or refused.
    bool applyBytes(ServerSentEventParser &parser, const std::string &bytes);
    FrameResult applyFrame(const RelayFrame &frame);
    bool canRelay(const std::vector<RelayPosition> &positions) const;
    /// Sets the source of all followers after the present hub.
    void setSources(CatalogSource source);

    boost::asio::io_context &context;
    HttpClient &client;
    std::vector<CatalogFollower *> followers;
    std::function<std::optional<HttpAddress>()> chooseHub;
    std::function<void(const HttpAddress &)> reportUnresponsiveHub;
    bool following = false;
};

} // namespace Godwitfork
