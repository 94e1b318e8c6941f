#include "LibHttp/HttpMessage.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

TEST_CASE("Only an IP address with a valid port is parsed as an address")
{
    CHECK(parseHttpAddress("127.0.0.1:80") == HttpAddress {"127.0.0.1", 80});
    CHECK(parseHttpAddress("[::1]:8080") == HttpAddress {"::1", 8080});
    CHECK(parseHttpAddress("localhost:80").port == 0);
    CHECK(parseHttpAddress("127.0.0.1:99999").port == 0);
    CHECK(toText({"::1", 8080}) == "[::1]:8080");
}

TEST_CASE("Query values are percent-decoded")
{
    CHECK(queryValue("/list?prefix=a%2Fb&after=", "prefix") == "a/b");
    CHECK(queryValue("/list?prefix=a", "after").empty());
    CHECK(percentDecode(percentEncode("a/b c%")) == "a/b c%");
    CHECK(percentDecode("%4") == "%4");
}
