#include "LedgerService.h"

#include "LibCore/Log.h"
#include "LibLedger/RecordCodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr Duration flushPollInterval = std::chrono::milliseconds(20);
}

LedgerService::LedgerService(Asio::io_context &context, ObjectStoreClient &store, RouterStatus &status, std::string incarnation, std::string failureDomain)
    : context(context)
    , store(store)
    , status(status)
    , journal(std::move(incarnation), std::move(failureDomain), JournalSettings())
    , random(systemSeededRandomSource())
    , timer(context)
{
}

void LedgerService::setTransport(JournalTransport newTransport)
{
    this->transport = std::move(newTransport);
}

void LedgerService::open(OpenRequest request)
{
    this->journal.open(std::move(request), monotonicNow());
    this->advanceJournal();
}

Asio::awaitable<void> LedgerService::commit(BillingRecord record)
{
    const std::string requestId = record.requestId();
    auto waiter = std::make_shared<Asio::steady_timer>(this->context, Asio::steady_timer::time_point::max());
    this->commitWaiters[requestId] = waiter;
    this->journal.append(std::move(record), monotonicNow());
    this->advanceJournal();
    while (this->commitWaiters.contains(requestId)) {
        boost::system::error_code ignored;
        co_await waiter->async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
}

void LedgerService::updatePeers(std::vector<JournalPeer> live)
{
    this->journal.updatePeers(std::move(live), monotonicNow());
    this->advanceJournal();
}

void LedgerService::settleDeadOwners(const std::function<bool(const std::string &)> &isDead)
{
    for (const std::string &owner : this->replicas.owners()) {
        if (!isDead(owner)) {
            continue;
        }
        const std::vector<BillingRecord> records = this->replicas.recover(owner);
        logEvent(LogLevel::Info, "journal.owner_settled", {{"owner", owner}, {"records", records.size()}});
        this->journal.adopt(records);
    }
    this->advanceJournal();
}

void LedgerService::receiveAppend(const JournalAppend &message)
{
    const auto ack = this->replicas.receive(message);
    if (ack && this->transport.acknowledge) {
        this->transport.acknowledge(message.owner, *ack);
    }
}

void LedgerService::receiveDrop(const JournalDrop &message)
{
    const auto ack = this->replicas.receive(message);
    if (ack && this->transport.acknowledge) {
        this->transport.acknowledge(message.owner, *ack);
    }
}

void LedgerService::receiveAck(const std::string &holder, const JournalAck &message)
{
    this->journal.receiveAck(holder, message);
    this->advanceJournal();
}

void LedgerService::advanceJournal()
{
    JournalActions actions = this->journal.advance(monotonicNow());
    for (const AddressedAppend &append : actions.appends) {
        if (this->transport.append) {
            this->transport.append(append.holder, append.message);
        }
    }
    for (const AddressedDrop &drop : actions.drops) {
        if (this->transport.drop) {
            this->transport.drop(drop.holder, drop.message);
        }
    }
    for (LedgerBatch &batch : actions.writes) {
        Asio::co_spawn(this->context, this->writeBatch(std::move(batch)), Asio::detached);
    }
    for (const std::string &requestId : actions.reducedReplication) {
        logEvent(LogLevel::Warning, "journal.reduced_replication", {{"request_id", requestId}});
    }
    for (const std::string &requestId : actions.durable) {
        const auto found = this->commitWaiters.find(requestId);
        if (found != this->commitWaiters.end()) {
            auto waiter = found->second;
            this->commitWaiters.erase(found);
            waiter->cancel();
        }
    }
    this->status.setLedgerAccepting(this->journal.admission(this->replicas.memoryBytes()) == JournalAdmission::Accepted);
    this->scheduleAdvance();
}

void LedgerService::scheduleAdvance()
{
    const MonotonicTime due = this->journal.nextDue();
    if (due == this->timerDue) {
        return;
    }
    this->timerDue = due;
    if (due == MonotonicTime::max()) {
        this->timer.cancel();
        return;
    }
    this->timer.expires_at(due);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->timerDue = MonotonicTime::max();
            this->advanceJournal();
        }
    });
}

Asio::awaitable<void> LedgerService::writeBatch(LedgerBatch batch)
{
    const std::string body = encodeBatch(batch.records);
    const auto written = co_await this->store.write(batch.name, body, createOnly());
    BatchWriteResult result = BatchWriteResult::Failed;
    if (written) {
        result = BatchWriteResult::Stored;
    } else if (written.error().failure == StoreFailure::Conflict) {
        result = co_await this->resolveNameConflict(batch, body);
    }
    if (result != BatchWriteResult::Stored) {
        logEvent(LogLevel::Warning, "ledger.write_failed", {{"batch", batch.name}, {"reason", written ? "" : written.error().message}});
    }
    this->journal.finishWrite(batch.name, result, monotonicNow(), this->random);
    this->advanceJournal();
}

// A name conflict also occurs if an earlier write of the same batch took effect but its response was lost, so the contents are
// compared.
Asio::awaitable<BatchWriteResult> LedgerService::resolveNameConflict(const LedgerBatch &batch, const std::string &body)
{
    const auto stored = co_await this->store.read(batch.name);
    if (!stored) {
        co_return BatchWriteResult::Failed;
    }
    const bool isSame = nlohmann::json::parse(stored.value().value, nullptr, false) == nlohmann::json::parse(body, nullptr, false);
    co_return isSame ? BatchWriteResult::Stored : BatchWriteResult::NameTaken;
}

Asio::awaitable<bool> LedgerService::flush(Duration limit)
{
    const MonotonicTime deadline = monotonicNow() + limit;
    while (!this->journal.isDrained() && monotonicNow() < deadline) {
        this->journal.requestFlush();
        this->advanceJournal();
        Asio::steady_timer poll(this->context, flushPollInterval);
        co_await poll.async_wait(Asio::use_awaitable);
    }
    co_return this->journal.isDrained();
}

std::size_t LedgerService::memoryBytes() const
{
    return this->journal.memoryBytes() + this->replicas.memoryBytes();
}

} // namespace Godwitfork
