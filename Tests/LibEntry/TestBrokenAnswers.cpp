#include "EntryFixture.h"

#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;

namespace
{
/// How the end of an answer is marked, as far as its endpoint has written it.
enum class Ending {
    /// The end that its head announces was written.
    Written,
    /// The end that its head announces, or of the head itself, is missing.
    Missing,
    /// Its head announces no end, so that it ends with its connection.
    Connection,
};

struct BrokenAnswer {
    std::string name;
    std::string bytes;
    Ending ending = Ending::Missing;
    /// Whole events in it.
    int events = 0;
    /// Whether bytes of a further event follow.
    bool endsInEvent = false;
};

const std::string statusLine = "HTTP/1.1 200 OK\r\n";
const std::string signedLines = "X-Attempt-Id: id1\r\nX-Response-Signature: signed\r\n";
const std::string head = statusLine + signedLines;
const std::string blank = "\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
constexpr int eventsInAll = 3;

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

std::string eventsFrom(int first)
{
    std::string text;
    for (int id = first; id <= eventsInAll; ++id) {
        text += event(id);
    }
    return text;
}

std::string lengthOf(std::size_t length)
{
    return "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

std::vector<BrokenAnswer> brokenAnswers()
{
    const std::string all = eventsFrom(1);
    const std::string some = event(1) + event(2);
    const std::string part = "id: 3\nda";
    const std::string firstChunk = chunk(event(1));
    return {
        {"nothing", "", Ending::Missing},
        {"in the status line", "HTTP/1.1 20", Ending::Missing},
        {"after the status line", statusLine, Ending::Missing},
        {"in a header line", head + "Content-Len", Ending::Missing},
        {"after a header line", head, Ending::Missing},
        {"after the line with the length", head + "Content-Length: 0\r\n", Ending::Missing},
        {"after the line with the coding", head + "Transfer-Encoding: chunked\r\n", Ending::Missing},
        {"in the blank line", head + "\r", Ending::Missing},
        {"in the head after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + head, Ending::Missing},
        {"after an interim response", "HTTP/1.1 100 Continue\r\n\r\n", Ending::Missing},
        {"before a body with length", head + lengthOf(all.size()), Ending::Missing},
        {"in a body with length, after events", head + lengthOf(all.size()) + some, Ending::Missing, 2},
        {"in a body with length, in an event", head + lengthOf(all.size()) + some + part, Ending::Missing, 2, true},
        {"after a body with length", head + lengthOf(all.size()) + all, Ending::Written, eventsInAll},
        {"before the first chunk", chunked, Ending::Missing},
        {"in the first chunk header", chunked + "1", Ending::Missing},
        {"in a later chunk header", chunked + firstChunk + "1", Ending::Missing, 1},
        {"in a chunk", chunked + firstChunk + "f\r\nid: 2\nda", Ending::Missing, 1, true},
        {"after a chunk's bytes", chunked + firstChunk + firstChunk.substr(0, firstChunk.size() - 2), Ending::Missing, 1},
        {"before the last chunk", chunked + chunk(all), Ending::Missing, eventsInAll},
        {"in the last chunk", chunked + chunk(all) + "0\r\n", Ending::Missing, eventsInAll},
        {"in the trailers", chunked + chunk(all) + "0\r\nX-Trailer: a", Ending::Missing, eventsInAll},
        {"after a trailer", chunked + chunk(all) + "0\r\nX-Trailer: a\r\n", Ending::Missing, eventsInAll},
        {"after the trailers", chunked + chunk(all) + "0\r\nX-Trailer: a\r\n\r\n", Ending::Written, eventsInAll},
        {"after the last chunk", chunked + chunk(all) + "0\r\n\r\n", Ending::Written, eventsInAll},
        {"without length, after events", head + blank + all, Ending::Connection, eventsInAll},
        {"without length, in an event", head + blank + some + part, Ending::Connection, 2, true},
        {"without length, in the blank line of an event", head + blank + all.substr(0, all.size() - 1), Ending::Connection, 2, true},
        {"without length, before an event", head + blank, Ending::Connection},
        {"without length, in the first event", head + blank + "id: 1\nda", Ending::Connection, 0, true},
        {"HTTP/1.0, after events", "HTTP/1.0 200 OK\r\n" + signedLines + blank + all, Ending::Connection, eventsInAll},
        {"HTTP/1.0, in the head", "HTTP/1.0 200 OK\r\n" + signedLines, Ending::Missing},
        {"HTTP/1.0, in an event", "HTTP/1.0 200 OK\r\n" + signedLines + blank + some + part, Ending::Connection, 2, true},
        {"Connection: close, after events", head + "Connection: close\r\n\r\n" + all, Ending::Connection, eventsInAll},
        {"Connection: close, in the head", head + "Connection: close\r\n", Ending::Missing},
        {"Connection: close, in an event", head + "Connection: close\r\n\r\n" + some + part, Ending::Connection, 2, true},
        {"after a body of length 0", head + lengthOf(0), Ending::Written},
        {"after the last chunk of an empty body", chunked + "0\r\n\r\n", Ending::Written},
    };
}

bool isWhole(const BrokenAnswer &answer, bool resets, RepeatRule rule)
{
    if (answer.ending != Ending::Connection) {
        return answer.ending == Ending::Written;
    }
    // An endpoint that crashes before its first event closes its connection too.
    return !resets && (!isStream(rule) || (answer.events > 0 && !answer.endsInEvent));
}

/// An answer as a caller reads it.
struct ReadAnswer {
    int status = 0;
    bool isComplete = false;
    std::string body;
};

ReadAnswer readRaw(const std::string &bytes)
{
    ReadAnswer answer;
    const std::size_t headEnd = bytes.find("\r\n\r\n");
    if (headEnd == std::string::npos) {
        return answer;
    }
    answer.status = std::stoi(bytes.substr(9, 3));
    const std::string lines = bytes.substr(0, headEnd + 2);
    std::string rest = bytes.substr(headEnd + 4);
    if (lines.find("Transfer-Encoding: chunked\r\n") != std::string::npos) {
        while (true) {
            const std::size_t lineEnd = rest.find("\r\n");
            const std::size_t length = lineEnd == std::string::npos ? 0 : std::stoul(rest.substr(0, lineEnd), nullptr, 16);
            if (length == 0 || rest.size() < lineEnd + 2 + length) {
                break;
            }
            answer.body += rest.substr(lineEnd + 2, length);
            rest.erase(0, lineEnd + 4 + length);
        }
        answer.isComplete = rest == "0\r\n\r\n";
        return answer;
    }
    const std::string name = "Content-Length: ";
    const std::size_t length = lines.find(name);
    answer.body = rest;
    // Without a length the end of the connection ends the answer, as far as its caller can see.
    answer.isComplete = length == std::string::npos || std::stoul(lines.substr(length + name.size())) == rest.size();
    return answer;
}

int eventsIn(const std::string &text)
{
    int events = 0;
    for (std::size_t at = 0; (at = text.find("data: x\n\n", at)) != std::string::npos; ++at) {
        ++events;
    }
    return events;
}

/// Answers the whole stream, or what follows the last event that the request names.
std::string soundAnswer(const std::string &request)
{
    const std::string name = "Last-Event-Id: ";
    const std::size_t at = request.find(name);
    const std::string body = eventsFrom(at == std::string::npos ? 1 : std::stoi(request.substr(at + name.size())) + 1);
    return head + lengthOf(body.size()) + body;
}

void checkAnswer(const BrokenAnswer &broken, bool resets, RepeatRule rule, bool hasOther)
{
    CAPTURE(broken.name, resets, static_cast<int>(rule), hasOther);
    EntryFixture entry;
    entry.setRoute(makeRoute(rule, 3));
    int runs = 0;
    const auto script = [&](const std::string &request) {
        ++runs;
        return runs == 1 ? EntryFixture::RawAnswer {broken.bytes, resets} : EntryFixture::RawAnswer {soundAnswer(request)};
    };
    entry.addRawEndpoint("e1", script);
    if (hasOther) {
        entry.addRawEndpoint("e2", script);
    }
    const std::string bytes = entry.sendRaw(callerHeaders("id1"), 0ms);
    const ReadAnswer answer = readRaw(bytes);
    const bool isSuccess = answer.status >= 200 && answer.status < 300;
    CHECK(answer.status != 0);
    CHECK((!isSuccess || bytes.find("X-Response-Signature: signed\r\n") != std::string::npos));
    if (isWhole(broken, resets, rule)) {
        CHECK(runs == 1);
        CHECK(answer.status == 200);
        CHECK(answer.isComplete);
        const bool isEmpty = broken.events == 0 && !broken.endsInEvent;
        CHECK(answer.body == (broken.ending == Ending::Connection ? broken.bytes.substr(broken.bytes.find("\r\n\r\n") + 4) : isEmpty ? "" : eventsFrom(1)));
        CHECK(eventsIn(answer.body) == broken.events);
    } else if (mayRepeat(rule) && hasOther) {
        CHECK(runs == 2);
        CHECK(answer.status == 200);
        CHECK(answer.isComplete);
        CHECK(answer.body == eventsFrom(1));
    } else {
        CHECK(runs == 1);
        CHECK_FALSE((isSuccess && answer.isComplete));
        // Once events have reached the caller, the connection ends inside the answer; otherwise the caller gets an error.
        const bool isStarted = isStream(rule) && broken.events > 0;
        CHECK((isStarted ? !answer.isComplete : answer.status == 502));
        CHECK((!isStarted || (answer.body == eventsFrom(1).substr(0, answer.body.size()) && eventsIn(answer.body) == broken.events)));
    }
}
} // namespace

TEST_CASE("An answer that its endpoint broke off never looks whole, and a whole one is delivered", "[broken]")
{
    // Guards against MIXED, ORDER and LOST: callers got an empty or short answer that was framed as whole.
    const RepeatRule rule = GENERATE(RepeatRule::Idempotent, RepeatRule::NonIdempotent, RepeatRule::Stream, RepeatRule::ResumableStream);
    const bool resets = GENERATE(false, true);
    const bool hasOther = GENERATE(false, true);
    for (const BrokenAnswer &broken : brokenAnswers()) {
        checkAnswer(broken, resets, rule, hasOther);
    }
}

TEST_CASE("An answer that was broken off on a kept connection never looks whole", "[broken]")
{
    // Guards against MIXED: what a connection carried before must not complete an answer.
    const RepeatRule rule = GENERATE(RepeatRule::Idempotent, RepeatRule::ResumableStream);
    const std::string earlier = "HTTP/1.1 200 OK\r\nX-Attempt-Id: earlier\r\nX-Response-Signature: signed\r\n" + lengthOf(0);
    const std::string before = GENERATE_COPY(std::string(), earlier);
    for (const BrokenAnswer &broken : brokenAnswers()) {
        if (broken.ending != Ending::Missing) {
            continue;
        }
        CAPTURE(broken.name, static_cast<int>(rule), before.empty());
        EntryFixture entry;
        entry.setRoute(makeRoute(rule, 3));
        int runs = 0;
        entry.addScriptedEndpoint("e1", {soundAnswer(""), before + broken.bytes}, &runs);
        CHECK(readRaw(entry.sendRaw(callerHeaders("id1"), 0ms)).body == eventsFrom(1));
        const ReadAnswer answer = readRaw(entry.sendRaw(callerHeaders("id1"), 0ms));
        CHECK(runs == 2);
        CHECK(answer.status != 0);
        CHECK_FALSE((answer.status < 300 && answer.isComplete));
    }
}

TEST_CASE("An answer without a body is delivered as it is", "[broken]")
{
    // Guards against a caller that waits for the body of an answer that has none, or gets an error for it.
    const RepeatRule rule = GENERATE(RepeatRule::Idempotent, RepeatRule::NonIdempotent, RepeatRule::Stream, RepeatRule::ResumableStream);
    const bool resets = GENERATE(false, true);
    const std::string line = GENERATE(std::string("204 No Content"), std::string("304 Not Modified"));
    const std::string length = GENERATE(std::string(), std::string("Content-Length: 0\r\n"));
    CAPTURE(static_cast<int>(rule), resets, line, length);
    EntryFixture entry;
    entry.setRoute(makeRoute(rule, 3));
    int runs = 0;
    entry.addRawEndpoint("e1", [&](const std::string &) {
        ++runs;
        return EntryFixture::RawAnswer {"HTTP/1.1 " + line + "\r\n" + signedLines + length + blank, resets};
    });
    const std::string bytes = entry.sendRaw(callerHeaders("id1"), 0ms);
    CHECK(bytes.starts_with("HTTP/1.1 " + line + "\r\n"));
    CHECK(bytes.ends_with("\r\n\r\n"));
    CHECK(bytes.find("X-Response-Signature: signed\r\n") != std::string::npos);
    CHECK(bytes.find("Transfer-Encoding") == std::string::npos);
    CHECK(runs == 1);
}
