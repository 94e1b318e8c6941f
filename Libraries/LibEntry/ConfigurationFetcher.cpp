#include "LibEntry/ConfigurationFetcher.h"

#include "CatalogDecoder.h"
#include "LibCore/Log.h"
#include "LibEntry/CatalogChanges.h"
#include "LibEntry/PeerCalls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// Time for the watch of the store or the relay to return a new configuration before it is fetched from a peer.
constexpr Duration watchGracePeriod = std::chrono::milliseconds(500);
} // namespace

ConfigurationFetcher::ConfigurationFetcher(Asio::io_context &context, HttpClient &client, EntryState &state) : context(context), client(client), state(state)
{
}

void ConfigurationFetcher::fetchIfNewer(const std::string &holder, ConfigurationVersion version)
{
    // The first configuration is read from the store itself, since a peer's version may be older.
    if (!this->state.routes || version <= this->state.routes->configuration().version || version <= this->fetchingVersion) {
        return;
    }
    if (!this->state.newerConfigurationHeardAt) {
        this->state.newerConfigurationHeardAt = monotonicNow();
    }
    const HttpAddress address = parseHttpAddress(holder);
    if (address.host.empty()) {
        return;
    }
    this->fetchingVersion = version;
    Asio::co_spawn(
        this->context, [this, address, version]() -> Asio::awaitable<void> { co_await this->fetch(address, version); }, Asio::detached);
}

Asio::awaitable<void> ConfigurationFetcher::fetch(HttpAddress address, ConfigurationVersion version)
{
    // An overdue copy shows that neither the store nor a hub answers, so their watches deserve no wait.
    if (!isOverdue(this->state.freshness[CatalogKind::Configuration], this->state.catalogLimits(), monotonicNow())) {
        Asio::steady_timer timer(this->context, watchGracePeriod);
        boost::system::error_code ignored;
        co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    if (this->state.routes->configuration().version >= version) {
        co_return;
    }
    const auto response = co_await this->client.call(address, makeRequest("GET", peerConfigurationPath), peerCallOptions());
    if (!response || response.value().status != 200) {
        // Allows another attempt when the next summary reports the version.
        this->fetchingVersion = 0;
        co_return;
    }
    const CatalogChange change = Platform::decodeConfigurationSource(response.value().body);
    if (!change.object) {
        logEvent(LogLevel::Warning, "peer.malformed", {{"peer", toText(address)}, {"message", change.problem}});
        this->fetchingVersion = 0;
        co_return;
    }
    adoptConfiguration(this->state, change, "peer", monotonicNow());
}

} // namespace Godwitfork
