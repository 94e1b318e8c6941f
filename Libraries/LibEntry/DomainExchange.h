#pragma once

#include "LibEntry/EntrySettings.h"
#include "LibGateway/DomainSummaries.h"
#include "LibGateway/HubDirectory.h"
#include "LibGateway/PeerReportAggregator.h"
#include "LibHttp/HttpClient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <string>

namespace Godwitfork
{

/// Exchanges the sums of failure domains between their primary hubs.
class DomainExchange
{
public:
    /// `board` holds the reports of this instance's failure domain.
    DomainExchange(boost::asio::io_context &context,
                   HttpClient &client,
                   const EntrySettings &settings,
                   const PeerReportAggregator &board,
                   HubDirectory &directory);

    /// Sends the sum of this failure domain's reports to the other ones if this instance is the primary hub and it is due. A new configuration
    /// or a bad version is sent at once.
    void tick(MonotonicTime now);
    /// Replaces the last sum of another failure domain.
    void record(PeerSummary summary, MonotonicTime now);
    /// Returns the sum over all failure domains, with all members.
    PeerSummary total(MonotonicTime now) const;
    void expire(MonotonicTime now);

private:
    boost::asio::awaitable<void> send(HttpAddress address, std::string body);

    boost::asio::io_context &context;
    HttpClient &client;
    const EntrySettings &settings;
    const PeerReportAggregator &board;
    HubDirectory &directory;
    DomainSummaries others;
    MonotonicTime nextExchange;
    /// Newest configuration and number of bad trials in the last sum sent.
    ConfigurationVersion sentConfiguration = 0;
    std::ptrdiff_t sentBadTrials = 0;
    std::size_t sentCrashes = 0;
};

/// Path at which a hub receives the sums of other failure domains.
inline constexpr const char *domainSummaryPath = "/domain";

/// Age at which a summary is stale and its load is no longer counted.
inline constexpr Duration maxSummaryAge = std::chrono::milliseconds(2500);

} // namespace Godwitfork
