#include "FakeObjects.h"

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

ApplyNote note(const std::string &token, ObjectVersion basedOn)
{
    ApplyNote note;
    note.token = token;
    note.basedOn = basedOn;
    return note;
}

ApplyResult apply(FakeObjects &store, const ApplyNote &note, const Configuration &configuration)
{
    return store.run(applyConfiguration(store.objects(), note, configuration));
}

ConfigurationChange withdrawal(const std::string &version)
{
    return [version](Configuration &configuration) { return changeVersionState(configuration, {"", "m", version, VersionState::Withdrawn, true, false}); };
}
} // namespace

// Guards against the second of two operators overwriting the first one's change.
TEST_CASE("An apply on an outdated revision is a conflict and changes nothing")
{
    FakeObjects store;
    const ApplyResult first = apply(store, note("one", 0), configurationWith(VersionState::Stable, 1));
    REQUIRE(first.status == ApplyStatus::Applied);
    const ApplyResult second = apply(store, note("two", first.revision), configurationWith(VersionState::Stable, 2));
    REQUIRE(second.status == ApplyStatus::Applied);
    const ApplyResult late = apply(store, note("three", first.revision), configurationWith(VersionState::Stable, 3));
    CHECK(late.status == ApplyStatus::Conflict);
    CHECK(late.revision == second.revision);
    CHECK(store.run(readCurrent(store.objects())).value().configuration == configurationWith(VersionState::Stable, 2));
    const auto history = store.run(readHistory(store.objects(), 10)).value();
    REQUIRE(history.size() == 2);
    CHECK(history[0].note.token == "two");
    CHECK(history[1].configuration == configurationWith(VersionState::Stable, 1));
    CHECK(store.run(readRevision(store.objects(), first.revision)).value().note.token == "one");
}

// Guards against a write that took effect being reported as failed, or being made a second time.
TEST_CASE("A write whose answer is lost is recognised by its token")
{
    FakeObjects store;
    store.nextWrites = {FakeWrite::AnswerLost};
    const ApplyResult first = apply(store, note("one", 0), configurationWith(VersionState::Stable));
    CHECK(first.status == ApplyStatus::Applied);
    CHECK(store.writesTo("configuration/current") == 1);
    // A client that lost the API's own answer asks again, also after a later revision.
    const ApplyResult other = apply(store, note("two", first.revision), configurationWith(VersionState::Stable, 2));
    const ApplyResult again = apply(store, note("one", 0), configurationWith(VersionState::Stable));
    CHECK(again.status == ApplyStatus::AlreadyApplied);
    CHECK(again.revision == first.revision);
    CHECK(store.run(readCurrent(store.objects())).value().revision == other.revision);
}

// Guards against "not applied" for a write that the store carries out after the answer was lost.
TEST_CASE("A write that takes effect late is neither reported as failed nor applied twice")
{
    FakeObjects store;
    store.nextWrites = {FakeWrite::Delayed};
    const ApplyResult result = apply(store, note("one", 0), configurationWith(VersionState::Stable));
    CHECK(result.status == ApplyStatus::Applied);
    CHECK(store.writesTo("configuration/current") == 1);
    store.nextWrites = {FakeWrite::Ok,
                        FakeWrite::RequestLost,
                        FakeWrite::Ok,
                        FakeWrite::RequestLost,
                        FakeWrite::Ok,
                        FakeWrite::RequestLost,
                        FakeWrite::Ok,
                        FakeWrite::RequestLost};
    const ApplyResult unknown = apply(store, note("two", result.revision), configurationWith(VersionState::Stable, 2));
    CHECK(unknown.status == ApplyStatus::Unknown);
    store.outage = true;
    CHECK(apply(store, note("three", result.revision), configurationWith(VersionState::Stable, 3)).status == ApplyStatus::Unavailable);
}

// Guards against a withdrawal that overwrites a change stored between its read and its write, or that is made again after
// a later operator reversed it.
TEST_CASE("A change is based on the current revision after a lost race and is made once")
{
    FakeObjects store;
    const ApplyResult first = apply(store, note("one", 0), configurationWith(VersionState::Stable, 1));
    bool raced = false;
    ConfigurationChange racingChange = [&](Configuration &configuration) {
        if (!raced) {
            raced = true;
            store.putDirectly("configuration/current", toStoredValue(note("race", first.revision), configurationWith(VersionState::Stable, 7)));
        }
        return withdrawal("1")(configuration);
    };
    const ApplyResult changed = store.run(changeConfiguration(store.objects(), note("withdraw", first.revision), racingChange));
    CHECK(changed.status == ApplyStatus::Applied);
    CHECK(store.run(readCurrent(store.objects())).value().configuration == configurationWith(VersionState::Withdrawn, 7));
    const ApplyResult reinstated = apply(store, note("back", changed.revision), configurationWith(VersionState::Stable, 7));
    REQUIRE(reinstated.status == ApplyStatus::Applied);
    const ApplyResult again = store.run(changeConfiguration(store.objects(), note("withdraw", first.revision), withdrawal("1")));
    CHECK(again.status == ApplyStatus::AlreadyApplied);
    CHECK(again.revision == changed.revision);
    CHECK(store.run(readCurrent(store.objects())).value().revision == reinstated.revision);
}

// Guards against lost or doubled changes under any order of lost answers, late writes and outages.
TEST_CASE("Under random faults each token is stored at most once and never after a definite refusal")
{
    constexpr std::uint64_t seed = 20261204;
    RandomSource random(seed);
    FakeObjects store;
    std::map<std::string, ApplyResult> results;
    ObjectVersion known = 0;
    for (int i = 0; i < 400; ++i) {
        store.nextWrites.clear();
        for (int write = 0; write < 8; ++write) {
            store.nextWrites.push_back(static_cast<FakeWrite>(random() % 4));
        }
        const std::string token = std::to_string(i);
        const bool isOutdated = random() % 4 == 0 && known > 0;
        results[token] = apply(store, note(token, isOutdated ? known - 1 : known), configurationWith(VersionState::Stable, i));
        store.nextWrites.clear();
        store.carryOutDelayedWrites();
        known = store.run(readCurrent(store.objects())).value().revision;
    }
    std::map<std::string, int> stored;
    const auto history = store.run(readHistory(store.objects(), 1000)).value();
    for (const ConfigurationRecord &record : history) {
        ++stored[record.note.token];
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
