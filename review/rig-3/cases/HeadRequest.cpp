#include "../Deployment.h"

using namespace Rig;

namespace
{
constexpr int rounds = 6;
} // namespace

// A client asks for the head of an answer on a kept connection, and then for an answer.
int main(int argc, char **argv)
{
    Deployment deployment(argc, argv);
    const Json tenants = {{{"name", "tenant-a"}, {"apiKeys", {"key-a"}}, {"priority", 1}}};
    deployment.start(3, configuration(1, {route("lookup", "idempotent", 1500, 3)}, {"order-desk"}, tenants));
    pause(std::chrono::seconds(4));

    int broken = 0;
    const std::string method = deployment.hasTrouble ? "HEAD" : "GET";
    for (int number = 0; number < rounds; ++number) {
        const auto connection = Connection::open(deployment.entries[static_cast<std::size_t>(number) % deployment.entries.size()]->port());
        const std::string first = "first-" + std::to_string(number);
        const std::string second = "second-" + std::to_string(number);
        connection->send(requestText(method, "/lookup/1", first, "key-a", ""));
        const Answer answer = connection->readAnswer(std::chrono::seconds(3), method);
        deployment.record.line(method, " ", first, ": answer ", answer.status, " '", answer.statusLine, "'");
        connection->send(requestText("GET", "/lookup/1", second, "key-a", ""));
        const Answer next = connection->readAnswer(std::chrono::seconds(3));
        const bool isAnswer = next.status != 0 && header(next.headers, "X-Attempt-Id") == second;
        broken += next.statusLine.empty() || isAnswer ? 0 : 1;
        deployment.record.line("GET ",
                               second,
                               " on the same connection: ",
                               (isAnswer ? "its answer, " : "no answer in the protocol, "),
                               "'",
                               next.statusLine,
                               "'; the first request ran ",
                               deployment.book.of(first).size(),
                               " times");
    }
    deployment.record.line(broken, " of ", rounds, " connections carried bytes that are no answer in the protocol");
    deployment.finish(broken > 0 ? 1 : 0);
}
