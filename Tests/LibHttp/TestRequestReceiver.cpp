#include "LibHttp/RequestReceiver.h"

#include <boost/asio/buffer.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <random>
#include <vector>

using namespace Godwitfork;

namespace
{
using Step = RequestReceiver::Step;
using Random = std::mt19937_64;

constexpr std::uint64_t fuzzSeed = 20261206;
constexpr std::size_t maxHeaderBytes = 1024;
constexpr std::size_t maxBodyBytes = 4096;
constexpr std::size_t readBytes = 512;

struct Received {
    Step step = Step::NeedMore;
    HttpRefusal refusal;
    HttpRequest request;
    /// Most bytes that were kept without being parsed.
    std::size_t mostUnparsed = 0;
    std::size_t mostBodyMemory = 0;
    std::size_t leftOver = 0;
};

RequestLimits smallLimits()
{
    RequestLimits limits;
    limits.maxHeaderBytes = maxHeaderBytes;
    limits.maxBodyBytes = maxBodyBytes;
    return limits;
}

/// Feeds the bytes in pieces that `pieceSize` chooses, as a connection does, until the request is complete or rejected.
template<typename PieceSize>
Received receive(const std::string &bytes, PieceSize pieceSize)
{
    RequestReceiver receiver(smallLimits());
    boost::beast::flat_buffer buffer;
    MemoryBudget budget(memoryLimits(16 * maxBodyBytes));
    MemoryReservation memory = budget.open(MemoryUse::RequestBody, "client");
    Received received;
    std::size_t sent = 0;
    while (true) {
        received.step = receiver.parse(buffer, memory);
        received.mostUnparsed = std::max(received.mostUnparsed, buffer.size());
        received.mostBodyMemory = std::max(received.mostBodyMemory, memory.size());
        if (received.step == Step::Head) {
            CHECK(receiver.statedLength() <= maxBodyBytes);
            continue;
        }
        if (received.step != Step::NeedMore || sent == bytes.size()) {
            break;
        }
        const std::size_t size = std::min(bytes.size() - sent, std::clamp<std::size_t>(pieceSize(), 1, readBytes));
        buffer.commit(boost::asio::buffer_copy(buffer.prepare(size), boost::asio::buffer(bytes.data() + sent, size)));
        sent += size;
    }
    received.refusal = receiver.refusal();
    received.leftOver = buffer.size() + bytes.size() - sent;
    if (received.step == Step::Complete) {
        received.request = receiver.head();
        received.request.body = receiver.takeBody();
    }
    return received;
}

const std::string chunkedHead = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string repeated(const std::string &text, std::size_t times)
{
    std::string all;
    for (std::size_t i = 0; i < times; ++i) {
        all += text;
    }
    return all;
}
} // namespace

TEST_CASE("A request is the same whatever pieces it arrives in", "[receiver]")
{
    const std::string plain = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'b');
    const std::string chunked = chunkedHead + repeated("1\r\nb\r\n", 1000) + "3e8\r\n" + std::string(1000, 'b') + "\r\n0\r\nX-Trailer: t\r\n\r\n";
    for (const std::string &wire : {plain, chunked}) {
        for (const std::size_t piece : {1U, 2U, 3U, 7U, 100U, 512U}) {
            const Received received = receive(wire + "GET", [piece] { return piece; });
            REQUIRE(received.step == Step::Complete);
            CHECK(received.request.target == "/a");
            CHECK(received.request.body == std::string(2000, 'b'));
            CHECK(received.leftOver == 3);
        }
    }
}

