#include "LibGateway/VersionPolicy.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
const MonotonicTime start {1000s};
constexpr double exposure = 0.15;

struct Pool {
    Pool()
    {
        for (const std::string version : {"v1", "v2"}) {
            for (int i = 0; i < 3; ++i) {
                EndpointEntry entry;
                entry.id = version + "-" + std::to_string(i);
                entry.service = "pool";
                entry.version = version;
                this->entries.push_back(entry);
            }
        }
    }

    std::vector<const EndpointEntry *> all() const
    {
        std::vector<const EndpointEntry *> pointers;
        for (const EndpointEntry &entry : this->entries) {
            pointers.push_back(&entry);
        }
        return pointers;
    }

    std::vector<EndpointEntry> entries;
};

RolloutOrder order(RolloutState state = RolloutState::InProgress)
{
    return {"pool", "v2", 20s, state, 5};
}

bool usesVersion(const std::vector<const EndpointEntry *> &endpoints, const std::string &version)
{
    return !endpoints.empty() && std::all_of(endpoints.begin(), endpoints.end(), [&](const EndpointEntry *endpoint) { return endpoint->version == version; });
}

AnswerObservation failure(const std::string &endpoint)
{
    AnswerObservation answer;
    answer.route = "r";
    answer.endpoint = endpoint;
    answer.isFailure = true;
    return answer;
}
} // namespace

TEST_CASE("In the first half of the roll-out, fewer sessions than the exposure share run on the candidate", "[versions]")
{
    const Pool pool;
    VersionPolicy policy(exposure, 5s);
    policy.setOrder(order(), start);
    int exposed = 0;
    for (int i = 0; i < 1000; ++i) {
        exposed += usesVersion(policy.filter({"pool", "s" + std::to_string(i), i / 1000.0, false}, pool.all(), start + 5s), "v2") ? 1 : 0;
    }
    CHECK(exposed > 0);
    CHECK(exposed < exposure * 1000);
}

TEST_CASE("An open session stays on its version during the first half of the roll-out", "[versions]")
{
    const Pool pool;
    VersionPolicy policy(exposure, 5s);
    policy.recordSession("pool", "old", "v1", start);
    policy.setOrder(order(), start);
    // The draw alone would assign the session to the candidate.
    CHECK(usesVersion(policy.filter({"pool", "old", 0, false}, pool.all(), start + 1s), "v1"));
    policy.recordSession("pool", "new", "v2", start + 1s);
    CHECK(usesVersion(policy.filter({"pool", "new", 0.99, false}, pool.all(), start + 2s), "v2"));
    CHECK(usesVersion(policy.filter({"pool", "old", 0, false}, pool.all(), start + 15s), "v2"));
}

TEST_CASE("A candidate found bad gets no more requests, even if no stable endpoint is left", "[versions]")
{
    Pool pool;
    VersionPolicy policy(exposure, 5s);
    policy.setOrder(order(), start);
    for (int i = 0; i < 6; ++i) {
        policy.recordAnswer("pool", "v2", failure("v2-" + std::to_string(i % 2)));
    }
    CHECK(policy.evaluate().size() == 1);
    CHECK(policy.evaluate().empty());
    CHECK(usesVersion(policy.filter({"pool", "", 0, false}, pool.all(), start + 1s), "v1"));
    pool.entries.erase(pool.entries.begin(), pool.entries.begin() + 3);
    CHECK(policy.filter({"pool", "", 0, false}, pool.all(), start + 1s).empty());
    CHECK(policy.stateToWrite("pool", 0, 0, start + 1s) == RolloutState::Reverted);
}

TEST_CASE("Failures of several instances together find a candidate bad, those of one instance do not", "[versions]")
{
    VersionPolicy policy(exposure, 5s);
    policy.setOrder(order(), start);
    policy.recordAnswer("pool", "v2", failure("v2-0"));
    CHECK(policy.evaluate().empty());
    TrialReport others;
    others.service = "pool";
    others.target = "v2";
    others.state = RolloutState::InProgress;
    others.observations.candidateByRoute["r"] = {2, 2, 0};
    others.observations.candidateByEndpoint["v2-1"] = {2, 2, 0};
    policy.mergeOthers(others, start);
    // A repeated report counts once.
    policy.mergeOthers(others, start);
    CHECK(policy.evaluate().empty());
    others.observations.candidateByRoute["r"] = {3, 3, 0};
    others.observations.candidateByEndpoint["v2-1"] = {3, 3, 0};
    policy.mergeOthers(others, start);
    CHECK(policy.evaluate().size() == 1);
}

TEST_CASE("A single faulty endpoint does not make its version bad", "[versions]")
{
    VersionPolicy policy(exposure, 5s);
    policy.setOrder(order(), start);
    for (int i = 0; i < 12; ++i) {
        policy.recordAnswer("pool", "v2", failure("v2-0"));
        AnswerObservation good = failure("v2-1");
        good.isFailure = false;
        policy.recordAnswer("pool", "v2", good);
    }
    CHECK(policy.evaluate().empty());
}

TEST_CASE("A roll-out completes once no request runs on the stable version or its time is nearly over", "[versions]")
{
    VersionPolicy policy(exposure, 5s);
    policy.setOrder(order(RolloutState::Ordered), start);
    CHECK(policy.stateToWrite("pool", 0, 0, start) == RolloutState::InProgress);
    policy.setOrder(order(), start);
    CHECK_FALSE(policy.stateToWrite("pool", 0, 0, start + 10s));
    CHECK_FALSE(policy.stateToWrite("pool", 3, 0, start + 15s));
    CHECK(policy.stateToWrite("pool", 0, 0, start + 15s) == RolloutState::Completed);
    CHECK(policy.stateToWrite("pool", 3, 0, start + 18s) == RolloutState::Completed);
}

TEST_CASE("An instance of a higher rank writes later", "[versions]")
{
    VersionPolicy policy(exposure, 5s);
    policy.setOrder(order(RolloutState::Ordered), start);
    CHECK_FALSE(policy.stateToWrite("pool", 0, 2, start));
    CHECK_FALSE(policy.stateToWrite("pool", 0, 2, start + 1s));
    CHECK(policy.stateToWrite("pool", 0, 2, start + 1300ms) == RolloutState::InProgress);
}

TEST_CASE("An instance that cannot reach the store receives the end of a roll-out from its peers", "[versions]")
{
    const Pool pool;
    VersionPolicy policy(exposure, 5s);
    policy.setOrder(order(), start);
    TrialReport report;
    report.service = "pool";
    report.target = "v2";
    report.state = RolloutState::Completed;
    policy.mergeOthers(report, start);
    CHECK(usesVersion(policy.filter({"pool", "", 0.99, false}, pool.all(), start + 1s), "v2"));
}
