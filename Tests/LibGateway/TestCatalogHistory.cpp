#include "LibGateway/CatalogHistory.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

TEST_CASE("A follower receives every page with changes after its revision", "[history]")
{
    CatalogHistory history(10, 1000);
    history.add({5, 8, "a"});
    history.add({8, 9, "b"});
    CHECK(history.since(5)->size() == 2);
    CHECK(history.since(8)->size() == 1);
    // A list read in between may have a revision inside a page.
    CHECK(history.since(7)->size() == 2);
    CHECK(history.since(9)->empty());
    CHECK(history.since(20)->empty());
}

TEST_CASE("A history that does not reach back to a revision returns nothing", "[history]")
{
    // The store dropped its history, or the follower was disconnected for a long time.
    CatalogHistory history(2, 1000);
    CHECK_FALSE(history.since(3));
    history.add({1, 2, "a"});
    history.add({2, 3, "b"});
    history.add({3, 4, "c"});
    CHECK_FALSE(history.since(1));
    CHECK(history.since(2)->size() == 2);
    history.add({7, 8, "d"});
    CHECK_FALSE(history.since(4));
    CHECK(history.since(7)->size() == 1);
}

TEST_CASE("A relay frame is equal after encoding and decoding, and malformed text is rejected", "[history]")
{
    const RelayFrame frame {RelayFrame::Type::Page, CatalogKind::Rollouts, {3, 9, "{\"events\":[]}"}};
    CHECK(decodeRelayFrame(encodeRelayFrame(frame)) == frame);
    CHECK(decodeRelayFrame(encodeRelayFrame(RelayFrame())) == RelayFrame());
    const RelayFrame alive {RelayFrame::Type::Alive, CatalogKind::Configuration, {}, 17, std::chrono::milliseconds(250)};
    CHECK(decodeRelayFrame(encodeRelayFrame(alive)) == alive);
    RelayFrame inEra = alive;
    inEra.era = 2;
    CHECK(decodeRelayFrame(encodeRelayFrame(inEra)) == inEra);
    RelayFrame pageInEra = frame;
    pageInEra.era = 3;
    CHECK(decodeRelayFrame(encodeRelayFrame(pageInEra)) == pageInEra);
    const RelayFrame evacuations {RelayFrame::Type::Page, CatalogKind::Evacuations, {3, 9, "{}"}};
    CHECK(decodeRelayFrame(encodeRelayFrame(evacuations)) == evacuations);
    for (const std::string text :
         {"", "[]", "[9,0]", "[0,9]", "[0,4,1,1]", "[0,1]", "[0,1,7]", "[1,0,1]", "{}", "[1,0,\"x\",2,\"y\"]", "[0,1,7,0,\"x\"]", "[0,1,7,0,-1]"}) {
        CHECK_FALSE(decodeRelayFrame(text));
    }
}

TEST_CASE("A history of large pages keeps few of them, but always the newest", "[history]")
{
    // Versions of a large configuration would fill the memory of a small instance.
    CatalogHistory history(10, 100);
    for (CatalogRevision revision = 1; revision < 6; ++revision) {
        history.add({revision, revision + 1, std::string(40, 'x')});
    }
    CHECK(history.since(4)->size() == 2);
    CHECK_FALSE(history.since(3));
    history.add({6, 7, std::string(500, 'x')});
    CHECK(history.since(6)->size() == 1);
    CHECK_FALSE(history.since(5));
}
