#include "FakeObjectStore.h"

#include "LibAdministration/Changes.h"
#include "LibConfiguration/Builders.h"
#include "LibCore/Random.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

namespace
{
Configuration configurationWith(VersionState first, Microunits budget = 1)
{
    Configuration configuration;
    configuration.sites["s"] = SiteConfigurationBuilder()
                                   .model({"m", {}, {{"1", first, 1, 1}, {"2", VersionState::Stable, 1, 1}}})
                                   .account(ClientAccountBuilder("a").key("k").model("m").monthlyBudget(budget).build())
                                   .endpoint(EndpointBuilder("e", "10.0.0.1:80").servesVersion("m", "1").build())
                                   .build();
    return configuration;
}

ApplyMetadata metadata(const std::string &token, ObjectVersion basedOn)
{
    ApplyMetadata metadata;
    metadata.token = token;
    metadata.basedOn = basedOn;
    return metadata;
}

ApplyResult apply(FakeObjectStore &store, const ApplyMetadata &metadata, const Configuration &configuration)
{
    return store.run(applyConfiguration(store.objects(), metadata, configuration));
}

ConfigurationChange withdrawal(const std::string &version)
{
    return [version](Configuration &configuration) { return changeVersionState(configuration, {"", "m", version, VersionState::Withdrawn, true, false}); };
}
} // namespace

// Guards against an operator overwriting a change that another operator stored in the meantime.
TEST_CASE("An apply based on an outdated revision fails with a conflict and changes nothing")
{
    FakeObjectStore store;
    const ApplyResult first = apply(store, metadata("one", 0), configurationWith(VersionState::Stable, 1));
    REQUIRE(first.status == ApplyStatus::Applied);
    const ApplyResult second = apply(store, metadata("two", first.revision), configurationWith(VersionState::Stable, 2));
    REQUIRE(second.status == ApplyStatus::Applied);
    const ApplyResult late = apply(store, metadata("three", first.revision), configurationWith(VersionState::Stable, 3));
    CHECK(late.status == ApplyStatus::Conflict);
    CHECK(late.revision == second.revision);
    CHECK(store.run(readCurrent(store.objects())).value().configuration == configurationWith(VersionState::Stable, 2));
    const auto history = store.run(readHistory(store.objects(), 10)).value();
    REQUIRE(history.size() == 2);
    CHECK(history[0].metadata.token == "two");
    CHECK(history[1].configuration == configurationWith(VersionState::Stable, 1));
    CHECK(store.run(readRevision(store.objects(), first.revision)).value().metadata.token == "one");
}

// Guards against a write that took effect but is reported as failed or executed a second time.
TEST_CASE("A write whose response is lost is identified by its token")
{
    FakeObjectStore store;
    store.nextWrites = {FakeWriteOutcome::AnswerLost};
    const ApplyResult first = apply(store, metadata("one", 0), configurationWith(VersionState::Stable));
    CHECK(first.status == ApplyStatus::Applied);
    CHECK(store.writesTo("configuration/current") == 1);
    // A client that did not receive the API's response repeats the request, even after a later revision.
    const ApplyResult other = apply(store, metadata("two", first.revision), configurationWith(VersionState::Stable, 2));
    const ApplyResult again = apply(store, metadata("one", 0), configurationWith(VersionState::Stable));
    CHECK(again.status == ApplyStatus::AlreadyApplied);
    CHECK(again.revision == first.revision);
    CHECK(store.run(readCurrent(store.objects())).value().revision == other.revision);
}

