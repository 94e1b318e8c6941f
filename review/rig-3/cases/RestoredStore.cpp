#include "../Deployment.h"

#include <thread>

using namespace Rig;

namespace
{
constexpr Milliseconds copyAge(2000);
constexpr Milliseconds away(3000);
/// Bounds of the deployment: `configApplyMs` and the most by which an unstable core stretches it, `maxSkewMs`.
constexpr Milliseconds applied(2000);
constexpr Milliseconds stretch(5000);
constexpr Milliseconds reserve(1500);
constexpr int entryCount = 3;
constexpr int requestsPerEntry = 5;
constexpr int moreReplicas = 27;
} // namespace

// The store returns from a copy; right after that the operator takes a key away.
int main(int argc, char **argv)
{
    Deployment deployment(argc, argv);
    const Json revoked = {{"name", "tenant-a"}, {"apiKeys", {"key-a"}}, {"priority", 1}};
    const Json kept = {{"name", "tenant-b"}, {"apiKeys", {"key-b"}}, {"priority", 1}};
    const std::vector<Json> routes {route("orders", "non_idempotent", 1500, 1)};
    const Json before = configuration(1, routes, {"order-desk"}, {revoked, kept});
    const Json after = configuration(2, routes, {"order-desk"}, Json::array({kept}));
    deployment.start(entryCount, before);
    for (int i = 0; i < moreReplicas; ++i) {
        ReplicaSettings settings;
        settings.id = "i-more-" + std::to_string(i);
        settings.service = "order-desk";
        settings.zone = "at-west-a";
        deployment.replicas.push_back(std::make_unique<Replica>(std::move(settings), deployment.store, deployment.book));
        deployment.replicas.back()->report();
        deployment.replicas.back()->startReports(Milliseconds(1200));
        pause(Milliseconds(40));
    }
    pause(std::chrono::seconds(4));

    if (deployment.hasTrouble) {
        deployment.store.copy();
        const std::uint64_t copied = deployment.store.revision();
        pause(copyAge);
        deployment.record.line("store leaves at revision ", deployment.store.revision(), ", the copy is at ", copied);
        deployment.store.leave();
        pause(away);
        deployment.store.restore();
        deployment.record.line("store is back from the copy, era ", deployment.store.era());
        deployment.store.put("config", "main", before);
        for (const auto &replica : deployment.replicas) {
            replica->report();
        }
        deployment.record.line("operator and replicas wrote again, revision ", deployment.store.revision());
    }
    const std::uint64_t revision = deployment.store.put("config", "main", after);
    deployment.record.line("operator: configuration 2 without tenant-a acknowledged at revision ", revision);
    pause(applied + stretch + reserve);
    deployment.record.line("the store is at revision ", deployment.store.revision());

    int ran = 0;
    for (std::size_t entry = 0; entry < deployment.entries.size(); ++entry) {
        for (int number = 0; number < requestsPerEntry; ++number) {
            const std::string id = "late-" + std::to_string(entry) + "-" + std::to_string(number);
            const auto connection = Connection::open(deployment.entries[entry]->port());
            connection->send(requestText("POST", "/orders/1", id, "key-a", "signet"));
            const Answer answer = connection->readAnswer(std::chrono::seconds(2));
            const bool hasRun = !deployment.book.of(id).empty();
            ran += hasRun ? 1 : 0;
            deployment.record.line("order ",
                                   id,
                                   " with the key that was taken away, sent to entry ",
                                   entry + 1,
                                   ": answer ",
                                   answer.status,
                                   (hasRun ? ", has run" : ", has not run"));
        }
    }
    deployment.record.line(ran, " orders ran that only the older configuration allows");
    deployment.finish(ran > 0 ? 1 : 0);
}
