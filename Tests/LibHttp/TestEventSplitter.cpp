#include "LibHttp/EventSplitter.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

TEST_CASE("The splitter returns complete events however the stream is split", "[events]")
{
    // Guards against forwarding part of an event to the client before the endpoint's connection breaks.
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\n";
    for (std::size_t piece = 1; piece <= text.size(); ++piece) {
        EventSplitter splitter;
        std::string joined;
        std::vector<std::optional<std::int64_t>> ids;
        for (std::size_t start = 0; start < text.size(); start += piece) {
            const auto events = splitter.feed(std::string_view(text).substr(start, piece));
            REQUIRE(events);
            for (const RawEvent &event : events.value()) {
                joined += event.bytes;
                ids.push_back(event.id);
            }
        }
        CHECK(joined == text);
        CHECK(ids == std::vector<std::optional<std::int64_t>> {1, 2, std::nullopt});
        CHECK_FALSE(splitter.hasPartialEvent());
    }
}

TEST_CASE("An incomplete event is not returned", "[events]")
{
    EventSplitter splitter;
    CHECK(splitter.feed("id: 1\ndata: a\n").value().empty());
    CHECK(splitter.hasPartialEvent());
}

TEST_CASE("An event above the size limit is rejected", "[events]")
{
    EventSplitter splitter;
    CHECK_FALSE(splitter.feed(std::string(2 * 1024 * 1024, 'x')));
}
