#include "../Deployment.h"

using namespace Rig;

namespace
{
constexpr int requestsPerEntry = 4;

/// Sends orders with a key to all entries. Returns how many of them ran.
int sendOrders(Deployment &deployment, const std::string &phase, const std::string &key)
{
    int ran = 0;
    for (std::size_t entry = 0; entry < deployment.entries.size(); ++entry) {
        for (int number = 0; number < requestsPerEntry; ++number) {
            const std::string id = joined(phase, "-", key, "-", entry, "-", number);
            const auto connection = Connection::open(deployment.entries[entry]->port());
            connection->send(requestText("POST", "/orders/1", id, key, "signet"));
            const Answer answer = connection->readAnswer(std::chrono::seconds(2));
            const bool hasRun = !deployment.book.of(id).empty();
            deployment.record.line(
                "order ", id, " with key '", key, "' sent to entry ", entry + 1, ": answer ", answer.status, (hasRun ? ", has run" : ", has not run"));
            ran += hasRun ? 1 : 0;
        }
    }
    return ran;
}
} // namespace

// The operator takes away the last key by removing its tenant; without the disruption another tenant stays.
int main(int argc, char **argv)
{
    Deployment deployment(argc, argv);
    const Json removed = {{"name", "tenant-a"}, {"apiKeys", {"key-a"}}, {"priority", 1}};
    const Json kept = {{"name", "tenant-b"}, {"apiKeys", {"key-b"}}, {"priority", 1}};
    const std::vector<Json> routes {route("orders", "non_idempotent", 1500, 1)};
    const Json before = deployment.hasTrouble ? Json::array({removed}) : Json::array({removed, kept});
    const Json after = deployment.hasTrouble ? Json::array() : Json::array({kept});
    deployment.start(3, configuration(1, routes, {"order-desk"}, before));
    pause(std::chrono::seconds(4));

    const int early = sendOrders(deployment, "before", "never-issued");
    sendOrders(deployment, "before", "key-a");
    const std::uint64_t revision = deployment.store.put("config", "main", configuration(2, routes, {"order-desk"}, after));
    deployment.record.line("operator: configuration 2 without tenant-a acknowledged at revision ", revision, ", tenants ", after.dump());
    pause(std::chrono::seconds(6));
    const int unknown = sendOrders(deployment, "after", "never-issued");
    const int revoked = sendOrders(deployment, "after", "key-a");
    const int keyless = sendOrders(deployment, "after", "");
    deployment.record.line("ran with a key that no configuration ever held: ",
                           early,
                           " before, ",
                           unknown,
                           " after; ran 6 s after the ack with the key that was taken away: ",
                           revoked,
                           "; without a key: ",
                           keyless);
    deployment.finish(early + unknown > 0 ? 1 : 0);
}
