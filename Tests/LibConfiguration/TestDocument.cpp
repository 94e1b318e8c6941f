#include "LibConfiguration/Overlay.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;

namespace
{
std::string mergeText(const std::string &base, const std::string &overlay)
{
    Findings findings;
    const DocumentNode baseNode = parseDocument("base", base, findings).value();
    mergeOverlay(baseNode, parseDocument("site", overlay, findings).value(), findings);
    return findings.toText();
}
} // namespace

// Guards against mistakes that YAML accepts silently: one of two equal keys would be dropped, and an alias may refer to
// itself.
TEST_CASE("Duplicate keys, aliases, anchors, tags and a second document are reported with their locations")
{
    Findings findings;
    parseDocument("f", "a: &x 1\nb: *x\na: 2\nc: !other 3\n[1]: 2\n---\nd: 1\n", findings);
    CHECK(findings.toText()
          == "f:1:4: a: anchors are not supported\nf:2:4: b: aliases are not supported\nf:3:1: a: duplicate name 'a'\n"
             "f:4:4: c: unknown tag '!other'\nf:5:1: a key must be text\nf:1:1: the file contains more than one document\n");
}

// Guards against a merge that drops the base's other entries, and against removals and repetitions that have no effect.
TEST_CASE("An overlay is merged by key and may contain only differences")
{
    Findings findings;
    const DocumentNode base = parseDocument("base", "m:\n  a: 1\n  b: 2\n  c: {d: 3, e: 4}\nl: [1, 2]\n", findings).value();
    const DocumentNode overlay = parseDocument("site", "m:\n  a: 9\n  b: !remove\n  c: {d: !remove}\nl: [3]\n", findings).value();
    const DocumentNode merged = mergeOverlay(base, overlay, findings);
    CHECK(findings.toText().empty());
    CHECK(haveSameContent(merged, parseDocument("expected", "m: {c: {e: 4}, a: 9}\nl: [3]\n", findings).value()));
    CHECK(merged.find("m")->find("a")->location == DocumentLocation {"site", 2, 6});
    CHECK(mergeText("a: {b: 1}\n", "a: {b: 1}\n") == "site:1:8: a.b: repeats the base's value\n");
    CHECK(mergeText("a: {b: 1}\n", "a: {c: !remove}\nn: {x: !remove}\n")
          == "site:1:8: a.c: '!remove' names an entry that the base does not have\nsite:2:8: n.x: '!remove' names an entry that the base does not have\n");
}
