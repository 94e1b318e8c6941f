#include "LibLedger/BatchQueue.h"
#include "LibLedger/Bill.h"
#include "LibLedger/Forecast.h"
#include "LibLedger/RecordCodec.h"
#include "LibLedger/ReplicaPlacement.h"
#include "Records.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

using namespace Godwitfork;

namespace
{
const WallTime december4 {std::chrono::sys_days(std::chrono::year(2026) / 12 / 4)};

BillingRecord arbitraryRecord(RandomSource &random)
{
    const std::string id = makeRequestId(december4 + std::chrono::seconds(random() % 100000), random);
    const auto outcome = static_cast<RequestOutcome>(random() % 4);
    const bool charged = outcome >= RequestOutcome::Aborted;
    BillingRecordBuilder builder;
    builder.requestId(id).account("account-" + std::to_string(random() % 3)).site("at-west").outcome(outcome);
    builder.amount(charged ? static_cast<Microunits>(random() % 100000) : 0).houseCost(static_cast<Microunits>(random() % 1000));
    for (std::uint64_t step = random() % 3; step > 0; --step) {
        builder.step({"pool", std::to_string(step), "10.0.0.1:80", static_cast<std::int64_t>(random() % 5000), 7, 11});
    }
    return builder.admitted(admissionSecondOf(id)).build().value();
}
} // namespace

// Guards against a field that is lost or changed when a record or message is encoded and decoded.
TEST_CASE("Decoding an encoded record or message returns the original")
{
    CHECK(rc::check("round trip", [](std::uint64_t seed) {
        RandomSource random(seed);
        const BillingRecord record = arbitraryRecord(random);
        RC_ASSERT(recordFromJson(toJson(record)).value() == record);
        RC_ASSERT(decodeBatch(encodeBatch({std::make_shared<const BillingRecord>(record)})).value() == std::vector {record});
        const JournalAppend append {"i-1", 3, 4, 9, {openEntry(5, {record.requestId(), "a", "s"}), recordEntry(9, record)}, false};
        RC_ASSERT(decodeAppend(encodeAppend(append)).value() == append);
    }));
    const JournalAck ack {"i-1", 7, 8, ReplicaRelease::Release};
    CHECK(decodeAck(encodeAck(ack)).value() == ack);
    const JournalDrop drop {"i-1", 7, 8, ReplicaRelease::Keep};
    CHECK(decodeDrop(encodeDrop(drop)).value() == drop);
}

// Guards against a crash or a partly filled record on malformed input from a peer or a store object.
TEST_CASE("Malformed input is rejected with an error")
{
    CHECK(decodeBatch("{").error().code == "malformed_record");
    CHECK(decodeBatch(R"({"records":[{"request_id":5}]})").error().code == "malformed_record");
    CHECK(decodeAck(encodeDrop({"i-1", 1, 1, ReplicaRelease::Keep})).error().code == "malformed_message");
    CHECK(rc::check("random bytes", [](const std::vector<std::uint8_t> &bytes) { RC_ASSERT(!decodeAppend(bytes)); }));
}

// Guards against charging a client account for a request that failed or was interrupted on the server side.
TEST_CASE("The builder enforces the charging rules")
{
    RandomSource random(1);
    BillingRecordBuilder builder;
    builder.requestId(makeRequestId(december4, random)).account("a").amount(5);
    CHECK(builder.outcome(RequestOutcome::Failed).build().error().code == "invalid_record");
    CHECK(builder.outcome(RequestOutcome::Interrupted).build().error().code == "invalid_record");
    CHECK(builder.outcome(RequestOutcome::Aborted).build().has_value());
    CHECK(builder.amount(-1).build().error().code == "invalid_record");
    CHECK(builder.amount(1).requestId("short").build().error().code == "invalid_record");
}

// Guards against a bill that depends on the order or the number of times in which records are read, or that counts a request
// identity twice.
TEST_CASE("The bill counts each request identity once")
{
    CHECK(rc::check("replays", [](std::uint64_t seed) {
        RandomSource random(seed);
        std::vector<BillingRecord> records;
        std::map<std::string, BillingRecord> greatest;
        for (int i = 0; i < 20; ++i) {
            const BillingRecord first = arbitraryRecord(random);
            BillingRecordBuilder again;
            again.requestId(first.requestId()).account(first.account()).site(first.site()).admitted(first.admitted());
            const BillingRecord second = again.outcome(RequestOutcome::Completed).amount(17).build().value();
            records.insert(records.end(), {first, second, first});
            greatest.emplace(first.requestId(), first.outcome() == RequestOutcome::Completed ? std::max(first, second) : second);
        }
        std::ranges::shuffle(records, random);
        RecordSet set;
        std::ranges::for_each(records, [&set](const BillingRecord &record) { set.add(record); });
        Microunits billed = 0;
        std::int64_t requests = 0;
        for (int account = 0; account < 3; ++account) {
            const Bill bill = set.bill("account-" + std::to_string(account), monthOf(december4));
            billed += bill.amount;
            requests += bill.requests;
        }
        Microunits expected = 0;
        for (const auto &[id, record] : greatest) {
            expected += record.amount();
        }
        RC_ASSERT(requests == 20);
        RC_ASSERT(billed == expected);
    }));
}

