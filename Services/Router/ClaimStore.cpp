#include "ClaimStore.h"

#include "LibCore/Log.h"

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
/// Calls under a claim are rare, so a fixed interval without back-off adds little load to a recovering store.
constexpr Duration retryDelay = std::chrono::seconds(1);

ClaimWriteResponse toClaimWritten(const StoreOutcome<ObjectVersion> &written)
{
    if (written) {
        return {ClaimWriteResult::Written, written.value()};
    }
    switch (written.error().failure) {
    case StoreFailure::Conflict:
        return {ClaimWriteResult::Conflict, 0};
    case StoreFailure::Unavailable:
        return {ClaimWriteResult::NotSent, 0};
    default:
        // Any other response does not prove that nothing was written.
        return {ClaimWriteResult::Uncertain, 0};
    }
}

ClaimReadResponse toClaimRead(const StoreOutcome<StoredObject> &object)
{
    if (!object) {
        const bool missing = object.error().failure == StoreFailure::NotFound;
        return {missing ? ClaimReadResult::Missing : ClaimReadResult::Failed, {}, 0};
    }
    auto claim = decodeClaim(object.value().value);
    if (!claim) {
        logEvent(LogLevel::Error, "claim.malformed", {{"claim", object.value().name}, {"reason", claim.error().message}});
        return {};
    }
    return {ClaimReadResult::Found, std::move(claim).value(), object.value().version};
}

Asio::awaitable<ClaimWriteResponse> writeClaim(ObjectStoreClient &store, const std::string &name, const ClaimStep &step)
{
    const WriteCondition condition = step.action == ClaimAction::Create ? createOnly() : ifVersion(step.version);
    const auto written = co_await store.write(name, encodeClaim(step.claim), condition);
    co_return toClaimWritten(written);
}

Asio::awaitable<ClaimReadResponse> readClaim(ObjectStoreClient &store, const std::string &name)
{
    const auto object = co_await store.read(name);
    co_return toClaimRead(object);
}

const char *closingResultName(ClaimClosingResult result)
{
    return result == ClaimClosingResult::Recorded ? "recorded" : "overtaken";
}

/// Executes one read or write step of a closing and returns the next step.
Asio::awaitable<ClaimStep> runClosingStep(ObjectStoreClient &store, const std::string &name, ClaimClosing &closing, const ClaimStep &step)
{
    if (step.action == ClaimAction::Read) {
        const ClaimReadResponse found = co_await readClaim(store, name);
        co_return closing.receive(found);
    }
    const ClaimWriteResponse written = co_await writeClaim(store, name, step);
    co_return closing.receive(written);
}

/// Runs the closing until it finishes or the store does not respond.
Asio::awaitable<ClaimAction> closeUntilWait(ObjectStoreClient &store, const std::string &name, ClaimClosing &closing)
{
    ClaimStep step = closing.start();
    while (step.action != ClaimAction::Finished && step.action != ClaimAction::Wait) {
        step = co_await runClosingStep(store, name, closing, step);
    }
    if (step.action == ClaimAction::Finished) {
        logEvent(LogLevel::Info, "claim.closed", {{"claim", name}, {"result", closingResultName(closing.result())}});
    }
    co_return step.action;
}

Asio::awaitable<void> closeInBackground(Worker &worker, std::string name, ClaimClosing closing)
{
    logEvent(LogLevel::Warning, "claim.closing_delayed", {{"claim", name}});
    ObjectStoreClient store(worker.client, worker.settings.store, worker.settings.storeTimeout);
    ClaimAction lastAction = ClaimAction::Wait;
    while (lastAction == ClaimAction::Wait) {
        Asio::steady_timer pause(worker.context, retryDelay);
        boost::system::error_code ignored;
        co_await pause.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
        lastAction = co_await closeUntilWait(store, name, closing);
    }
    worker.status.endRequest();
}
} // namespace

ClaimStore::ClaimStore(Worker &worker) : worker(worker)
{
}

Asio::awaitable<ClaimStep> ClaimStore::attempt(std::string name, ClaimAttempt &attempt)
{
    ObjectStoreClient store(this->worker.client, this->worker.settings.store, this->worker.settings.storeTimeout);
    ClaimStep step = attempt.start();
    while (true) {
        switch (step.action) {
        case ClaimAction::Create:
        case ClaimAction::Update: {
            const ClaimWriteResponse written = co_await writeClaim(store, name, step);
            step = attempt.receive(written, wallNow());
            break;
        }
        case ClaimAction::Read: {
            const ClaimReadResponse found = co_await readClaim(store, name);
            step = attempt.receive(found, wallNow());
            break;
        }
        default:
            co_return step;
        }
    }
}

Asio::awaitable<void> ClaimStore::close(std::string name, ClaimClosing closing)
{
    ObjectStoreClient store(this->worker.client, this->worker.settings.store, this->worker.settings.storeTimeout);
    const ClaimAction lastAction = co_await closeUntilWait(store, name, closing);
    if (lastAction == ClaimAction::Wait) {
        // Counts as an active request, so that a graceful stop waits until the claim is closed.
        this->worker.status.beginRequest();
        Asio::co_spawn(this->worker.context, closeInBackground(this->worker, std::move(name), std::move(closing)), Asio::detached);
    }
}

} // namespace Godwitfork
