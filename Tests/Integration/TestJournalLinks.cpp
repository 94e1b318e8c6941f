#include "Deployment.h"
#include "JournalLinks.h"
#include "LibCore/Identifier.h"
#include "LibPeer/PeerNetwork.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace Godwitfork;

namespace
{
/// The ledger of one router with its own control thread, real peer links and a client of the store stand-in.
class LedgerNode
{
public:
    LedgerNode(std::string name, std::string failureDomain, const HttpAddress &storeAddress)
        : name(std::move(name))
        , failureDomain(std::move(failureDomain))
        , client(this->context)
        , store(this->client, storeAddress, std::chrono::milliseconds(500))
        , ledger(this->context, this->store, this->status, this->name, this->failureDomain)
    {
        PeerNetworkOptions options;
        options.self = this->name;
        options.sharedKey = "integration-peer-key";
        PeerHandlers handlers;
        handlers.message = [this](const std::string &sender, const PeerMessage &message) { handleJournalMessage(this->ledger, sender, message); };
        this->network = std::make_unique<PeerNetwork>(options, handlers, [this](std::function<void()> call) { boost::asio::post(this->context, call); });
        connectJournal(this->ledger, *this->network);
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~LedgerNode()
    {
        this->kill();
    }

    /// Ends the node as a killed process would: nothing more is sent or written.
    void kill()
    {
        this->context.stop();
        if (this->thread.joinable()) {
            this->thread.join();
        }
        this->network.reset();
    }

    void run(std::function<void()> call)
    {
        std::promise<void> done;
        boost::asio::post(this->context, [&] {
            call();
            done.set_value();
        });
        done.get_future().wait();
    }

    std::future<void> commit(const BillingRecord &record)
    {
        return boost::asio::co_spawn(this->context, this->ledger.commit(record), boost::asio::use_future);
    }

    std::string name;
    std::string failureDomain;
    boost::asio::io_context context {1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard {this->context.get_executor()};
    HttpClient client;
    ObjectStoreClient store;
    RouterStatus status;
    LedgerService ledger;
    std::unique_ptr<PeerNetwork> network;
    std::thread thread;
};

/// Tells each node which others live.
void introduce(const std::vector<LedgerNode *> &nodes)
{
    for (LedgerNode *node : nodes) {
        std::vector<JournalPeer> live;
        std::vector<PeerEndpoint> endpoints;
        for (const LedgerNode *other : nodes) {
            if (other != node) {
                live.push_back({other->name, other->failureDomain});
                endpoints.push_back({other->name, "127.0.0.1", other->network->port()});
            }
        }
        node->network->setPeers(endpoints);
        node->run([&] { node->ledger.updatePeers(live); });
    }
}

BillingRecord depositRecord(RandomSource &random, Microunits amount)
{
    BillingRecordBuilder builder;
    builder.requestId(makeRequestId(wallNow(), random)).account("workshop").site("norrland").admitted(wallNow());
    return builder.outcome(RequestOutcome::Completed).amount(amount).build().value();
}

bool isReady(std::future<void> &future, Duration limit)
{
    return future.wait_for(limit) == std::future_status::ready;
}
} // namespace

// Guards against an answer that waits for the store although two keepers hold its record, and against a record that is lost
// or billed twice when its owner and one keeper die before anything was stored.
TEST_CASE("Keepers hold the journal over real links while the store is out")
{
    Deployment deployment;
    const HttpAddress storeAddress = deployment.store().address();
    LedgerNode owner("owner", "a", storeAddress);
    LedgerNode keeper("keeper-1", "b", storeAddress);
    LedgerNode other("keeper-2", "c", storeAddress);
    introduce({&owner, &keeper, &other});
    deployment.setStoreFault({{"outage", true}});

    RandomSource random(20261204);
    std::map<std::string, Microunits> committed;
    for (int i = 1; i <= 20; ++i) {
        const BillingRecord record = depositRecord(random, i);
        std::future<void> durable = owner.commit(record);
        // The first commit dials the links and may find them too slow once, which passes the keepers over for 1 s.
        REQUIRE(isReady(durable, std::chrono::seconds(5)));
        committed[record.requestId()] = record.amount();
    }
    const std::string unfinished = makeRequestId(wallNow(), random);
    owner.run([&] { owner.ledger.open({unfinished, "workshop", "norrland"}); });
    const BillingRecord last = depositRecord(random, 21);
    std::future<void> durable = owner.commit(last);
    REQUIRE(isReady(durable, std::chrono::seconds(5)));
    committed[last.requestId()] = last.amount();

    owner.kill();
    other.kill();
    deployment.setStoreFault({{"outage", false}});
    CHECK(deployment.billingRecords().empty());
    keeper.run([&] { keeper.ledger.settleDeadOwners([](const std::string &name) { return name == "owner"; }); });
    REQUIRE(waitUntil([&] { return !deployment.billingRecords().empty(); }));
    const auto records = deployment.billingRecords();
    CHECK(records.size() == committed.size() + 1);
    for (const auto &[id, amount] : committed) {
        REQUIRE(records.contains(id));
        CHECK(records.at(id).at("amount") == amount);
    }
    REQUIRE(records.contains(unfinished));
    CHECK(records.at(unfinished).at("outcome") == "interrupted");
    CHECK(records.at(unfinished).at("amount") == 0);
}

// Guards against an answer that goes out with a single copy of its record in memory while the store could take it.
TEST_CASE("With one peer the answer waits for the store")
{
    Deployment deployment;
    LedgerNode owner("owner", "a", deployment.store().address());
    LedgerNode keeper("keeper-1", "b", deployment.store().address());
    introduce({&owner, &keeper});
    RandomSource random(20261204);
    const BillingRecord record = depositRecord(random, 7);
    std::future<void> durable = owner.commit(record);
    REQUIRE(isReady(durable, std::chrono::seconds(5)));
    CHECK(deployment.billingRecords().contains(record.requestId()));
}