// Guards against reporting "not applied" for a write that the store executes after the response was lost.
TEST_CASE("A write that takes effect late is neither reported as failed nor applied twice")
{
    FakeObjectStore store;
    store.nextWrites = {FakeWriteOutcome::Delayed};
    const ApplyResult result = apply(store, metadata("one", 0), configurationWith(VersionState::Stable));
    CHECK(result.status == ApplyStatus::Applied);
    CHECK(store.writesTo("configuration/current") == 1);
    store.nextWrites = {FakeWriteOutcome::Ok,
                        FakeWriteOutcome::RequestLost,
                        FakeWriteOutcome::Ok,
                        FakeWriteOutcome::RequestLost,
                        FakeWriteOutcome::Ok,
                        FakeWriteOutcome::RequestLost,
                        FakeWriteOutcome::Ok,
                        FakeWriteOutcome::RequestLost};
    const ApplyResult unknown = apply(store, metadata("two", result.revision), configurationWith(VersionState::Stable, 2));
    CHECK(unknown.status == ApplyStatus::Unknown);
    store.outage = true;
    CHECK(apply(store, metadata("three", result.revision), configurationWith(VersionState::Stable, 3)).status == ApplyStatus::Unavailable);
}

// Guards against a withdrawal that overwrites a change stored between its read and its write, or that is repeated after
// another operator reversed it.
TEST_CASE("A change is based on the current revision after a conflict and is applied once")
{
    FakeObjectStore store;
    const ApplyResult first = apply(store, metadata("one", 0), configurationWith(VersionState::Stable, 1));
    bool raced = false;
    ConfigurationChange racingChange = [&](Configuration &configuration) {
        if (!raced) {
            raced = true;
            store.putDirectly("configuration/current", toStoredValue(metadata("race", first.revision), configurationWith(VersionState::Stable, 7)));
        }
        return withdrawal("1")(configuration);
    };
    const ApplyResult changed = store.run(changeConfiguration(store.objects(), metadata("withdraw", first.revision), racingChange));
    CHECK(changed.status == ApplyStatus::Applied);
    CHECK(store.run(readCurrent(store.objects())).value().configuration == configurationWith(VersionState::Withdrawn, 7));
    const ApplyResult reinstated = apply(store, metadata("back", changed.revision), configurationWith(VersionState::Stable, 7));
    REQUIRE(reinstated.status == ApplyStatus::Applied);
    const ApplyResult again = store.run(changeConfiguration(store.objects(), metadata("withdraw", first.revision), withdrawal("1")));
    CHECK(again.status == ApplyStatus::AlreadyApplied);
    CHECK(again.revision == changed.revision);
    CHECK(store.run(readCurrent(store.objects())).value().revision == reinstated.revision);
}

// Guards against lost or duplicate changes under random sequences of lost requests, lost responses and late writes.
TEST_CASE("Under random faults each token is stored at most once and never after a definite refusal")
{
    constexpr std::uint64_t seed = 20261204;
    RandomSource random(seed);
    FakeObjectStore store;
    std::map<std::string, ApplyResult> results;
    ObjectVersion known = 0;
    for (int i = 0; i < 400; ++i) {
        store.nextWrites.clear();
        for (int write = 0; write < 8; ++write) {
            store.nextWrites.push_back(static_cast<FakeWriteOutcome>(random() % 4));
        }
        const std::string token = std::to_string(i);
        const bool isOutdated = random() % 4 == 0 && known > 0;
        results[token] = apply(store, metadata(token, isOutdated ? known - 1 : known), configurationWith(VersionState::Stable, i));
        store.nextWrites.clear();
        store.applyDelayedWrites();
        known = store.run(readCurrent(store.objects())).value().revision;
    }
    std::map<std::string, int> stored;
    const auto history = store.run(readHistory(store.objects(), 1000)).value();
    for (const ConfigurationRecord &record : history) {
        ++stored[record.metadata.token];
    }
    int applied = 0;
    for (const auto &[token, result] : results) {
        CAPTURE(seed, token, static_cast<int>(result.status), result.message);
        CHECK(stored[token] <= 1);
        if (result.status == ApplyStatus::Applied) {
            ++applied;
            CHECK(stored[token] == 1);
        } else if (result.status != ApplyStatus::Unknown) {
            CHECK(stored[token] == 0);
        }
    }
    CHECK(applied > 100);
}
