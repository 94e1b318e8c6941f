#include "Deployment.h"

#include <cstdlib>
#include <cstring>

namespace Rig
{

namespace
{
constexpr int cannotRun = 2;
constexpr int replicaCount = 3;
constexpr Milliseconds reportInterval(1200);
constexpr Milliseconds reconnectPause(500);

const char *argument(int argc, char **argv, int index)
{
    return index < argc ? argv[index] : ".";
}

bool readTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}
} // namespace

Deployment::Deployment(int argc, char **argv)
    : record(std::string(argument(argc, argv, 2)) + "/record.txt")
    , book(this->record)
    , hasTrouble(readTrouble())
    , program(argument(argc, argv, 1))
    , folder(argument(argc, argv, 3))
{
    this->record.line(this->hasTrouble ? "with the disruption" : "without the disruption");
}

void Deployment::start(int entryCount, const Json &firstConfiguration, const std::function<void(ReplicaSettings &)> &adapt)
{
    const std::vector<std::string> zones {"at-west-a", "at-west-b", "at-west-c"};
    this->store.put("config", "main", firstConfiguration);
    for (int i = 0; i < replicaCount; ++i) {
        ReplicaSettings settings;
        settings.id = "i-" + std::to_string(i + 1);
        settings.service = "order-desk";
        settings.zone = zones[static_cast<std::size_t>(i)];
        if (adapt) {
            adapt(settings);
        }
        this->replicas.push_back(std::make_unique<Replica>(std::move(settings), this->store, this->book));
        this->replicas.back()->report();
        this->replicas.back()->startReports(reportInterval);
    }
    std::vector<int> peers;
    peers.reserve(static_cast<std::size_t>(entryCount));
    for (int i = 0; i < entryCount; ++i) {
        peers.push_back(freePort());
    }
    for (int i = 0; i < entryCount; ++i) {
        const auto index = static_cast<std::size_t>(i);
        this->entries.push_back(std::make_unique<Entry>(
            this->program, this->folder, "edge-" + std::to_string(i + 1), zones[index % zones.size()], peers[index], peers, this->store.port()));
    }
    for (const auto &entry : this->entries) {
        if (!entry->waitUntilReady(std::chrono::seconds(15))) {
            this->record.line("an entry did not get ready");
            this->finish(cannotRun);
        }
    }
    this->record.line("all entries are ready");
}

void Deployment::finish(int result)
{
    this->record.line(result == 0 ? "result: the rule held" : result == 1 ? "result: the rule was broken" : "result: the case could not run");
    this->entries.clear();
    std::_Exit(result);
}

OrderLoad::OrderLoad(Deployment &deployment, int clients) : deployment(deployment)
{
    for (int client = 0; client < clients; ++client) {
        this->threads.emplace_back([this, client] { this->run(client); });
    }
}

void OrderLoad::run(int client)
{
    const std::size_t entry = static_cast<std::size_t>(client) % this->deployment.entries.size();
    const int port = this->deployment.entries[entry]->port();
    auto connection = Connection::open(port);
    for (int number = 0; !this->isOver; ++number) {
        const std::string id = "order-" + std::to_string(client) + "-" + std::to_string(number);
        const bool isSent = connection->send(requestText("POST", "/orders/1", id, "key-a", "signet"));
        const Answer answer = isSent ? connection->readAnswer(std::chrono::seconds(3)) : Answer();
        const bool isCut = !isSent || (answer.status == 0 && answer.isClosed);
        this->deployment.record.line("order ",
                                     id,
                                     " sent to entry ",
                                     entry + 1,
                                     " on a kept connection: ",
                                     (isCut                    ? "closed without an answer"
                                          : answer.status == 0 ? "no answer"
                                                               : "answer " + std::to_string(answer.status)));
        {
            const std::lock_guard lock(this->mutex);
            this->orders.push_back({id, isCut});
        }
        if (answer.status == 0) {
            pause(reconnectPause);
            connection = Connection::open(port);
            if (!connection->isOpen()) {
                return;
            }
        }
    }
}

int OrderLoad::stop()
{
    this->isOver = true;
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    int cuts = 0;
    for (const Order &order : this->orders) {
        cuts += order.isCut && !this->deployment.book.of(order.id).empty() ? 1 : 0;
    }
    return cuts;
}

} // namespace Rig
