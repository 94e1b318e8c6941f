#include "LibHttp/ServerSentEvents.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

// Guards against events that are lost or merged when the stream is split between any two bytes.
TEST_CASE("The parser returns the same events wherever the stream is split")
{
    const std::string text = ": heartbeat\n\ndata: one\n\nevent: usage\ndata: two\r\ndata: lines\r\n\r\n";
    const std::vector<ServerSentEvent> expected {{"", "one"}, {"usage", "two\nlines"}};
    for (std::size_t cut = 0; cut <= text.size(); ++cut) {
        ServerSentEventParser parser;
        auto events = parser.feed(std::string_view(text).substr(0, cut)).value();
        const auto rest = parser.feed(std::string_view(text).substr(cut)).value();
        events.insert(events.end(), rest.begin(), rest.end());
        CHECK(events == expected);
    }
}

// Guards against a peer that exhausts the memory with an event that never ends.
TEST_CASE("An event above the size limit is an error")
{
    ServerSentEventParser parser;
    const auto result = parser.feed("data: " + std::string(2 * 1024 * 1024, 'x'));
    REQUIRE_FALSE(result);
    CHECK(result.error().code == "event_too_large");
}

TEST_CASE("Parsing a formatted event returns its data")
{
    ServerSentEventParser parser;
    CHECK(parser.feed(formatServerSentEvent("a\nb")).value() == std::vector<ServerSentEvent> {{"", "a\nb"}});
}
