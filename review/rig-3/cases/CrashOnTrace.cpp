#include "../Deployment.h"

using namespace Rig;

namespace
{
constexpr int orderClients = 12;
constexpr int allowedCuts = 3;
constexpr Milliseconds work(400);
} // namespace

// While clients send orders, one client sends each entry one TRACE request with a body; without the disruption it is a POST request.
int main(int argc, char **argv)
{
    Deployment deployment(argc, argv);
    const Json tenants = {{{"name", "tenant-a"}, {"apiKeys", {"key-a"}}, {"priority", 1}}};
    const Json first = configuration(1, {route("orders", "non_idempotent", 1500, 1), route("lookup", "idempotent", 1500, 3)}, {"order-desk"}, tenants);
    deployment.start(3, first, [](ReplicaSettings &settings) { settings.work = work; });
    pause(std::chrono::seconds(4));

    OrderLoad load(deployment, orderClients);
    pause(std::chrono::seconds(3));
    const std::string method = deployment.hasTrouble ? "TRACE" : "POST";
    for (std::size_t i = 0; i < deployment.entries.size(); ++i) {
        const auto connection = Connection::open(deployment.entries[i]->port());
        connection->send(requestText(method, "/lookup/1", "probe-" + std::to_string(i + 1), "key-a", "hello"));
        const Answer answer = connection->readAnswer(std::chrono::seconds(3));
        deployment.record.line(method,
                               " /lookup/1 with a body of 5 bytes, id probe-",
                               i + 1,
                               ", sent to entry ",
                               i + 1,
                               ": ",
                               (answer.status == 0 ? "no answer" : "answer " + std::to_string(answer.status)));
        pause(std::chrono::seconds(2));
    }
    const int cuts = load.stop();
    int ended = 0;
    for (std::size_t i = 0; i < deployment.entries.size(); ++i) {
        ended += deployment.entries[i]->isRunning() ? 0 : 1;
        deployment.record.line("process of entry ", i + 1, ": ", deployment.entries[i]->end());
    }
    deployment.record.line(
        cuts, " orders on kept connections were passed on and cut without an answer, ", allowedCuts, " are allowed; ", ended, " processes ended by themselves");
    deployment.finish(cuts > allowedCuts ? 1 : 0);
}
