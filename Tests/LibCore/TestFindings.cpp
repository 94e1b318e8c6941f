#include "LibCore/Finding.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

// Guards against a report that contains only the first of several problems.
TEST_CASE("All findings are reported with their positions")
{
    Findings findings;
    CHECK(findings.isEmpty());
    findings.add({"base.yaml", 3, 5, "models.blazon", "unknown key 'versoins'"});
    findings.add({"site.yaml", 9, 1, "", "missing key 'site'"});
    CHECK(findings.toText() == "base.yaml:3:5: models.blazon: unknown key 'versoins'\nsite.yaml:9:1: missing key 'site'\n");
}
