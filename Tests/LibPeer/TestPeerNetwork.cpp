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
constexpr Duration waitTimeout = std::chrono::seconds(5);

/// A peer network that records the messages it receives.
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

    bool waitForMessages(std::size_t count, Duration limit = waitTimeout)
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, limit, [&] { return this->received.size() >= count; });
    }

    void setPeer(const std::string &name, std::uint16_t port) const
    {
        this->network->setPeers({{name, "127.0.0.1", port}});
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<std::pair<std::string, PeerMessage>> received;
    std::unique_ptr<PeerNetwork> network;
};

template<typename Condition>
bool waitUntil(Condition condition, Duration limit = waitTimeout)
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

/// TCP relay that can stop forwarding bytes on its open connections while new connections work.
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
        for (auto &forwarder : this->forwarders) {
            forwarder.join();
        }
    }

    std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

    void freezeOpenConnections()
    {
        this->frozenConnections = this->accepted.load();
    }

    std::atomic<int> accepted = 0;

private:
    void acceptLoop()
    {
        while (true) {
            auto downstream = std::make_shared<Tcp::socket>(this->acceptor.accept());
            if (this->stopping) {
                return;
            }
            auto upstream = std::make_shared<Tcp::socket>(this->context);
            upstream->connect(Tcp::endpoint(Asio::ip::address_v4::loopback(), this->target));
            const int number = this->accepted++;
            this->forwarders.emplace_back([this, downstream, upstream, number] { this->forwardBytes(*downstream, *upstream, number); });
            this->forwarders.emplace_back([this, downstream, upstream, number] { this->forwardBytes(*upstream, *downstream, number); });
        }
    }

    void forwardBytes(Tcp::socket &from, Tcp::socket &to, int number)
    {
        std::array<char, 4096> buffer {};
        boost::system::error_code error;
        while (!error && !this->stopping) {
            from.wait(Tcp::socket::wait_read, error);
            const std::size_t size = error ? 0 : from.read_some(Asio::buffer(buffer), error);
            if (!error && number >= this->frozenConnections) {
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
    std::atomic<int> frozenConnections = 0;
    std::atomic<bool> stopping = false;
    std::vector<std::thread> forwarders;
    std::thread thread;
};
} // namespace

// Guards against lost or reordered messages, and against a second link for the opposite direction.
TEST_CASE("Peers exchange messages in order over one link")
{
    Node left("left");
    Node right("right");
    left.setPeer("right", right.network->port());
    constexpr std::uint64_t count = 200;
    for (std::uint64_t i = 0; i < count; ++i) {
        left.network->send("right", ConfigurationRequest {i});
    }
    REQUIRE(right.waitForMessages(count));
    for (std::uint64_t i = 0; i < count; ++i) {
        CHECK(right.received[i] == std::pair<std::string, PeerMessage>("left", ConfigurationRequest {i}));
    }
    right.network->send("left", Leaving {"right"});
    REQUIRE(left.waitForMessages(1));
    CHECK(left.network->counters().openLinks == 1);
    CHECK(left.network->counters().messagesSent == count);
    CHECK(left.network->counters().bytesSent == right.network->counters().bytesReceived);
}

// Guards against a process without the key that receives or injects control messages.
TEST_CASE("A peer with another key is disconnected before any message is exchanged")
{
    Node left("left", "one key");
    Node right("right", "another key");
    left.setPeer("right", right.network->port());
    left.network->send("right", Leaving {"left"});
    CHECK(waitUntil([&] { return right.network->counters().failedHandshakes > 0; }));
    CHECK(right.received.empty());
    CHECK(right.network->counters().messagesReceived == 0);
    CHECK(left.network->counters().openLinks == 0);
    CHECK(waitUntil([&] { return left.network->counters().droppedMessages == 1; }));
}

// Guards against a link that stays down after its peer restarts.
TEST_CASE("A lost link is dialled again without waiting for the next message")
{
    Node left("left");
    auto right = std::make_unique<Node>("right");
    const std::uint16_t port = right->network->port();
    left.setPeer("right", port);
    left.network->send("right", Leaving {"left"});
    REQUIRE(right->waitForMessages(1));
    right.reset();
    REQUIRE(waitUntil([&] { return left.network->counters().openLinks == 0; }));
    Node restarted("right", "shared key", port);
    CHECK(waitUntil([&] { return left.network->counters().openLinks == 1; }));
}

// Guards against waiting minutes for the TCP timeout on a connection that a middlebox dropped without a reset.
TEST_CASE("A link whose peer stops responding is closed within 2 s and replaced")
{
    Node left("left");
    Node right("right");
    FreezingRelay relay(right.network->port());
    left.setPeer("right", relay.port());
    left.network->send("right", ConfigurationRequest {1});
    REQUIRE(right.waitForMessages(1));
    relay.freezeOpenConnections();
    const MonotonicTime frozen = monotonicNow();
    left.network->send("right", ConfigurationRequest {2});
    CHECK(waitUntil([&] { return left.network->counters().unresponsiveLinks == 1; }));
    CHECK(monotonicNow() - frozen < std::chrono::seconds(2));
    CHECK(waitUntil([&] { return left.network->counters().openLinks == 1; }));
    CHECK(relay.accepted == 2);
    left.network->send("right", ConfigurationRequest {3});
    REQUIRE(right.waitForMessages(2));
    CHECK(right.received[1].second == PeerMessage(ConfigurationRequest {3}));
    left.network.reset();
    right.network.reset();
}

// Guards against unbounded memory use for a peer that does not read.
TEST_CASE("Messages above the limits of queue and message size are dropped")
{
    Node left("left");
    Asio::io_context context;
    Tcp::acceptor mute(context, Tcp::endpoint(Asio::ip::address_v4::loopback(), 0));
    left.setPeer("mute", mute.local_endpoint().port());
    constexpr std::size_t bodyBytes = 1024 * 1024;
    constexpr int count = 10;
    for (int i = 0; i < count; ++i) {
        left.network->send("mute", ConfigurationReply {1, std::string(bodyBytes, 'x')});
    }
    // Three messages of slightly more than 1 MiB fit into the queue limit of 4 MiB.
    CHECK(waitUntil([&] { return left.network->counters().droppedMessages >= count - 3; }, std::chrono::seconds(1)));
    CHECK(left.network->counters().droppedMessages == count - 3);
    left.network->send("mute", ConfigurationReply {1, std::string(3 * bodyBytes, 'x')});
    CHECK(left.network->counters().droppedMessages == count - 2);
}

// Guards against handlers that run on the network thread although an executor is given.
TEST_CASE("Handlers run only through the executor")
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
    right.setPeer("left", left.port());
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
