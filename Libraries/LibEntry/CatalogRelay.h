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

/// Lets most instances of a fleet follow the store through two hubs, since each call to the store is limited and priced. A hub
/// passes on what its own watches return; an instance that loses its hub watches the store itself at once.
class CatalogRelay
{
public:
    /// `chooseHub` names the hub to follow now; empty to watch the store directly.
    CatalogRelay(boost::asio::io_context &context,
                 HttpClient &client,
                 std::vector<CatalogFollower *> followers,
                 std::function<std::optional<HttpAddress>()> chooseHub,
                 std::function<void(const HttpAddress &)> reportSilentHub);

    /// Follows hubs until the process ends.
    boost::asio::awaitable<void> run();
    bool isFollowing() const;
    /// Serves an instance that follows this one.
    boost::asio::awaitable<void> serve(HttpExchange &exchange);

private:
    enum class FrameResult { Taken, Refused };

    boost::asio::awaitable<void> follow(HttpAddress hub);
    boost::asio::awaitable<bool> sendPages(HttpExchange &exchange, std::vector<CatalogRevision> &positions);
    FrameResult takeFrame(const RelayFrame &frame);
    bool isFirstHand() const;
    void setRelayed(bool relayed);

    boost::asio::io_context &context;
    HttpClient &client;
    std::vector<CatalogFollower *> followers;
    std::function<std::optional<HttpAddress>()> chooseHub;
    std::function<void(const HttpAddress &)> reportSilentHub;
    bool following = false;
};

} // namespace Godwitfork
