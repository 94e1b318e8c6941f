#include "LibCore/Digest.h"
#include "LibGateway/PeerReportAggregator.h"
#include "LibGateway/VersionPolicy.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <random>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
constexpr int instanceCount = 8;
constexpr int sessionCount = 60;
constexpr Duration step = 100ms;
constexpr Duration lifetime = 8500ms;
constexpr Duration timeLimit = 24s;
/// Interval of reports of a fleet of some hundred instances.
constexpr Duration reportInterval = 900ms;
/// A caller reaches another instance only after the balancer has missed its own one twice.
constexpr Duration minStay = 2s;
const MonotonicTime start {1000s};
const MonotonicTime ordered = start + 10s;

struct Session {
    std::string name;
    int instance = 0;
    MonotonicTime movedAt;
    MonotonicTime nextRequest;
    std::string version;
    MonotonicTime lastRequest;
};

struct Moves {
    /// Requests of open sessions that ran on the candidate after one on the stable version, in the first half.
    int early = 0;
    /// Requests of open sessions that ran on the stable version after one on the candidate.
    int back = 0;
    /// Requests that ran on the candidate in the first half.
    int exposed = 0;
};

/// Instances that exchange reports through one hub while sessions change instance and instances restart.
class Fleet
{
public:
    explicit Fleet(std::uint64_t seed) : random(seed)
    {
        for (const std::string version : {"v1", "v2"}) {
            EndpointEntry entry;
            entry.id = version + "-0";
            entry.service = "pool";
            entry.version = version;
            this->endpoints.push_back(entry);
        }
        for (int i = 0; i < instanceCount; ++i) {
            this->policies.emplace_back(0.5, 0, lifetime);
            this->nextReports.push_back(start + this->upTo(reportInterval));
        }
        for (int i = 0; i < sessionCount; ++i) {
            this->sessions.push_back(this->newSession(start));
        }
    }

    Moves run()
    {
        for (MonotonicTime now = start; now < ordered + timeLimit; now += step) {
            if (now == ordered) {
                for (VersionPolicy &policy : this->policies) {
                    policy.setOrder(order, now);
                }
            }
            if (now > ordered && this->random() % 40 == 0) {
                this->restart(static_cast<int>(this->random() % instanceCount), now);
            }
            this->report(now);
            for (Session &session : this->sessions) {
                if (now >= session.nextRequest) {
                    this->request(session, now);
                }
            }
        }
        return this->moves;
    }

private:
    Duration upTo(Duration limit)
    {
        return Duration(static_cast<std::int64_t>(this->random() % static_cast<std::uint64_t>(limit.count())));
    }

    Session newSession(MonotonicTime now)
    {
        Session session;
        session.name = "session-" + std::to_string(this->nextName++);
        session.instance = static_cast<int>(this->random() % instanceCount);
        session.movedAt = now;
        session.nextRequest = now + this->upTo(1s);
        return session;
    }

    // An instance that stops reports until it ends. The new process reads the store and has its first report answered before it takes
    // callers.
    void restart(int instance, MonotonicTime now)
    {
        this->exchange(instance, now);
        VersionPolicy &policy = this->policies[instance];
        policy = VersionPolicy(0.5, 0, lifetime);
        policy.setOrder(order, now, OrderOrigin::FirstList);
        this->exchange(instance, now);
    }

    void exchange(int instance, MonotonicTime now)
    {
        PeerReport report;
        report.sender.instance = std::to_string(instance);
        report.trials = this->policies[instance].reports(now);
        this->hub.record(report, now);
        for (const TrialReport &trial : this->hub.summary(now).trials) {
            this->policies[instance].mergeOthers(trial, now);
        }
    }

    void report(MonotonicTime now)
    {
        this->hub.expire(now);
        for (int i = 0; i < instanceCount; ++i) {
            if (now >= this->nextReports[i]) {
                this->nextReports[i] = now + reportInterval;
                this->exchange(i, now);
            }
        }
    }

    void request(Session &session, MonotonicTime now)
    {
        if (this->random() % 12 == 0) {
            session = this->newSession(now);
        } else if (this->random() % 5 == 0 && now - session.movedAt >= minStay && now - session.lastRequest >= minStay) {
            session.instance = static_cast<int>(this->random() % instanceCount);
            session.movedAt = now;
        }
        VersionPolicy &policy = this->policies[session.instance];
        const VersionQuery query {"pool", session.name, hashFraction(sessionHash(session.name)), false};
        const auto allowed = policy.filter(query, {&this->endpoints[0], &this->endpoints[1]}, now);
        const std::string version = allowed.front()->version;
        const bool isFirstHalf = now < ordered + timeLimit / 2;
        const bool isOpen = !session.version.empty() && now - session.lastRequest <= lifetime;
        this->moves.early += isOpen && isFirstHalf && version == "v2" && session.version == "v1" ? 1 : 0;
        this->moves.back += isOpen && version == "v1" && session.version == "v2" ? 1 : 0;
        this->moves.exposed += isFirstHalf && version == "v2" ? 1 : 0;
        policy.recordSession("pool", session.name, version, now);
        session.version = version;
        session.lastRequest = now;
        session.nextRequest = now + 200ms + this->upTo(4s);
    }

    const RolloutOrder order {"pool", "v2", timeLimit, RolloutState::InProgress, 5};
    std::mt19937_64 random;
    std::vector<EndpointEntry> endpoints;
    std::vector<VersionPolicy> policies;
    std::vector<MonotonicTime> nextReports;
    std::vector<Session> sessions;
    PeerReportAggregator hub {5s, lifetime};
    Moves moves;
    int nextName = 0;
};
} // namespace

TEST_CASE("No open session changes its version while sessions change instance and instances restart", "[versions]")
{
    // Sessions that only one instance knew were moved by the next one, and restarted instances moved sessions back.
    rc::check([](std::uint64_t seed) {
        const Moves moves = Fleet(seed).run();
        RC_ASSERT(moves.early == 0);
        RC_ASSERT(moves.back == 0);
        RC_ASSERT(moves.exposed > 0);
    });
}
