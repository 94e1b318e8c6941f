#include "LibEntry/RequestRun.h"
#include "LibGateway/StallRules.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr Duration stallCheckInterval = std::chrono::milliseconds(200);
} // namespace

// `this` is used only while the flag is not set: it is set before the attempt ends, and this object outlives the attempt.
std::shared_ptr<bool> RequestRun::watchForStall()
{
    auto ended = std::make_shared<bool>(false);
    auto watch = [this, ended, &context = this->context.context]() -> Asio::awaitable<void> {
        Asio::steady_timer timer(context);
        while (!*ended) {
            timer.expires_after(this->timeToStallCheck());
            boost::system::error_code ignored;
            co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
            if (*ended) {
                co_return;
            }
            if (!isStream(this->route->repeatRule) && !this->currentAttempt->plainAnswer) {
                co_return;
            }
            if (isStream(this->route->repeatRule)) {
                this->recordOverdueVersionTime();
            }
            if (this->leaveIfStalled()) {
                co_return;
            }
        }
    };
    Asio::co_spawn(this->context.context, std::move(watch), Asio::detached);
    return ended;
}

// An endpoint that is silent may still finish its answer, so it is left only for another one.
bool RequestRun::leaveIfStalled()
{
    const StallEvidence evidence = this->stallEvidence();
    if (!isStalled(evidence, this->stallLimits())) {
        return false;
    }
    // The attempt counts as a failure once it is left.
    const RetryObstacle obstacle = obstacleToLeaving(this->progress, this->retryMeans(this->candidates(true)));
    if (obstacle != RetryObstacle::None) {
        if (!this->currentAttempt->isSilenceLogged) {
            this->currentAttempt->isSilenceLogged = true;
            this->logSilence(evidence, "tolerated", obstacle);
        }
        return false;
    }
    this->logSilence(evidence, "cancelled", obstacle);
    // Another request could take the last retry before this one goes on.
    this->hasTakenRetry = takeRetry(this->state.retryBudget(this->service), monotonicNow());
    this->stalled = true;
    this->caller->canceller->cancel();
    return true;
}

// A plain request is checked when its time is over, since it may have only some hundred milliseconds in all.
Duration RequestRun::timeToStallCheck() const
{
    const Duration untilStall = this->currentAttempt->plainAnswer.value_or(Duration::zero()) - this->stallEvidence().silence;
    return untilStall > Duration::zero() ? std::min(untilStall, stallCheckInterval) : stallCheckInterval;
}

StallEvidence RequestRun::stallEvidence() const
{
    const MonotonicTime now = monotonicNow();
    StallEvidence evidence;
    evidence.hasFirstEvent = this->currentAttempt->firstOutput.has_value();
    evidence.silence = this->currentAttempt->isWritingToCaller ? Duration::zero() : now - this->currentAttempt->waitingSince;
    evidence.sinceEndpointOutput = this->state.chooser.loads().find(this->currentAttempt->choice.endpoint.id).sinceFleetOutput(now);
    return evidence;
}

StallLimits RequestRun::stallLimits() const
{
    return {this->currentAttempt->choice.firstOutput, this->route->latencyObjective, this->route->pauseObjective, this->currentAttempt->plainAnswer};
}

} // namespace Godwitfork
