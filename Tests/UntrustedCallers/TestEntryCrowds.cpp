#include "Crowd.h"
#include "EntryUnderTest.h"
#include "ProcessWatch.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
/// Limits of the machine that the tests play; the memory is below that of the smallest machine, so that a small crowd is enough.
constexpr long memoryMb = 48;
constexpr std::size_t maxResidentBytes = std::size_t {memoryMb} * 1'000'000;
constexpr int descriptors = 1024;
constexpr int fewDescriptors = 256;
/// Descriptors that callers must leave for connections to endpoints, the store and other instances.
constexpr int spareDescriptors = 32;
constexpr std::size_t maxBodyBytes = std::size_t {4} * 1024 * 1024;
/// Largest body at the listeners that have no limit of their own in the configuration.
constexpr std::size_t otherBodyBytes = std::size_t {1024} * 1024;
constexpr std::size_t pieceBytes = std::size_t {16} * 1024;
constexpr Duration settleLimit = 20s;

const std::string callersHead =
    "POST /order HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer crowd-key\r\nX-Attempt-Id: crowd-{n}\r\nX-Deadline-Ms: 4000\r\n";
const std::string otherHead = "POST /report HTTP/1.1\r\nHost: h.example\r\n";

/// Lets a crowd do what it does and checks that the process stays within its machine and serves an ordinary caller while the crowd is connected.
void checkCrowd(EntryUnderTest &entry, const HttpAddress &address, const std::string &head, CrowdManner manner, int descriptorLimit)
{
    INFO(manner.name << ", " << manner.clients << " clients");
    const int id = entry.process->processId();
    Crowd crowd(entry.context, address, head, std::move(manner));
    int mostDescriptors = 0;
    const auto watch = [&] { mostDescriptors = std::max(mostDescriptors, openDescriptors(id)); };
    crowd.start();
    entry.runUntil(
        [&] {
            watch();
            return crowd.isSettled() || !entry.process->isRunning();
        },
        settleLimit);
    ResidentWatch watchResident(id);
    entry.runUntil(
        [&] {
            watch();
            return watchResident.isSteady() || !entry.process->isRunning();
        },
        settleLimit);
    const bool isAnswered = entry.answersOrdinaryRequest();
    watch();
    const std::size_t resident = peakResidentBytes(id);
    WARN("resident peak " << resident / 1000 << " kB of " << maxResidentBytes / 1000 << ", descriptors " << mostDescriptors << " of " << descriptorLimit
                          << ", ordinary request " << (isAnswered ? "answered" : "not answered"));
    if (!isAnswered) {
        const std::vector<std::string> log = entry.process->logLines();
        for (std::size_t i = log.size() - std::min<std::size_t>(log.size(), 4); i < log.size(); ++i) {
            WARN(log[i]);
        }
    }
    CHECK(entry.process->isRunning());
    if (!isSanitized) {
        CHECK(resident <= maxResidentBytes);
    }
    CHECK(mostDescriptors <= descriptorLimit - spareDescriptors);
    CHECK(isAnswered);
}
} // namespace

// Guards against a process that is ended for its memory by callers that exceed the limits, with the requests of all others.
TEST_CASE("The entry stays within its memory and serves others beside trailers or extensions without end", "[entry]")
{
    const CrowdManner manner = GENERATE(endlessTrailers(16, 8'000'000), endlessExtension(16, 8'000'000));
    EntryUnderTest entry(memoryMb, descriptors);
    REQUIRE(entry.answersOrdinaryRequest());
    checkCrowd(entry, entry.callers, callersHead, manner, descriptors);
}

// Guards against connections that hold their bodies, or the cost of their requests, beyond the memory.
TEST_CASE("The entry stays within its memory and serves others beside many large bodies that do not end", "[entry]")
{
    const CrowdManner manner = GENERATE(plainBodies(600, maxBodyBytes, 0), plainBodies(600, maxBodyBytes, pieceBytes));
    EntryUnderTest entry(memoryMb, descriptors);
    REQUIRE(entry.answersOrdinaryRequest());
    checkCrowd(entry, entry.callers, callersHead, manner, descriptors);
}

// Guards against chunk framing that costs more than the bytes that it carries, or that is not counted.
TEST_CASE("The entry stays within its memory and serves others beside many chunked bodies that do not end", "[entry]")
{
    const CrowdManner manner = GENERATE(chunkedBodies(600, maxBodyBytes, 65536), chunkedBodies(600, maxBodyBytes / 16, 16), chunkedBodies(600, 60'000, 1));
    EntryUnderTest entry(memoryMb, descriptors);
    REQUIRE(entry.answersOrdinaryRequest());
    checkCrowd(entry, entry.callers, callersHead, manner, descriptors);
}

// Guards against heads that take many times their bytes once they are parsed.
TEST_CASE("The entry stays within its memory and serves others beside many large heads", "[entry]")
{
    EntryUnderTest entry(memoryMb, descriptors);
    REQUIRE(entry.answersOrdinaryRequest());
    checkCrowd(entry, entry.callers, callersHead, unfinishedHeads(600, 16'000), descriptors);
}

// Guards against callers whose connections take the descriptors that the connections to endpoints and the store need.
TEST_CASE("The entry keeps descriptors for its own connections and serves others beside many connections", "[entry]")
{
    const std::size_t listener = GENERATE(0U, 1U, 2U, 3U);
    EntryUnderTest entry(memoryMb, fewDescriptors);
    REQUIRE(entry.answersOrdinaryRequest());
    const HttpAddress address = std::vector<HttpAddress> {entry.callers, entry.readiness, entry.peers, entry.metrics}[listener];
    checkCrowd(entry, address, callersHead, unfinishedHeads(400, 400), fewDescriptors);
}

// Guards against the same at the listeners that are not for callers: they share the process.
TEST_CASE("The entry stays within its memory whichever of its listeners a crowd uses", "[entry]")
{
    const CrowdManner manner = GENERATE(endlessTrailers(16, 8'000'000), plainBodies(100, otherBodyBytes, 0), chunkedBodies(100, otherBodyBytes, 4096));
    const std::size_t listener = GENERATE(0U, 1U, 2U);
    EntryUnderTest entry(memoryMb, descriptors);
    REQUIRE(entry.answersOrdinaryRequest());
    const HttpAddress address = std::vector<HttpAddress> {entry.readiness, entry.peers, entry.metrics}[listener];
    checkCrowd(entry, address, otherHead, manner, descriptors);
}
