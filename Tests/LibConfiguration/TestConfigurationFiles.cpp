#include "LibConfiguration/Builders.h"
#include "LibConfiguration/ConfigurationFiles.h"
#include "LibConfiguration/Diff.h"
#include "LibCore/Random.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdlib>
#include <fstream>
#include <sstream>

using namespace Godwitfork;

namespace
{
ConfigurationFile sample(const std::string &name)
{
    const char *source = std::getenv("GODWITFORK_SOURCE");
    REQUIRE(source != nullptr);
    std::ifstream stream(std::string(source) + "/Samples/" + name);
    std::ostringstream text;
    text << stream.rdbuf();
    REQUIRE_FALSE(text.str().empty());
    return {name, text.str()};
}

ConfigurationFiles samples()
{
    return {sample("base.yaml"), {sample("norrland.yaml"), sample("at-west.yaml")}};
}

std::string replaced(std::string text, const std::string &old, const std::string &replacement)
{
    const std::size_t position = text.find(old);
    REQUIRE(position != std::string::npos);
    return text.replace(position, old.size(), replacement);
}

std::string findingsOf(const ConfigurationFiles &files)
{
    const auto result = checkConfiguration(files);
    return result ? std::string() : result.error().toText();
}

const std::string digest(64, 'a');

std::string smallBase()
{
    return "sites: [s]\nfailure_domains: [d]\noperator_key_hashes: []\n"
           "models:\n  m:\n    versions:\n      \"1\": {state: stable, prompt_price: 1 units/1000 tokens, completion_price: 1 units/1000 tokens}\n"
           "services:\n  o: {idempotent: false}\n"
           "accounts:\n  a:\n    key_hashes: ["
        + digest
        + "]\n    models: {m: all}\n    quality_target: 0.5\n    monthly_budget: 1 units/month\n"
          "endpoints:\n  e: {address: \"10.0.0.1:80\", failure_domain: d, serves: [\"m:1\", o]}\n";
}
} // namespace

// Guards against sample files that do not pass the check.
TEST_CASE("The sample files have no findings and contain the endpoints and accounts of both deployments")
{
    CHECK(findingsOf(samples()).empty());
    const Configuration configuration = checkConfiguration(samples()).value();
    const SiteConfiguration &norrland = configuration.sites.at("norrland");
    const SiteConfiguration &atWest = configuration.sites.at("at-west");
    CHECK(norrland.endpoints.size() == 24);
    CHECK(norrland.accounts.size() == 10);
    CHECK(atWest.endpoints.size() == 13);
    CHECK(atWest.accounts.size() == 10);
    CHECK(norrland.accounts.at("helpdesk").models.size() == 4);
    CHECK(atWest.accounts.at("helpdesk").monthlyBudget == 150'000'000);
    CHECK(findVersion(atWest.models.at("reader-small"), "8") == nullptr);
    CHECK(findVersion(norrland.models.at("reader-small"), "8")->promptPrice == 70);
}

// Guards against a check that stops at the first mistake, so that operators must repeat it for each one.
TEST_CASE("Six mistakes in one file are all reported with file, line, column and path")
{
    std::string text = smallBase();
    text = replaced(text, "state: stable", "state: steady");
    text = replaced(text, "{idempotent: false}", "{idempotent: false, prise: 1 units/call}");
    text = replaced(text, digest, "0123");
    text = replaced(text, "{m: all}", "{m: [\"2\"]}");
    text = replaced(text, "1 units/month", "1 units/week");
    text = replaced(text, "quality_target: 0.5", "quality_target: 1.5");
    const std::string findings = findingsOf({{"base.yaml", text}, {{"s.yaml", "site: s\n"}}});
    CHECK(findings
          == "base.yaml:7:20: models.m.versions.1.state: unknown value 'steady', expected one of: candidate, stable, withdrawn\n"
             "base.yaml:9:26: services.o: unknown key 'prise'\n"
             "base.yaml:12:18: accounts.a.key_hashes: not a SHA-256 digest in 64 lower-case hexadecimal digits\n"
             "base.yaml:13:18: accounts.a.models.m: unknown version '2' of model 'm'\n"
             "base.yaml:14:21: accounts.a.quality_target: 1.5 is outside the allowed range 0 to 1\n"
             "base.yaml:15:21: accounts.a.monthly_budget: '1 units/week' is not an amount of at most 10^9 units, write for example '12 units/month'\n");
}