// Guards against a record at a month boundary that appears on two bills or on none.
TEST_CASE("Billing periods are calendar months in UTC")
{
    const BillingPeriod december = monthOf(december4);
    CHECK(december.from == WallTime(std::chrono::sys_days(std::chrono::year(2026) / 12 / 1)));
    CHECK(december.until == WallTime(std::chrono::sys_days(std::chrono::year(2027) / 1 / 1)));
    RandomSource random(1);
    RecordSet set;
    set.add(completedRecord(makeRequestId(december.until - std::chrono::microseconds(1), random), 3));
    set.add(completedRecord(makeRequestId(december.until, random), 4));
    CHECK(set.bill("ljungberg", december).amount == 3);
    CHECK(set.bill("ljungberg", monthOf(december.until)).amount == 4);
    CHECK(set.dailySpend("ljungberg", december).back() == 3);
}

// Guards against a prediction interval whose coverage differs from the stated 95 %.
TEST_CASE("The forecast's interval contains the bill in 93 to 97 % of the months")
{
    RandomSource random(20261204);
    std::normal_distribution<double> noise(0, 1);
    int covered = 0;
    constexpr int months = 2000;
    for (int month = 0; month < months; ++month) {
        const auto spendOf = [&](int day) { return std::llround((day % 7 < 5 ? 1000000.0 : 300000.0) + 100000.0 * noise(random)); };
        SpendHistory history;
        for (int day = 0; day < 28; ++day) {
            history.completeDays.push_back(spendOf(day));
        }
        history.remainingDays = 20;
        history.spentThisMonth = 5000000;
        Microunits bill = history.spentThisMonth;
        for (int day = 28; day < 48; ++day) {
            bill += spendOf(day);
        }
        const BillForecast forecast = forecastMonth(history);
        covered += forecast.low <= bill && bill <= forecast.high ? 1 : 0;
    }
    INFO(covered << " of " << months);
    CHECK(covered > months * 93 / 100);
    CHECK(covered < months * 97 / 100);
    CHECK(forecastMonth({{}, 8, 20}) == BillForecast {8, 8, 8});
    CHECK(forecastMonth({{5, 5, 5}, 15, 2}) == BillForecast {25, 25, 25});
}

// Guards against both replicas being placed in the owner's failure domain, where one power failure would destroy all copies.
TEST_CASE("Replicas are placed in other failure domains first")
{
    const auto order = replicaHolderOrder("owner", "a", {{"p1", "a"}, {"owner", "b"}, {"p2", "b"}, {"p3", "a"}, {"p4", "c"}});
    REQUIRE(order.size() == 4);
    CHECK(std::set<std::string> {order[0], order[1]} == std::set<std::string> {"p2", "p4"});
}

// Guards against a second object with the same records after a lost response, and against a burst of writes to a store that
// has just failed.
TEST_CASE("A batch keeps its name until it is stored")
{
    RandomSource random(5);
    BatchQueue queue("i-1", 1000);
    std::vector<SharedRecord> records;
    for (int i = 0; i < 10; ++i) {
        records.push_back(std::make_shared<const BillingRecord>(completedRecord(makeRequestId(december4 + std::chrono::minutes(i * 10), random), i)));
    }
    queue.add(records);
    const MonotonicTime start {};
    const auto first = queue.takeDue(start);
    REQUIRE(first.size() > 2);
    CHECK(first.front().name == "ledger/" + hourBucketOf(records.front()->requestId()) + "/i-1-1");
    for (const LedgerBatch &batch : first) {
        CHECK(encodeBatch(batch.records).size() < 1200);
        CHECK(queue.finish(batch.name, BatchWriteResult::Failed, start, random).empty());
    }
    CHECK_FALSE(queue.isStoreReachable());
    const auto probe = queue.takeDue(start + std::chrono::seconds(10));
    REQUIRE(probe.size() == 1);
    CHECK(probe.front().name == first.front().name);
    CHECK(queue.nextDue() == MonotonicTime::max());
    CHECK(queue.finish(probe.front().name, BatchWriteResult::Stored, start, random).size() == probe.front().records.size());
    CHECK(queue.takeDue(start + std::chrono::seconds(10)).size() == first.size() - 1);
}
