#include "RequestHeaders.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
HttpRequest callerRequest()
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/a/b?x=1";
    request.headers = {{"Host", "h.example"},
                       {"X-Attempt-Id", "id1"},
                       {"X-Model", "*"},
                       {"X-Token-Usage", "1460,80"},
                       {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                       {"X-Deadline-Ms", "12000"},
                       {"X-Length-Hint", "60"},
                       {"Session", "s1"},
                       {"Last-Event-Id", "12"},
                       {"Authorization", "Bearer secret"},
                       {"Connection", "keep-alive, X-Hop"},
                       {"X-Hop", "1"},
                       {"X-Tenant", "forged"},
                       {"X-Cache-Retention", "forged"},
                       {"Kv-From", "forged"},
                       {"X-Pin-Ms", "9"},
                       {"X-Other", "kept"}};
    request.body = "body";
    return request;
}
} // namespace

TEST_CASE("The routing headers of a caller's request are parsed", "[platform]")
{
    const GatewayRequest gatewayRequest = Platform::readRequest(callerRequest());
    CHECK(gatewayRequest.id == "id1");
    CHECK(gatewayRequest.path == "/a/b");
    CHECK(gatewayRequest.key == "secret");
    CHECK(gatewayRequest.deadline == 12s);
    CHECK(gatewayRequest.model.empty());
    CHECK(gatewayRequest.promptTokens == 1460);
    CHECK(gatewayRequest.maxOutputTokens == 80);
    CHECK(gatewayRequest.expectedOutputTokens == 60);
    CHECK(gatewayRequest.promptParts.size() == 3);
    CHECK(gatewayRequest.promptParts.at(1) == PromptPart {"91bd3f06", 410});
    CHECK(gatewayRequest.resumeAfter == 12);
}

TEST_CASE("Malformed routing headers count as missing", "[platform]")
{
    HttpRequest request;
    request.headers = {
        {"X-Deadline-Ms", "soon"}, {"X-Token-Usage", "many"}, {"X-Prompt-Prefix", "a,b:x,c:5"}, {"Authorization", "Basic x"}, {"Last-Event-Id", "1x"}};
    const GatewayRequest gatewayRequest = Platform::readRequest(request);
    CHECK_FALSE(gatewayRequest.deadline);
    CHECK(gatewayRequest.promptTokens == 0);
    CHECK(gatewayRequest.promptParts == std::vector<PromptPart> {{"c", 5}});
    CHECK(gatewayRequest.key.empty());
    CHECK_FALSE(gatewayRequest.resumeAfter);
}

TEST_CASE("The client key and headers reserved for the router are not forwarded to an endpoint", "[platform]")
{
    AttemptHeaders attempt;
    attempt.endpoint = "i-1";
    attempt.account = "shop";
    attempt.remaining = 900ms;
    attempt.model = "m1";
    attempt.resumeAfter = 20;
    const HttpRequest request = Platform::makeEndpointRequest(callerRequest(), attempt);
    CHECK(request.target == "/a/b?x=1");
    CHECK(request.body.empty());
    for (const char *name : {"Authorization", "X-Cache-Retention", "Kv-From", "X-Pin-Ms", "X-Hop", "Connection"}) {
        CHECK(headerValue(request.headers, name).empty());
    }
    CHECK(headerValue(request.headers, "X-Tenant") == "shop");
    CHECK(headerValue(request.headers, "X-Target-Replica") == "i-1");
    CHECK(headerValue(request.headers, "X-Deadline-Ms") == "900");
    CHECK(headerValue(request.headers, "X-Model") == "m1");
    CHECK(headerValue(request.headers, "Last-Event-Id") == "20");
    CHECK(headerValue(request.headers, "X-Attempt-Id") == "id1");
    CHECK(headerValue(request.headers, "X-Other") == "kept");
    CHECK(std::count_if(request.headers.begin(), request.headers.end(), [](const HttpHeader &header) { return header.name == "X-Model"; }) == 1);
}