// Guards against parts of a body's framing that the parser keeps until they end, without a limit.
TEST_CASE("Trailers and chunk extensions beyond the size of a head are rejected", "[receiver]")
{
    const std::vector<std::string> wires = {chunkedHead + "1\r\nb\r\n0\r\n" + repeated("X-Trailer: t\r\n", 10'000),
                                            chunkedHead + "1\r\nb\r\n0\r\nX-Trailer: " + std::string(100'000, 't'),
                                            chunkedHead + "1;a=" + std::string(100'000, 'e'),
                                            chunkedHead + std::string(100'000, '0'),
                                            "POST /a HTTP/1.1\r\n" + repeated("a: b\r\n", 10'000)};
    for (const std::string &wire : wires) {
        const Received received = receive(wire, [] { return readBytes; });
        CHECK(received.step == Step::Failed);
        CHECK((received.refusal.status == 431 || received.refusal.status == 400));
        CHECK(received.mostUnparsed <= maxHeaderBytes + readBytes);
    }
}

// Guards against a body whose copies while it grows are not counted, or that is refused although it is within the limit.
TEST_CASE("A chunked body of the largest size is received, and one byte more is not", "[receiver]")
{
    const std::string chunk = "10\r\n" + std::string(16, 'b') + "\r\n";
    const Received largest = receive(chunkedHead + repeated(chunk, maxBodyBytes / 16) + "0\r\n\r\n", [] { return readBytes; });
    CHECK(largest.step == Step::Complete);
    CHECK(largest.request.body.size() == maxBodyBytes);
    CHECK(largest.mostBodyMemory <= 2 * maxBodyBytes + 2 * readBytes);
    const Received larger = receive(chunkedHead + repeated(chunk, maxBodyBytes / 16) + "1\r\nb\r\n0\r\n\r\n", [] { return readBytes; });
    CHECK(larger.step == Step::Failed);
    CHECK(larger.refusal.status == 413);
}

// Guards against bytes from a caller that end the process, keep it busy without end, or make it hold more than the limits allow.
TEST_CASE("Altered heads, chunked bodies and trailers are parsed or rejected within the limits", "[receiver][fuzz]")
{
    const std::vector<std::string> seeds = {
        "GET /a?b=c HTTP/1.1\r\nHost: h\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\nExpect: 100-continue\r\n\r\nhello world",
        chunkedHead + "5\r\nhello\r\n6;a=b;c=\"d\"\r\n world\r\n0\r\nX-Trailer: t\r\nY: u\r\n\r\n",
        chunkedHead + repeated("1\r\nb\r\n", 50) + "000\r\n\r\n",
        "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\nConnection: close\r\n\r\n1\r\nb\r\n0\r\n\r\n",
    };
    const std::vector<std::string> tokens = {"\r\n",
                                             "\r\n\r\n",
                                             "\r",
                                             "\n",
                                             "0\r\n\r\n",
                                             "ffffffffffffffff\r\n",
                                             "-1",
                                             ";",
                                             "=",
                                             "\"",
                                             ":",
                                             " ",
                                             "Content-Length: 18446744073709551615\r\n",
                                             "Content-Length: 5\r\n",
                                             "Transfer-Encoding: chunked\r\n",
                                             std::string(1, '\0'),
                                             std::string(600, 'x'),
                                             repeated("a:\r\n", 200),
                                             "HTTP/1.0",
                                             "\xff"};
    Random random(fuzzSeed);
    const char *seconds = std::getenv("GODWITFORK_FUZZ_SECONDS");
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds ? std::atoi(seconds) : 0);
    std::uint64_t count = 0;
    std::uint64_t complete = 0;
    for (; seconds ? std::chrono::steady_clock::now() < end : count < 20'000; ++count) {
        std::string wire = seeds[random() % seeds.size()];
        for (std::uint64_t changes = random() % 5; changes > 0; --changes) {
            const std::size_t at = random() % (wire.size() + 1);
            switch (random() % 5) {
            case 0:
                wire.insert(at, tokens[random() % tokens.size()]);
                break;
            case 1:
                wire.erase(at, random() % 20);
                break;
            case 2:
                wire.insert(at, wire.substr(random() % wire.size(), random() % 100));
                break;
            case 3:
                wire.insert(at, repeated(tokens[random() % tokens.size()], random() % 100));
                break;
            default:
                wire[at % wire.size()] = static_cast<char>(random() % 256);
            }
            wire += wire.empty() ? "x" : "";
        }
        const std::size_t piece = 1 + random() % readBytes;
        const Received received = receive(wire, [&] { return random() % 2 == 0 ? piece : 1 + random() % 16; });
        REQUIRE(received.mostUnparsed <= maxHeaderBytes + readBytes);
        REQUIRE(received.mostBodyMemory <= 2 * maxBodyBytes + 2 * readBytes);
        REQUIRE(received.request.body.size() <= maxBodyBytes);
        REQUIRE((received.step != Step::Failed || received.refusal.status >= 400));
        complete += received.step == Step::Complete ? 1 : 0;
    }
    CHECK(complete > 0);
    if (seconds) {
        WARN(count << " executions, " << complete << " complete");
    }
}
