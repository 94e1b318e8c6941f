#include "../Deployment.h"

#include <algorithm>
#include <thread>

using namespace Rig;

namespace
{
constexpr int streams = 3;
constexpr int eventsOfStream = 24;
constexpr Milliseconds streamTime(3600);
constexpr Milliseconds preempted(5200);
constexpr Milliseconds allowedOverlap(400);
constexpr Milliseconds end(14000);
} // namespace

// An engine preempts a stream in the middle and reads it in again; it works on when its connection is closed.
int main(int argc, char **argv)
{
    Deployment deployment(argc, argv);
    const Json tenants = {{{"name", "tenant-a"}, {"apiKeys", {"key-a"}}, {"priority", 1}}};
    Json draft = route("draft", "streaming", 12000, 3);
    draft["resumable"] = true;
    draft["targetLatencyMs"] = 2000;
    draft["targetItlMs"] = 1200;
    Json first = configuration(1, {draft}, {"order-desk"}, tenants);
    first["services"][0]["engine"] = {{"slots", 64}, {"kvCapacity", 492709}, {"stride", 5}, {"models", {{{"name", "m0"}, {"cost", 0.0074}}}}};
    deployment.start(3, first, [&](ReplicaSettings &settings) {
        settings.work = streamTime;
        settings.events = eventsOfStream;
        settings.ignoresClose = true;
        if (deployment.hasTrouble) {
            settings.preemption = [](const std::string &, std::size_t runsBefore) { return runsBefore == 0 ? preempted : Milliseconds(0); };
        }
    });
    pause(std::chrono::seconds(4));

    std::vector<std::thread> threads;
    threads.reserve(streams);
    for (int number = 0; number < streams; ++number) {
        threads.emplace_back([&, number] {
            const std::string id = "draft-" + std::to_string(number);
            const auto connection = Connection::open(deployment.entries[static_cast<std::size_t>(number) % deployment.entries.size()]->port());
            const std::string prompt =
                "X-Model: m0\r\nX-Token-Usage: 3000,120\r\nX-Prompt-Prefix: 5c1e07a2:2500,e4402b7d" + std::to_string(number) + ":500\r\n";
            connection->send(requestText("POST", "/draft/1", id, "key-a", "", prompt));
            const Answer answer = connection->readAnswer(end);
            deployment.record.line("draft ", id, ": answer ", answer.status, (answer.isComplete ? ", complete" : ", broken off"));
        });
        pause(Milliseconds(200));
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    pause(std::chrono::seconds(6));
    int broken = 0;
    for (int number = 0; number < streams; ++number) {
        const std::string id = "draft-" + std::to_string(number);
        const std::vector<Run> runs = deployment.book.of(id);
        for (std::size_t i = 1; i < runs.size(); ++i) {
            const auto overlap = std::chrono::duration_cast<Milliseconds>(runs[i - 1].ended - runs[i].begun);
            deployment.record.line("draft ",
                                   id,
                                   " went on at ",
                                   runs[i].replica,
                                   " while ",
                                   runs[i - 1].replica,
                                   " worked on it for ",
                                   overlap.count(),
                                   " ms more, ",
                                   allowedOverlap.count(),
                                   " ms are allowed");
            broken += overlap > allowedOverlap ? 1 : 0;
        }
    }
    deployment.record.line(broken, " of ", streams, " streams went on while the replica before still worked on them");
    deployment.finish(broken > 0 ? 1 : 0);
}
