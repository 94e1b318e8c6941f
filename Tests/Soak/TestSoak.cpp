#include "SoakRun.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <sstream>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
/// Of the requests sent 12 s after the last fault.
constexpr double minServedShare = 0.9;

/// Seeds to play: those of GODWITFORK_SOAK_SEEDS (`FIRST-LAST`), or the short series of CI.
std::pair<std::uint64_t, std::uint64_t> seeds()
{
    const char *text = std::getenv("GODWITFORK_SOAK_SEEDS");
    if (!text) {
        return {20261204, 20261205};
    }
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    char dash = 0;
    std::istringstream(text) >> first >> dash >> last;
    return {first, last};
}
} // namespace

// Guards against an order that runs twice or after a refusal, an answer of another request, a stream with a gap or a repeat, a
// denial of what is allowed, and a fleet that does not recover, under random series of faults.
TEST_CASE("The promises hold under random faults, and service returns after them", "[soak]")
{
    const auto [first, last] = seeds();
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        SoakRun soak(seed);
        soak.run(8s, 14s);
        std::cout << "seed " << seed << ": " << soak.promises().served() << " of " << soak.promises().total() << " requests served, "
                  << soak.servedAfterRecovery() << " after the recovery" << std::endl;
        if (!soak.promises().broken().empty() || soak.servedAfterRecovery() <= minServedShare) {
            std::cout << "logs of seed " << seed << ": " << soak.keepLogs() << std::endl;
        }
        INFO("seed " << seed);
        for (const std::string &finding : soak.promises().broken()) {
            FAIL_CHECK(finding);
        }
        CHECK(soak.promises().served() > 0);
        CHECK(soak.servedAfterRecovery() > minServedShare);
    }
}