TEST_CASE("An answer to another request is recognised by its id", "[platform]")
{
    // A late second answer of an endpoint can arrive where the answer to the next request is expected.
    for (const Platform::IdEcho echo : {Platform::IdEcho::Optional, Platform::IdEcho::Required}) {
        CHECK(Platform::isAnswerTo({{"X-Attempt-Id", "id1"}}, "id1", echo));
        CHECK_FALSE(Platform::isAnswerTo({{"X-Attempt-Id", "id0"}}, "id1", echo));
    }
    CHECK(Platform::isAnswerTo({}, "id1", Platform::IdEcho::Optional));
    CHECK_FALSE(Platform::isAnswerTo({}, "id1", Platform::IdEcho::Required));
}

TEST_CASE("A request counts as not executed only if the endpoint states so", "[platform]")
{
    CHECK(Platform::readAnswer(503, {{"X-Not-Executed", "1"}}).notRun);
    CHECK(Platform::readAnswer(421, {}).notRun);
    CHECK_FALSE(Platform::readAnswer(503, {}).notRun);
    CHECK(Platform::readAnswer(200, {{"X-Response-Signature", "x"}, {"X-Confidence", "73"}}).confidence == 73);
}

TEST_CASE("The limit that an endpoint names is parsed and malformed ones are ignored", "[platform]")
{
    CHECK(Platform::readAnswer(200, {{"Server-Limit", "1"}}).announcement.requestsPerSecond == 1);
    CHECK(Platform::readAnswer(200, {{"server-limit", " 2.5 "}}).announcement.requestsPerSecond == 2.5);
    CHECK(Platform::readAnswer(503, {{"Server-Limit", "0"}}).announcement.requestsPerSecond == 0);
    CHECK(Platform::readAnswer(200, {}).announcement == EndpointAnnouncement());
    for (const std::string value : {"-1", "many", "", "nan", "inf", "1e9", "99999999999", "1, 2", "0x10", "1 2"}) {
        INFO(value);
        const EndpointAnnouncement announcement = Platform::readAnswer(200, {{"Server-Limit", value}}).announcement;
        CHECK_FALSE(announcement.requestsPerSecond);
        CHECK_FALSE(announcement.problem.empty());
    }
    const EndpointAnnouncement repeated = Platform::readAnswer(200, {{"Server-Limit", "1"}, {"Server-Limit", "2"}}).announcement;
    CHECK_FALSE(repeated.requestsPerSecond);
    CHECK_FALSE(repeated.problem.empty());
}

TEST_CASE("An endpoint's word that it leaves or is closed is parsed and malformed ones are ignored", "[platform]")
{
    CHECK(Platform::readAnswer(200, {{"Server-Leaving", "1"}}).announcement.isLeaving);
    CHECK_FALSE(Platform::readAnswer(200, {{"Server-Leaving", "0"}}).announcement.isLeaving);
    CHECK(Platform::readAnswer(503, {{"X-Not-Executed", "1"}, {"Retry-After", "1.5"}}).announcement.closedFor == 1500ms);
    // Another answer's Retry-After is meant for the caller.
    CHECK_FALSE(Platform::readAnswer(503, {{"Retry-After", "1.5"}}).announcement.closedFor);
    CHECK_FALSE(Platform::readAnswer(200, {{"Retry-After", "1.5"}}).announcement.closedFor);
    for (const std::string value : {"-1", "soon", "", "nan", "99999999", "Fri, 31 Dec 1999 23:59:59 GMT", "1, 2"}) {
        INFO(value);
        const EndpointAnnouncement announcement =
            Platform::readAnswer(503, {{"X-Not-Executed", "1"}, {"Retry-After", value}, {"Server-Leaving", value}}).announcement;
        CHECK_FALSE(announcement.closedFor);
        CHECK_FALSE(announcement.isLeaving);
        CHECK_FALSE(announcement.problem.empty());
    }
}

// Guards against a priority that engines refuse as malformed: the operators' ranks have no upper bound, engines know 0 to 9.
TEST_CASE("The priority sent to engines is limited to their range", "[platform]")
{
    AttemptHeaders attempt;
    attempt.endpoint = "e1";
    CHECK(headerValue(Platform::makeEndpointRequest(callerRequest(), attempt).headers, "X-Request-Priority").empty());
    attempt.enginePriority = 3;
    CHECK(headerValue(Platform::makeEndpointRequest(callerRequest(), attempt).headers, "X-Request-Priority") == "3");
    attempt.enginePriority = 12;
    CHECK(headerValue(Platform::makeEndpointRequest(callerRequest(), attempt).headers, "X-Request-Priority") == "9");
}
