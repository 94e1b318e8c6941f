#pragma once

#include "LibEntry/CatalogFollower.h"
#include "LibEntry/EntryState.h"
#include "LibGateway/CatalogHistory.h"
#include "LibHttp/HttpClient.h"
#include "LibHttp/HttpServer.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Godwitfork
{

/// Relays store changes through two hubs to the other instances of a fleet, since store calls are rate limited and priced. A hub
/// sends what its own watches return. An instance that loses its hub looks for another one and then watches the store itself.
class CatalogRelay
{
public:
    /// `chooseHub` returns the hub to follow, or nothing if the store is to be watched directly.
    CatalogRelay(boost::asio::io_context &context,
                 HttpClient &client,
                 std::vector<CatalogFollower *> followers,
                 std::function<std::optional<HttpAddress>()> chooseHub,
                 std::function<void(const HttpAddress &)> reportUnresponsiveHub);

    /// Follows hubs until the process ends.
    boost::asio::awaitable<void> run();
    bool isFollowing() const;
    /// Streams store changes to an instance that follows this one.
    boost::asio::awaitable<void> serve(HttpExchange &exchange);

private:
    enum class FrameResult { Accepted, Refused };

    boost::asio::awaitable<void> follow(HttpAddress hub);
    boost::asio::awaitable<bool> sendPages(HttpExchange &exchange, std::vector<CatalogRevision> &positions);
    FrameResult applyFrame(const RelayFrame &frame);
    bool canRelay() const;
    void setRelayed(bool relayed);

    boost::asio::io_context &context;
    HttpClient &client;
    std::vector<CatalogFollower *> followers;
    std::function<std::optional<HttpAddress>()> chooseHub;
    std::function<void(const HttpAddress &)> reportUnresponsiveHub;
    bool following = false;
};

} // namespace Godwitfork
