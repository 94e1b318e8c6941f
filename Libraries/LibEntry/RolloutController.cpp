#include "LibEntry/RolloutController.h"

#include "LibCore/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// Pause after a failed write of a roll-out's state.
constexpr Duration writePause = std::chrono::milliseconds(400);
constexpr Duration evidenceLogInterval = std::chrono::seconds(1);
/// Longest list of routes in an evidence line; those with the most answers of the candidate are listed.
constexpr std::size_t maxLoggedRoutes = 6;

bool isRunning(const FollowedRollout &rollout)
{
    return rollout.order.state == RolloutState::Ordered || rollout.order.state == RolloutState::InProgress;
}

nlohmann::ordered_json routeEvidence(const TrialObservations &observations)
{
    std::vector<std::pair<std::string, AnswerCounts>> routes(observations.candidateByRoute.begin(), observations.candidateByRoute.end());
    std::stable_sort(routes.begin(), routes.end(), [](const auto &left, const auto &right) { return left.second.answers > right.second.answers; });
    routes.resize(std::min(routes.size(), maxLoggedRoutes));
    nlohmann::ordered_json list = nlohmann::ordered_json::array();
    for (const auto &[route, counts] : routes) {
        const auto known = observations.stableByRoute.find(route);
        const AnswerCounts stable = known == observations.stableByRoute.end() ? AnswerCounts() : known->second;
        list.push_back({{"route", route},
                        {"answers", counts.answers},
                        {"failures", counts.failures},
                        {"slow", counts.slow},
                        {"stable_answers", stable.answers},
                        {"stable_failures", stable.failures},
                        {"stable_slow", stable.slow}});
    }
    return list;
}

/// Fields that state what a trial is decided on.
nlohmann::ordered_json trialFields(const std::string &service, const FollowedRollout &rollout, MonotonicTime now)
{
    const TrialObservations observations = allObservations(rollout);
    const TrialTotals sums = totals(observations);
    const TrialTotals own = totals(rollout.own);
    const Slowdown difference = slowdown(sums.candidate.times, sums.stable.times).value_or(Slowdown());
    return {{"service", service},
            {"target", rollout.order.target},
            {"age_ms", toMilliseconds(now - rollout.startedAt)},
            {"answers", sums.candidate.answers},
            {"failures", sums.candidate.failures},
            {"slow", sums.candidate.slow},
            {"timed", sums.candidate.times.answers},
            {"own_answers", own.candidate.answers},
            {"stable_answers", sums.stable.answers},
            {"stable_failures", sums.stable.failures},
            {"stable_slow", sums.stable.slow},
            {"endpoints", observations.candidateByEndpoint.size()},
            {"evidence", trialEvidenceName(trialEvidence(observations))},
            {"log_slowdown", difference.difference},
            {"log_error", difference.error},
            {"running", rollout.meanRunning},
            {"pulses", rollout.progress.pulses}};
}
} // namespace

RolloutController::RolloutController(Asio::io_context &context,
                                     EntryState &state,
                                     EntryMetrics &metrics,
                                     Platform::CatalogClient &catalog,
                                     const PeerExchange &peers)
    : context(context), state(state), metrics(metrics), catalog(catalog), peers(peers)
{
}

void RolloutController::recordLoads(MonotonicTime now)
{
    for (const auto &[service, rollout] : this->state.versions.rollouts()) {
        if (!isRunning(rollout)) {
            continue;
        }
        ServiceLoads loads;
        for (const EndpointEntry *endpoint : this->state.endpoints.ofService(service)) {
            loads.running += this->state.chooser.loads().find(endpoint->id).concurrentRequests();
            loads.slots = std::max(loads.slots, endpoint->slots);
            loads.stableEndpoints += endpoint->version == rollout.order.target ? 0 : 1;
        }
        this->state.versions.recordLoads(service, loads, now);
    }
}

void RolloutController::tick(MonotonicTime now)
{
    this->recordLoads(now);
    for (const std::string &service : this->state.versions.evaluate(now)) {
        logEvent(LogLevel::Warning, "rollout.found_bad", trialFields(service, this->state.versions.rollouts().at(service), now));
    }
    for (const auto &[service, rollout] : this->state.versions.rollouts()) {
        if (isRunning(rollout)) {
            this->logEvidence(service, rollout, now);
            this->logAcceptance(service, rollout, now);
        }
    }
    std::erase_if(this->loggedAcceptances, [this](const auto &accepted) {
        const auto known = this->state.versions.rollouts().find(accepted.first);
        return known == this->state.versions.rollouts().end() || known->second.order.target != accepted.second;
    });
    this->writeDueState(now);
}

void RolloutController::logEvidence(const std::string &service, const FollowedRollout &rollout, MonotonicTime now)
{
    const TrialTotals own = totals(rollout.own);
    this->metrics.setTrialAnswers(service, rollout.order.target, static_cast<double>(own.candidate.answers), static_cast<double>(own.candidate.failures));
    MonotonicTime &next = this->nextEvidence[service];
    if (now < next) {
        return;
    }
    next = now + evidenceLogInterval;
    nlohmann::ordered_json fields = trialFields(service, rollout, now);
    fields["is_accepted"] = rollout.progress.isAccepted;
    fields["routes"] = routeEvidence(allObservations(rollout));
    logEvent(LogLevel::Info, "rollout.evidence", fields);
}

void RolloutController::logAcceptance(const std::string &service, const FollowedRollout &rollout, MonotonicTime now)
{
    if (!rollout.progress.isAccepted || !this->loggedAcceptances.emplace(service, rollout.order.target).second) {
        return;
    }
    nlohmann::ordered_json fields = trialFields(service, rollout, now);
    fields["routes"] = routeEvidence(allObservations(rollout));
    logEvent(LogLevel::Info, "rollout.accepted", fields);
}

void RolloutController::writeDueState(MonotonicTime now)
{
    if (this->isWriting) {
        return;
    }
    for (const auto &[service, rollout] : this->state.versions.rollouts()) {
        const int running = this->peers.runningOnOtherVersions(service, rollout.order.target);
        const auto next = this->state.versions.stateToWrite(service, running, this->peers.rankFor(service), now);
        if (next) {
            this->isWriting = true;
            Asio::co_spawn(
                this->context,
                [this, order = rollout.order, next = *next]() -> Asio::awaitable<void> { co_await this->writeRollout(order, next); },
                Asio::detached);
            return;
        }
    }
}

Asio::awaitable<void> RolloutController::writeRollout(RolloutOrder order, RolloutState next)
{
    const auto written = co_await this->catalog.writeRolloutState(order, next);
    if (written) {
        this->state.versions.setOrder(written.value(), monotonicNow());
        logEvent(LogLevel::Info, "rollout.written", {{"service", order.service}, {"target", order.target}, {"state", rolloutStateName(next)}});
    } else {
        logEvent(LogLevel::Warning,
                 "rollout.not_written",
                 {{"service", order.service},
                  {"state", rolloutStateName(next)},
                  {"failure", catalogFailureName(written.error().failure)},
                  {"message", written.error().message}});
        // After a conflict the watch returns the newer object; the pause limits retries while the store is unavailable.
        Asio::steady_timer timer(this->context, writePause);
        boost::system::error_code ignored;
        co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
    this->isWriting = false;
}

} // namespace Godwitfork