// Guards against a mistake that is accepted if it is the only one in the files.
TEST_CASE("Each kind of mistake is reported as a finding")
{
    struct Mistake {
        std::string old;
        std::string replacement;
        std::string expected;
    };
    const auto mistake = GENERATE(values<Mistake>({
        {"state: stable", "state: withdrawn", "models.m.versions: every version of the model is withdrawn"},
        {"state: stable", "state: candidate", "models.m.versions: the model has no stable version"},
        {"state: stable, ", "", "models.m.versions.1: missing key 'state'"},
        {"prompt_price: 1 units/1000 tokens", "prompt_price: 1", "models.m.versions.1.prompt_price: '1' is not an amount"},
        {"prompt_price: 1 units", "prompt_price: 0.0000001 units", "models.m.versions.1.prompt_price: "},
        {"prompt_price: 1 units", "prompt_price: 1000000001 units", "models.m.versions.1.prompt_price: "},
        {"{m: all}", "{}", "accounts.a.models: the account has no allowed model"},
        {"    models: {m: all}\n", "", "accounts.a: missing key 'models'"},
        {"{m: all}", "[m]", "accounts.a.models: expected a map, found a list"},
        {"\"m:1\", o", "\"m:9\", o", "endpoints.e.serves: unknown version '9' of model 'm'"},
        {"\"m:1\", o", "\"m:1\", p", "endpoints.e.serves: unknown service 'p'"},
        {"\"m:1\", o", "\"m:1\", o, o", "endpoints.e.serves: repeats an earlier value"},
        {"failure_domain: d", "failure_domain: x", "endpoints.e.failure_domain: unknown failure domain 'x'"},
        {"10.0.0.1:80", "host.name:80", "endpoints.e.address: 'host.name:80' is not an IP address with a port"},
        {"10.0.0.1:80", "10.0.0.1:65536", "endpoints.e.address: "},
        {"idempotent: false", "price: 1 units/call", "services.o: missing key 'idempotent'"},
        {"quality_target: 0.5", "quality_target: 0.5\n    priority: 10", "accounts.a.priority: 10 is outside the allowed range 0 to 9"},
        {"quality_target: 0.5", "quality_target: 0.5\n    rate_limit: 5", "accounts.a.rate_limit: '5' is not a rate"},
        {"quality_target: 0.5", "quality_target: 0.5\n    rate_limit: 0/s", "accounts.a.rate_limit: a limit of 0 is out of range"},
        {"quality_target: 0.5", "quality_target: 0.5\n    services: [x]", "accounts.a.services: unknown service 'x'"},
        {"operator_key_hashes: []", "operator_key_hashes: [" + digest + "]", "accounts.a.key_hashes: the key hash is already in use"},
        {"{m: all}", "{m: all, n: all}", "accounts.a.models.n: unknown model 'n'"},
        {"accounts:\n", "accounts:\n  a: {}\n", "accounts.a: duplicate name 'a'"},
        {"services:\n", "  c: {cascade: [m, x]}\nservices:\n", "models.c.cascade: unknown model 'x'"},
        {"services:\n", "  c: {cascade: [c]}\nservices:\n", "models.c.cascade: 'c' is itself a cascade"},
        {"[s]", "[s, t]", "sites: site 't' has no overlay"},
    }));
    const std::string text = replaced(smallBase(), mistake.old, mistake.replacement);
    CHECK_THAT(findingsOf({{"base.yaml", text}, {{"s.yaml", "site: s\n"}}}), Catch::Contains(mistake.expected));
}

// Guards against an overlay that applies to no site, and against repeated values that hide which ones differ.
TEST_CASE("An overlay must name a known site that has no other overlay and must not repeat the base's values")
{
    CHECK(findingsOf({{"base.yaml", smallBase()}, {{"s.yaml", "site: s\n"}}}).empty());
    const std::string findings = findingsOf(
        {{"base.yaml", smallBase()}, {{"s.yaml", "site: s\naccounts: {a: {quality_target: 0.5}}\n"}, {"t.yaml", "site: s\n"}, {"u.yaml", "site: u\n"}}});
    CHECK(findings
          == "s.yaml:2:32: accounts.a.quality_target: repeats the base's value\nt.yaml:1:7: site: site 's' already has an overlay\n"
             "u.yaml:1:7: site: unknown site 'u'\n");
}

