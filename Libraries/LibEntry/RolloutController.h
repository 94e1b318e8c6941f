#pragma once

#include "CatalogClient.h"
#include "LibEntry/EntryMetrics.h"
#include "LibEntry/EntryState.h"
#include "LibEntry/PeerExchange.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <set>
#include <string>

namespace Godwitfork
{

/// Advances the roll-outs of all services: evaluates their trials, logs what they are decided on, and writes their states to the store.
class RolloutController
{
public:
    RolloutController(boost::asio::io_context &context, EntryState &state, EntryMetrics &metrics, Platform::CatalogClient &catalog, const PeerExchange &peers);

    /// Call on each timer tick.
    void tick(MonotonicTime now);

private:
    void recordLoads(MonotonicTime now);
    void logEvidence(const std::string &service, const FollowedRollout &rollout, MonotonicTime now);
    void logAcceptance(const std::string &service, const FollowedRollout &rollout, MonotonicTime now);
    void writeDueState(MonotonicTime now);
    boost::asio::awaitable<void> writeRollout(RolloutOrder order, RolloutState next);

    boost::asio::io_context &context;
    EntryState &state;
    EntryMetrics &metrics;
    Platform::CatalogClient &catalog;
    const PeerExchange &peers;
    /// Time of the next evidence line of each service with a running roll-out.
    std::map<std::string, MonotonicTime> nextEvidence;
    /// Services and target versions whose acceptance was logged.
    std::set<std::pair<std::string, std::string>> loggedAcceptances;
    /// Whether a write of a roll-out's state to the store is in progress.
    bool isWriting = false;
};

} // namespace Godwitfork
