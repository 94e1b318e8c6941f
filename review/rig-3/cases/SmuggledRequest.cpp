#include "../Deployment.h"

using namespace Rig;

namespace
{
constexpr int attempts = 5;

std::string chunked(const std::string &body)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx", body.size());
    return std::string(size) + "\r\n" + body + "\r\n0\r\n\r\n";
}
} // namespace

// A client sends a request whose body is the text of another one, with a transfer coding that the entry does not know.
int main(int argc, char **argv)
{
    Deployment deployment(argc, argv);
    const Json tenants = {{{"name", "tenant-a"}, {"apiKeys", {"key-a"}}, {"priority", 1}}};
    Json open = route("desk", "non_idempotent", 1500, 1);
    open["public"] = true;
    deployment.start(3, configuration(1, {route("orders", "non_idempotent", 1500, 1), open}, {"order-desk"}, tenants));
    pause(std::chrono::seconds(2));

    int smuggled = 0;
    int changed = 0;
    const std::string coding = deployment.hasTrouble ? "gzip" : "chunked";
    for (int number = 0; number < attempts; ++number) {
        const std::string outer = "outer-" + std::to_string(number);
        const std::string inner = "inner-" + std::to_string(number);
        const std::string text = requestText("POST", "/desk/pay", inner, "", "signet");
        const std::string head = joined("POST /orders/letter HTTP/1.1\r\nHost: ",
                                        host,
                                        "\r\nX-Attempt-Id: ",
                                        outer,
                                        "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-a\r\nTransfer-Encoding: ",
                                        coding,
                                        "\r\n\r\n");
        const auto connection = Connection::open(deployment.entries[static_cast<std::size_t>(number) % deployment.entries.size()]->port());
        connection->send(head + (deployment.hasTrouble ? text : chunked(text)));
        deployment.record.line("sent one request, id ", outer, ", Transfer-Encoding: ", coding, ", its body is the text of a request with id ", inner);
        for (Answer answer = connection->readAnswer(std::chrono::seconds(2)); answer.status != 0; answer = connection->readAnswer(std::chrono::seconds(2))) {
            deployment.record.line("answer ", answer.status, " with X-Attempt-Id ", header(answer.headers, "X-Attempt-Id"));
        }
        smuggled += deployment.book.of(inner).empty() ? 0 : 1;
        for (const Run &run : deployment.book.of(outer)) {
            changed += run.body == text ? 0 : 1;
        }
    }
    deployment.record.line("of ", attempts, " requests, ", smuggled, " had a request smuggled inside them that ran, ", changed, " ran with another body");
    deployment.finish(smuggled + changed > 0 ? 1 : 0);
}
