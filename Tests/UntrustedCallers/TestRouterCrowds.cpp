#include "Crowd.h"
#include "Deployment.h"
#include "ProcessWatch.h"

#include "LibCore/Digest.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
/// Limits of the machine that the tests play: the router's default limit of its memory.
constexpr std::size_t maxResidentBytes = 512'000'000;
constexpr int descriptors = 1024;
constexpr int fewDescriptors = 256;
/// Descriptors that callers must leave for connections to endpoints, the store and other instances.
constexpr int spareDescriptors = 32;
constexpr std::size_t maxBodyBytes = std::size_t {4} * 1024 * 1024;
constexpr std::size_t pieceBytes = std::size_t {64} * 1024;
/// Bodies of this number of clients exceed the memory by 150 MB.
constexpr int bodyClients = 160;
constexpr Duration settleLimit = 20s;
constexpr Duration ordinaryLimit = 30s;

const std::string callersHead =
    "POST /v1/services/deposits/take HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer crowd-key\r\nIdempotency-Key: crowd-{n}\r\n";
const std::string administrationHead = "PUT /v1/configuration HTTP/1.1\r\nHost: h.example\r\n";

/// A real router with a store and one service.
struct RouterUnderTest {
    explicit RouterUnderTest(int descriptorLimit) : descriptorLimit(descriptorLimit)
    {
        this->deployment.addService("deposits", Idempotency::NotIdempotent, {});
        ClientAccount account = this->deployment.site().accounts["workshop"];
        account.name = "crowd";
        account.keyHashes = {sha256Hex("crowd-key")};
        this->deployment.site().accounts[account.name] = account;
        const DescriptorLimit limit(descriptorLimit);
        this->deployment.addRouter("router-1", "max_body_bytes: 4194304\nadministration_listen: 127.0.0.1:0\n");
    }

    ChildProcess &process()
    {
        return this->deployment.routerProcess(0);
    }

    /// Sends an ordinary request, again after each refusal, until it is answered or the time is over.
    bool answersOrdinaryRequest()
    {
        const MonotonicTime end = monotonicNow() + ordinaryLimit;
        while (monotonicNow() < end) {
            HttpRequest request = makeRequest("POST", "/v1/services/deposits/take", "5 crowns");
            request.headers = {{"Authorization", "Bearer workshop-key"}, {"Idempotency-Key", "ordinary-" + std::to_string(++this->sent)}};
            const auto answer = callOnce(this->deployment.router(0), std::move(request), 5s);
            if (answer && answer.value().status == 200) {
                return true;
            }
            std::this_thread::sleep_for(100ms);
        }
        return false;
    }

    int descriptorLimit;
    Deployment deployment;
    int sent = 0;
};

/// Lets a crowd do what it does and checks that the process stays within its machine and serves an ordinary caller while the crowd is connected.
void checkCrowd(RouterUnderTest &router, const HttpAddress &address, const std::string &head, CrowdManner manner)
{
    INFO(manner.name << ", " << manner.clients << " clients");
    const int id = router.process().processId();
    boost::asio::io_context context;
    Crowd crowd(context, address, head, std::move(manner));
    int mostDescriptors = 0;
    const auto watch = [&] { mostDescriptors = std::max(mostDescriptors, openDescriptors(id)); };
    crowd.start();
    const auto runUntil = [&](const auto &condition) {
        const MonotonicTime end = monotonicNow() + settleLimit;
        while (!condition() && router.process().isRunning() && monotonicNow() < end) {
            watch();
            context.restart();
            context.run_for(10ms);
        }
    };
    runUntil([&] { return crowd.isSettled(); });
    ResidentWatch watchResident(id);
    runUntil([&] { return watchResident.isSteady(); });
    const bool isAnswered = router.answersOrdinaryRequest();
    watch();
    const std::size_t resident = peakResidentBytes(id);
    WARN("resident peak " << resident / 1000 << " kB of " << maxResidentBytes / 1000 << ", descriptors " << mostDescriptors << " of " << router.descriptorLimit
                          << ", ordinary request " << (isAnswered ? "answered" : "not answered"));
    CHECK(router.process().isRunning());
    if (!isSanitized) {
        CHECK(resident <= maxResidentBytes);
    }
    CHECK(mostDescriptors <= router.descriptorLimit - spareDescriptors);
    CHECK(isAnswered);
}

HttpAddress administrationAddress(RouterUnderTest &router)
{
    return parseHttpAddress(router.process().listeningEvent().at("administration_address").get<std::string>());
}
} // namespace

// Guards against a process that is ended for its memory by callers that exceed the limits, with the requests of all others.
TEST_CASE("The router stays within its memory and serves others beside trailers or extensions without end", "[router]")
{
    const CrowdManner manner = GENERATE(endlessTrailers(32, 24'000'000), endlessExtension(32, 24'000'000));
    RouterUnderTest router(descriptors);
    REQUIRE(router.deployment.waitForRevision(router.deployment.apply()));
    checkCrowd(router, router.deployment.router(0), callersHead, manner);
}

// Guards against connections that hold their bodies beyond the memory.
TEST_CASE("The router stays within its memory and serves others beside many large bodies that do not end", "[router]")
{
    const CrowdManner manner = GENERATE(plainBodies(bodyClients, maxBodyBytes, 0), plainBodies(bodyClients, maxBodyBytes, pieceBytes));
    RouterUnderTest router(descriptors);
    REQUIRE(router.deployment.waitForRevision(router.deployment.apply()));
    checkCrowd(router, router.deployment.router(0), callersHead, manner);
}

// Guards against chunk framing that costs more than the bytes that it carries, or that is not counted.
TEST_CASE("The router stays within its memory and serves others beside many chunked bodies that do not end", "[router]")
{
    const CrowdManner manner = GENERATE(chunkedBodies(bodyClients, maxBodyBytes, 65536), chunkedBodies(bodyClients, maxBodyBytes, 64));
    RouterUnderTest router(descriptors);
    REQUIRE(router.deployment.waitForRevision(router.deployment.apply()));
    checkCrowd(router, router.deployment.router(0), callersHead, manner);
}

// Guards against callers whose connections take the descriptors that the connections to endpoints and the store need.
TEST_CASE("The router keeps descriptors for its own connections and serves others beside many connections", "[router]")
{
    RouterUnderTest router(fewDescriptors);
    REQUIRE(router.deployment.waitForRevision(router.deployment.apply()));
    checkCrowd(router, router.deployment.router(0), callersHead, unfinishedHeads(400, 400));
}

// Guards against the same at the administration listener, which shares the process.
TEST_CASE("The router stays within its memory beside a crowd at its administration listener", "[router]")
{
    const CrowdManner manner = GENERATE(endlessTrailers(32, 24'000'000), chunkedBodies(64, 2 * 1024 * 1024, 4096));
    RouterUnderTest router(descriptors);
    REQUIRE(router.deployment.waitForRevision(router.deployment.apply()));
    checkCrowd(router, administrationAddress(router), administrationHead, manner);
}
