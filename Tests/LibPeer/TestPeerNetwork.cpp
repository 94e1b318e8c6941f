#include "LibPeer/PeerNetwork.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace Godwitfork;
namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

namespace
{
constexpr Duration patience = std::chrono::seconds(5);

/// A network that records what it receives.
class Node
{
public:
    explicit Node(const std::string &name, const std::string &key = "shared key", std::uint16_t listenPort = 0)
    {
        PeerNetworkOptions options;
        options.self = name;
        options.sharedKey = key;
        options.listenPort = listenPort;
        PeerHandlers handlers;
        handlers.message = [this](const std::string &sender, PeerMessage message) {
            const std::lock_guard lock(this->mutex);
            this->received.emplace_back(sender, std::move(message));
            this->changed.notify_all();
        };
        this->network = std::make_unique<PeerNetwork>(options, handlers);
    }

    bool waitForMessages(std::size_t count, Duration limit = patience)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, limit, [&] { return this->received.size() >= count; });
    }

    void knows(const std::string &name, std::uint16_t port) const
    {
        this->network->setPeers({{name, "127.0.0.1", port}});
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::pair<std::string, PeerMessage>> received;
    std::unique_ptr<PeerNetwork> network;
};

template<typename Condition>
bool waitUntil(Condition condition, Duration limit = patience)
{
    const MonotonicTime end = monotonicNow() + limit;
    while (!condition()) {
        if (monotonicNow() > end) {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

/// TCP relay that can stop passing bytes on open connections while new ones work.
class FreezingRelay
{
public:
    explicit FreezingRelay(std::uint16_t target) : acceptor(this->context, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0)), target(target)
    {
        this->thread = std::thread([this] { this->acceptLoop(); });
    }

    ~FreezingRelay()
    {
        this->stopping = true;
        Tcp::socket wake(this->context);
        wake.connect(this->acceptor.local_endpoint());
        this->thread.join();
        for (auto &pump : this->pumps) {
            pump.join();
        }
    }

    std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

    void freezeOpenConnections()
    {
        this->frozenBelow = this->accepted.load();
    }

    std::atomic<int> accepted = 0;

private:
    void acceptLoop()
    {
        while (true) {
            auto near = std::make_shared<Tcp::socket>(this->acceptor.accept());
            if (this->stopping) {
                return;
            }
            auto far = std::make_shared<Tcp::socket>(this->context);
            far->connect(Tcp::endpoint(Asio::ip::address_v4::loopback(), this->target));
            const int number = this->accepted++;
            this->pumps.emplace_back([this, near, far, number] { this->pump(*near, *far, number); });
            this->pumps.emplace_back([this, near, far, number] { this->pump(*far, *near, number); });
        }
    }

    void pump(Tcp::socket &from, Tcp::socket &to, int number)
    {
        std::array<char, 4096> buffer {};
        boost::system::error_code error;
        while (!error && !this->stopping) {
            from.wait(Tcp::socket::wait_read, error);
            const std::size_t size = error ? 0 : from.read_some(Asio::buffer(buffer), error);
            if (!error && number >= this->frozenBelow) {
                Asio::write(to, Asio::buffer(buffer, size), error);
            }
        }
        boost::system::error_code ignored;
        to.shutdown(Tcp::socket::shutdown_both, ignored);
        from.shutdown(Tcp::socket::shutdown_both, ignored);
    }

    Asio::io_context context;
    Tcp::acceptor acceptor;
    std::uint16_t target;
    std::atomic<int> frozenBelow = 0;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> pumps;
    std::thread thread;
};
} // namespace

// Guards against lost or reordered messages, and a second link for the answer's direction.
TEST_CASE("Peers exchange messages in order over one link")
{
    Node left("left");
    Node right("right");
    left.knows("right", right.network->port());
    constexpr std::uint64_t count = 200;
    for (std::uint64_t i = 0; i < count; ++i) {
        left.network->send("right", JournalAck {"left", i});
    }
    REQUIRE(right.waitForMessages(count));
    for (std::uint64_t i = 0; i < count; ++i) {
        CHECK(right.received[i] == std::pair<std::string, PeerMessage>("left", JournalAck {"left", i}));
    }
    right.network->send("left", Leaving {"right"});
    REQUIRE(left.waitForMessages(1));
    CHECK(left.network->counters().openLinks == 1);
    CHECK(left.network->counters().messagesSent == count);
    CHECK(left.network->counters().bytesSent == right.network->counters().bytesReceived);
}

// Guards against a process without the key that reads or injects control messages.
TEST_CASE("A peer with another key is cut off before any message")
{
    Node left("left", "one key");
    Node right("right", "another key");
    left.knows("right", right.network->port());
    left.network->send("right", Leaving {"left"});
    CHECK(waitUntil([&] { return right.network->counters().failedHandshakes > 0; }));
    CHECK(right.received.empty());
    CHECK(right.network->counters().messagesReceived == 0);
    CHECK(left.network->counters().openLinks == 0);
    CHECK(waitUntil([&] { return left.network->counters().droppedMessages == 1; }));
}

// Guards against a link that stays down after its peer restarts.
TEST_CASE("A lost link is dialled again without a new message")
{
    Node left("left");
    auto right = std::make_unique<Node>("right");
    const std::uint16_t port = right->network->port();
    left.knows("right", port);
    left.network->send("right", Leaving {"left"});
    REQUIRE(right->waitForMessages(1));
    right.reset();
    REQUIRE(waitUntil([&] { return left.network->counters().openLinks == 0; }));
    Node restarted("right", "shared key", port);
    CHECK(waitUntil([&] { return left.network->counters().openLinks == 1; }));
}

// Guards against waiting for TCP's own timeout, minutes long, on a connection that a middlebox dropped silently.
TEST_CASE("A silently frozen link is replaced within 2 s")
{
    Node left("left");
    Node right("right");
    FreezingRelay relay(right.network->port());
    left.knows("right", relay.port());
    left.network->send("right", JournalAck {"left", 1});
    REQUIRE(right.waitForMessages(1));
    relay.freezeOpenConnections();
    const MonotonicTime frozen = monotonicNow();
    left.network->send("right", JournalAck {"left", 2});
    CHECK(waitUntil([&] { return left.network->counters().silentLinks == 1; }));
    CHECK(monotonicNow() - frozen < std::chrono::seconds(2));
    CHECK(waitUntil([&] { return left.network->counters().openLinks == 1; }));
    CHECK(relay.accepted == 2);
    left.network->send("right", JournalAck {"left", 3});
    REQUIRE(right.waitForMessages(2));
    CHECK(right.received[1].second == PeerMessage(JournalAck {"left", 3}));
    left.network.reset();
    right.network.reset();
}

// Guards against unbounded memory for a peer that does not read.
TEST_CASE("Queues and messages are bounded")
{
    Node left("left");
    Asio::io_context context;
    Tcp::acceptor mute(context, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0));
    left.knows("mute", mute.local_endpoint().port());
    constexpr std::size_t bodyBytes = 1024 * 1024;
    constexpr int count = 10;
    for (int i = 0; i < count; ++i) {
        left.network->send("mute", ConfigurationReply {1, std::string(bodyBytes, 'x')});
    }
    // Three messages of a little more than 1 MiB fit below 4 MiB.
    CHECK(waitUntil([&] { return left.network->counters().droppedMessages >= count - 3; }, std::chrono::seconds(1)));
    CHECK(left.network->counters().droppedMessages == count - 3);
    left.network->send("mute", ConfigurationReply {1, std::string(3 * bodyBytes, 'x')});
    CHECK(left.network->counters().droppedMessages == count - 2);
}

// Guards against handlers that run beside the control thread although an executor is given.
TEST_CASE("Callbacks run where the executor puts them")
{
    std::mutex mutex;
    std::vector<std::function<void()>> posted;
    std::vector<std::string> log;
    PeerNetworkOptions options;
    options.self = "left";
    options.sharedKey = "shared key";
    PeerHandlers handlers;
    handlers.message = [&](const std::string &sender, const PeerMessage &) { log.push_back("message " + sender); };
    handlers.linkUp = [&](const std::string &peer) { log.push_back("up " + peer); };
    PeerNetwork left(options, handlers, [&](std::function<void()> callback) {
        const std::lock_guard lock(mutex);
        posted.push_back(std::move(callback));
    });
    Node right("right");
    right.knows("left", left.port());
    right.network->send("left", Leaving {"right"});
    REQUIRE(waitUntil([&] {
        const std::lock_guard lock(mutex);
        return posted.size() == 2;
    }));
    CHECK(log.empty());
    for (const auto &callback : posted) {
        callback();
    }
    CHECK(log == std::vector<std::string> {"up right", "message right"});
}
