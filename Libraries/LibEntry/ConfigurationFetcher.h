#pragma once

#include "LibEntry/EntryState.h"
#include "LibHttp/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <string>

namespace Godwitfork
{

/// Fetches a configuration from another instance if this one learns of a newer version and neither the store nor a relay delivers it in time.
class ConfigurationFetcher
{
public:
    ConfigurationFetcher(boost::asio::io_context &context, HttpClient &client, EntryState &state);

    /// Fetches the version from the instance with the given peer address, unless it is in force or being fetched. Unless the own copy is
    /// overdue, the watches get some time to return it first.
    void fetchIfNewer(const std::string &holder, ConfigurationVersion version);

private:
    boost::asio::awaitable<void> fetch(HttpAddress address, ConfigurationVersion version);

    boost::asio::io_context &context;
    HttpClient &client;
    EntryState &state;
    ConfigurationVersion fetchingVersion = 0;
};

/// Path at which an instance serves its configuration to the others.
inline constexpr const char *peerConfigurationPath = "/configuration";

} // namespace Godwitfork
