#include "EntryFixture.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using boost::asio::awaitable;

namespace
{
std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

/// Sends two events; the stream of a request whose id is "broken" ends after the first one unless it is resumed.
awaitable<void> sendStream(HttpExchange &exchange)
{
    const std::string after = headerValue(exchange.request().headers, "Last-Event-Id");
    const bool isBroken = headerValue(exchange.request().headers, "X-Attempt-Id") == "broken" && after.empty();
    co_await exchange.startStream(200, validAnswerHeaders(exchange));
    if (after.empty()) {
        co_await exchange.writeChunk(event(1));
    }
    if (isBroken) {
        exchange.abort();
        co_return;
    }
    co_await exchange.writeChunk(event(2));
    co_await exchange.finishStream();
}

constexpr double ratio = 0.9;
} // namespace

TEST_CASE("A stream that breaks off after a reload of the settings is resumed", "[state]")
{
    // Guards against LOST: a reload forgot the requests that allow retries, so that nothing went on elsewhere until others had come.
    EntryFixture entry;
    entry.state.settings.retryRatio = ratio;
    entry.state.setRetryAllowance(0);
    entry.setRoute(makeRoute(RepeatRule::ResumableStream, 3));
    entry.addEndpoint("e1", sendStream);
    entry.addEndpoint("e2", sendStream);
    for (int i = 0; i < 4; ++i) {
        CHECK(entry.send(callerHeaders("sound-" + std::to_string(i))).status == 200);
    }
    entry.state.adoptSettings(EntrySettings(entry.state.settings));
    const HttpResponse answer = entry.send(callerHeaders("broken"));
    CHECK(answer.status == 200);
    CHECK(answer.body == event(1) + event(2));
}

TEST_CASE("A reload of the settings does not allow retries that were taken before it again", "[state]")
{
    // Guards against BUDGET: a reload forgot the retries that were taken in the window.
    EntryFixture entry;
    entry.state.settings.retryRatio = ratio;
    // Half of the allowance is handed out.
    entry.state.setRetryAllowance(4);
    const MonotonicTime now = monotonicNow();
    CHECK(takeRetry(entry.state.retryBudget("pool"), now));
    CHECK(takeRetry(entry.state.retryBudget("pool"), now));
    CHECK_FALSE(hasRetry(entry.state.retryBudget("pool"), now));
    entry.state.adoptSettings(EntrySettings(entry.state.settings));
    CHECK_FALSE(hasRetry(entry.state.retryBudget("pool"), now));
}

TEST_CASE("The shortest of the limits that are in force governs the age of copies", "[state]")
{
    // Guards against EVAC: copies that may be older than the limit of evacuations, and store calls of deployments that have none.
    EntrySettings settings;
    settings.drainLimit = std::chrono::seconds(6);
    settings.configurationLimit = std::chrono::seconds(7);
    CHECK(EntryState(settings).catalogLimits() == catalogLimits(std::chrono::seconds(6)));
    CHECK(EntryState(settings).followedKinds().size() == 3);
    settings.evacuationLimit = std::chrono::seconds(2);
    CHECK(EntryState(settings).catalogLimits() == catalogLimits(std::chrono::seconds(2)));
    CHECK(EntryState(settings).followedKinds().back() == CatalogKind::Evacuations);
    settings.evacuationLimit = std::chrono::seconds(9);
    CHECK(EntryState(settings).catalogLimits() == catalogLimits(std::chrono::seconds(6)));
}

TEST_CASE("A reload that asks for evacuations waits for the next start, and one that moves a failure domain does not", "[state]")
{
    // Guards against an instance that is never ready again, since it awaits a kind that it does not follow.
    EntryFixture entry;
    entry.setRoute(makeRoute(RepeatRule::Idempotent, 1));
    EntrySettings settings(entry.state.settings);
    settings.evacuationLimit = std::chrono::seconds(2);
    settings.domainRegions = {{"a", "north"}};
    entry.state.adoptSettings(settings);
    CHECK(entry.state.hasLoadedCatalog());
    CHECK(entry.state.catalogLimits() == catalogLimits(settings.drainLimit));
    CHECK(entry.state.failureDomains.regions == settings.domainRegions);
}

TEST_CASE("A reload of the settings replaces the limits of the retry budgets", "[state]")
{
    // Guards against limits that stay as they were until the process starts again.
    EntryFixture entry;
    entry.state.setRetryAllowance(0);
    entry.state.settings.retryRatio = 0;
    const MonotonicTime now = monotonicNow();
    for (int i = 0; i < 10; ++i) {
        recordRequest(entry.state.retryBudget("pool"), now);
    }
    CHECK_FALSE(hasRetry(entry.state.retryBudget("pool"), now));
    EntrySettings settings(entry.state.settings);
    settings.retryRatio = ratio;
    entry.state.adoptSettings(settings);
    CHECK(hasRetry(entry.state.retryBudget("pool"), now));
}
