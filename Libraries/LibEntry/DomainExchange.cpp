#include "LibEntry/DomainExchange.h"

#include "LibEntry/PeerCalls.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr Duration exchangeInterval = std::chrono::milliseconds(500);
} // namespace

DomainExchange::DomainExchange(Asio::io_context &context,
                               HttpClient &client,
                               const EntrySettings &settings,
                               const PeerReportAggregator &board,
                               HubDirectory &directory)
    : context(context), client(client), settings(settings), board(board), directory(directory), others(maxSummaryAge)
{
}

void DomainExchange::tick(MonotonicTime now)
{
    if (!this->directory.isPrimary(now)) {
        return;
    }
    PeerSummary summary = this->board.summary(now);
    const auto badTrials = std::count_if(summary.trials.begin(), summary.trials.end(), [](const TrialReport &trial) { return trial.isBad; });
    std::size_t crashes = 0;
    for (const PromptPartEvidence &evidence : summary.promptEvidence) {
        crashes += evidence.crashes.size();
    }
    const bool isUrgent = summary.configuration > this->sentConfiguration || badTrials > this->sentBadTrials || crashes > this->sentCrashes;
    if (now < this->nextExchange && !isUrgent) {
        return;
    }
    this->nextExchange = now + exchangeInterval;
    this->sentConfiguration = summary.configuration;
    this->sentBadTrials = badTrials;
    this->sentCrashes = crashes;
    summary.failureDomain = this->settings.failureDomain;
    const std::string body = encodePeerSummary(summary);
    for (const std::string &hub : this->directory.remotePrimaries(now)) {
        const HttpAddress address = parseHttpAddress(hub);
        Asio::co_spawn(
            this->context, [this, address, body]() -> Asio::awaitable<void> { co_await this->send(address, body); }, Asio::detached);
    }
}

Asio::awaitable<void> DomainExchange::send(HttpAddress address, std::string body)
{
    const auto response = co_await this->client.call(address, makeRequest("POST", domainSummaryPath, std::move(body)), peerCallOptions());
    recordPeerAnswer(this->directory, address, response, monotonicNow());
}

void DomainExchange::record(PeerSummary summary, MonotonicTime now)
{
    this->others.record(std::move(summary), now);
}

void DomainExchange::expire(MonotonicTime now)
{
    this->others.expire(now);
}

PeerSummary DomainExchange::total(MonotonicTime now) const
{
    PeerSummary own = this->board.summary(now);
    own.failureDomain = this->settings.failureDomain;
    PeerSummary total = this->others.total(std::move(own), now);
    total.members = this->directory.fleet().sightings(now);
    total.listsAllMembers = true;
    return total;
}

} // namespace Godwitfork