// Guards against a rendered site that reads back differently: operators compare it with the configuration in force.
TEST_CASE("A rendered site reads back as the same configuration")
{
    CHECK(rc::check([] {
        const auto amount = [] { return static_cast<Microunits>(*rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000'000)); };
        const auto account = ClientAccountBuilder("a")
                                 .key(*rc::gen::arbitrary<std::string>())
                                 .model("m", *rc::gen::element(std::vector<std::string> {}, std::vector<std::string> {"2", "1"}))
                                 .service("o")
                                 .priority(*rc::gen::inRange(0, 10))
                                 .qualityTarget(*rc::gen::inRange(0, 1'000'001) / 1e6)
                                 .monthlyBudget(amount())
                                 .requestsPerSecond(*rc::gen::inRange(0, 100'000) / 1000.0)
                                 .onWithdrawn(*rc::gen::element(WithdrawalPolicy::Move, WithdrawalPolicy::Refuse))
                                 .build();
        const auto state = *rc::gen::element(VersionState::Candidate, VersionState::Stable, VersionState::Withdrawn);
        const auto endpoint = EndpointBuilder("e", "10.0.0.1:80").failureDomain("d").servesVersion("m", "1").servesService("o");
        const auto site = SiteConfigurationBuilder()
                              .account(account)
                              .model({"m", {}, {{"1", VersionState::Stable, amount(), amount()}, {"2", state, amount(), amount()}}})
                              .model({"c", {"m"}, {}})
                              .service({"o", *rc::gen::element(Idempotency::Idempotent, Idempotency::NotIdempotent), amount()})
                              .endpoint(EndpointBuilder(endpoint).fencing(FencingSupport::Checked).state(EndpointState::Draining).build())
                              .build();
        const auto result = checkConfiguration({{"rendered", renderSite("s", site)}, {{"overlay", "site: s\n"}}});
        RC_ASSERT(result.has_value());
        RC_ASSERT(result.value().sites.at("s") == site);
    }));
}

// Guards against differences whose paths and values do not match the files, and against a diff that omits a change.
TEST_CASE("A difference states the path in the files, the old value and the new value")
{
    const Configuration before = checkConfiguration(samples()).value();
    CHECK(diff(before, before).empty());
    Configuration after = before;
    SiteConfiguration &site = after.sites.at("norrland");
    site.models.at("blazon").versions.at(0).state = VersionState::Withdrawn;
    site.models.at("blazon").versions.at(1).state = VersionState::Stable;
    site.accounts.at("counter").monthlyBudget = 7'000'500'000;
    site.accounts.at("counter").requestsPerSecond = 0;
    site.accounts.at("helpdesk").models.at(0).versions = {"x"};
    site.endpoints.erase("blazon-20");
    CHECK(toText(diff(before, after))
          == "norrland.accounts.counter.monthly_budget: 6000 units/month -> 7000500000 microunits/month\n"
             "norrland.accounts.counter.rate_limit: 400/s -> unlimited\n"
             "norrland.accounts.helpdesk.models.reader: all -> [x]\n"
             "norrland.endpoints.blazon-20.address: removed 10.20.4.29:8000\n"
             "norrland.endpoints.blazon-20.failure_domain: removed norrland-d\n"
             "norrland.endpoints.blazon-20.fencing: removed ignored\n"
             "norrland.endpoints.blazon-20.serves: removed [blazon:11, blazon:12, reader-small:7, reader-small:8, reader-large:3]\n"
             "norrland.endpoints.blazon-20.state: removed active\n"
             "norrland.models.blazon.versions.11.state: stable -> withdrawn\n"
             "norrland.models.blazon.versions.12.state: candidate -> stable\n");
}

// Guards against input that crashes or hangs the parser, and against findings without a location.
TEST_CASE("Mutated files are accepted or rejected with locations and never crash the parser")
{
    constexpr int runs = 2000;
    RandomSource random(20261204);
    const std::string original = smallBase();
    const std::string alphabet = "{}[]:,-!&*?|>%@`'\"# \n\t0a\\\xff";
    int refused = 0;
    for (int run = 0; run < runs; ++run) {
        std::string text = original;
        for (std::uint64_t edits = 1 + random() % 4; edits > 0; --edits) {
            const std::size_t position = random() % text.size();
            const std::size_t length = random() % 20;
            switch (random() % 3) {
            case 0:
                text[position] = alphabet[random() % alphabet.size()];
                break;
            case 1:
                text.erase(position, length);
                break;
            default:
                text.insert(position, text.substr(random() % text.size(), length));
            }
        }
        const auto result = checkConfiguration({{"base.yaml", text}, {{"s.yaml", "site: s\n"}}});
        if (result) {
            continue;
        }
        ++refused;
        for (const Finding &finding : result.error().entries()) {
            const bool hasLocation = !finding.file.empty() && finding.line > 0 && finding.column > 0 && !finding.message.empty();
            if (!hasLocation) {
                CAPTURE(run, text, finding.message, finding.line, finding.column);
                FAIL("a finding has no location");
            }
        }
    }
    CHECK(refused > runs / 2);
}
