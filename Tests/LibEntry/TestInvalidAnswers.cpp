#include "EntryFixture.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace Godwitfork;
using namespace std::chrono_literals;
namespace Asio = boost::asio;
using Tcp = Asio::ip::tcp;

namespace
{
enum class Pace { AtOnce, OneByte };

const std::string signedLines = "X-Attempt-Id: id1\r\nX-Response-Signature: signed\r\n";
const std::string statusLine = "HTTP/1.1 200 OK\r\n";
const std::string soundBody = "id: 1\ndata: sound\n\n";
const std::string soundAnswer = statusLine + signedLines + "Content-Length: " + std::to_string(soundBody.size()) + "\r\n\r\n" + soundBody;
/// Text that only invalid answers hold.
const std::string mark = "invalid";
const std::string markedBody = "id: 1\ndata: " + mark + "\n\n";
const std::string markedLength = "Content-Length: " + std::to_string(markedBody.size()) + "\r\n";
const std::string markedChunks = "15\r\n" + markedBody + "\r\n0\r\n\r\n";

const std::vector<RepeatRule> &repeatRules()
{
    static const std::vector<RepeatRule> rules = {RepeatRule::Idempotent, RepeatRule::NonIdempotent, RepeatRule::Stream, RepeatRule::ResumableStream};
    return rules;
}

/// Writes an answer to the first request on a connection.
Asio::awaitable<void> writeAnswer(Tcp::socket &socket, std::string bytes, Pace pace)
{
    std::string request;
    co_await Asio::async_read_until(socket, Asio::dynamic_buffer(request), "body", Asio::use_awaitable);
    const std::size_t step = pace == Pace::OneByte ? 1 : bytes.size();
    socket.set_option(Tcp::no_delay(true));
    Asio::steady_timer timer(socket.get_executor());
    for (std::size_t at = 0; at < bytes.size(); at += step) {
        co_await Asio::async_write(socket, Asio::buffer(bytes.data() + at, step), Asio::use_awaitable);
        // The router reads each piece before the next one is written.
        timer.expires_after(pace == Pace::OneByte ? 100us : 0us);
        co_await timer.async_wait(Asio::use_awaitable);
    }
}

/// All bytes that a field name may not hold, but for the colon that ends it (RFC 9110, section 5.6.2).
std::string invalidNameBytes()
{
    const std::string others = "!#$%&'*+-.^_`|~:";
    std::string bytes;
    for (int value = 0; value < 256; ++value) {
        const char byte = static_cast<char>(value);
        const bool isValid = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z');
        if (!isValid && others.find(byte) == std::string::npos) {
            bytes += byte;
        }
    }
    return bytes;
}

/// What a caller received, and how often its request was sent to an endpoint.
struct Delivery {
    std::string received;
    int runs = 0;
};

/// Sends a request to a router whose first attempt gets the answer `bytes`; a further one gets a sound answer.
Delivery deliver(const std::string &bytes, RepeatRule rule, Pace pace)
{
    EntryFixture entry;
    entry.setRoute(makeRoute(rule, 3));
    Delivery delivery;
    const auto script = [&](Tcp::socket &socket) -> Asio::awaitable<void> {
        ++delivery.runs;
        co_await writeAnswer(socket, delivery.runs == 1 ? bytes : soundAnswer, pace);
    };
    entry.addRawEndpoint("e1", script);
    entry.addRawEndpoint("e2", script);
    delivery.received = entry.sendRaw(callerHeaders("id1"), 0ms);
    return delivery;
}

/// Checks that an invalid answer counts as a failed attempt whose request may have run, and that its caller gets nothing of it.
void checkRefused(RepeatRule rule, const std::string &bytes, const std::string &reason, Pace pace = Pace::AtOnce)
{
    CAPTURE(bytes, static_cast<int>(rule), static_cast<int>(pace));
    const Delivery delivery = deliver(bytes, rule, pace);
    CHECK(delivery.received.find(mark) == std::string::npos);
    if (mayRepeat(rule)) {
        CHECK(delivery.runs == 2);
        CHECK(delivery.received.starts_with(statusLine));
        CHECK(delivery.received.find(soundBody) != std::string::npos);
    } else {
        CHECK(delivery.runs == 1);
        CHECK(delivery.received.starts_with("HTTP/1.1 502 "));
        CHECK(delivery.received.find("X-Response-Signature") == std::string::npos);
        CHECK(bodyOf(delivery.received) == R"({"error":{"code":")" + reason + R"("}})");
    }
}

void checkRefused(const std::string &bytes, const std::string &reason, Pace pace = Pace::AtOnce)
{
    for (const RepeatRule rule : repeatRules()) {
        checkRefused(rule, bytes, reason, pace);
    }
}

/// Checks that an answer is delivered with `status` and `body` by its first attempt.
void checkDelivered(const std::string &bytes, int status, const std::string &body)
{
    for (const RepeatRule rule : repeatRules()) {
        if (mayRepeat(rule) && status >= 300) {
            // Another endpoint is tried after a sound failure too.
            continue;
        }
        CAPTURE(bytes, static_cast<int>(rule));
        const Delivery delivery = deliver(bytes, rule, Pace::AtOnce);
        CHECK(delivery.runs == 1);
        CHECK(delivery.received.starts_with("HTTP/1.1 " + std::to_string(status) + " "));
        CHECK(delivery.received.find("X-Response-Signature: signed\r\n") != std::string::npos);
        CHECK(delivery.received.find(body) != std::string::npos);
    }
}
} // namespace

TEST_CASE("An answer with a status outside 100 to 599 is refused", "[invalid]")
{
    // Guards against callers that get such a status, or the body of such an answer as an answer of its own.
    const std::string status = GENERATE(as<std::string>(), "000", "001", "099", "600", "700", "999");
    const std::string head = "HTTP/1.1 " + status + " None\r\n" + signedLines;
    const std::string answerInBody = statusLine + signedLines + markedLength + "\r\n" + markedBody;
    const std::string reason = "bad status";
    checkRefused(head + "Content-Length: 0\r\n\r\n", reason);
    checkRefused(head + markedLength + "\r\n" + markedBody, reason);
    checkRefused(head + "\r\n" + markedBody, reason);
    checkRefused(head + "\r\n" + answerInBody, reason);
    checkRefused(head + "Content-Length: " + std::to_string(answerInBody.size()) + "\r\n\r\n" + answerInBody, reason);
    checkRefused("HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\n" + answerInBody, reason);
}

TEST_CASE("An answer with a status from 200 to 599 is delivered, whether it is registered or not", "[invalid]")
{
    // Guards against a check that is stricter than the protocol: a recipient accepts statuses of these classes that it does not know.
    const int status = GENERATE(200, 299, 399, 404, 499, 500, 599);
    checkDelivered("HTTP/1.1 " + std::to_string(status) + " \r\n" + signedLines + markedLength + "\r\n" + markedBody, status, mark);
}

TEST_CASE("An interim response that announces a body is refused, as is a switch of protocols", "[invalid]")
{
    // Guards against callers that get the body of one message, or the bytes of another protocol, as an answer.
    const std::string answer = statusLine + signedLines + markedLength + "\r\n" + markedBody;
    const std::string length = "Content-Length: " + std::to_string(answer.size()) + "\r\n\r\n";
    const std::string interim = GENERATE(as<std::string>(), "HTTP/1.1 100 Continue\r\n", "HTTP/1.1 103 Early Hints\r\n");
    checkRefused(interim + length + answer, "bad Content-Length");
    checkRefused(interim + "Transfer-Encoding: chunked\r\n\r\n" + answer, "bad Transfer-Encoding");
    checkRefused("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n" + answer, "bad status");
    checkRefused("HTTP/1.1 101 Switching Protocols\r\n\r\n" + answer, "bad status");
}

TEST_CASE("An answer after sound interim responses is delivered", "[invalid]")
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\nHTTP/1.1 199 Other\r\nLink: a\r\n\r\n";
    checkDelivered(interim + soundAnswer, 200, soundBody);
}

TEST_CASE("An answer whose head has a field name with an invalid byte is refused", "[invalid]")
{
    // Guards against callers that get such a line, or a body that is framed by the other lines alone.
    for (const char byte : invalidNameBytes()) {
        for (const std::string &name : {byte + mark, "X-" + std::string(1, byte) + mark, mark + byte}) {
            const std::string line = name + ": 1\r\n";
            const bool isBlank = line.front() == ' ' || line.front() == '\t';
            const std::string reason = line.front() == '\r' ? "bad line ending" : isBlank ? "bad obs-fold" : "bad field";
            checkRefused(RepeatRule::NonIdempotent, statusLine + line + signedLines + markedLength + "\r\n" + markedBody, reason);
            if (byte != ' ' && byte != '\t') {
                checkRefused(RepeatRule::NonIdempotent, statusLine + signedLines + line + markedLength + "\r\n" + markedBody, reason);
                checkRefused(RepeatRule::NonIdempotent, statusLine + signedLines + markedLength + line + "\r\n" + markedBody, reason);
            }
        }
    }
}

TEST_CASE("A field name with an invalid byte is found under each rule, at once and in pieces", "[invalid]")
{
    const std::string name = GENERATE_COPY(as<std::string>(), "X " + mark, "X\t" + mark, "X\1" + mark, "X\x7f" + mark, "X\xe9" + mark, mark + " ", "");
    const std::string line = name + ": 1\r\n";
    for (const Pace pace : {Pace::AtOnce, Pace::OneByte}) {
        checkRefused(statusLine + signedLines + line + markedLength + "\r\n" + markedBody, "bad field", pace);
        checkRefused(statusLine + signedLines + markedLength + line + "\r\n" + markedBody, "bad field", pace);
        checkRefused("HTTP/1.1 100 Continue\r\n" + line + "\r\n" + statusLine + signedLines + markedLength + "\r\n" + markedBody, "bad field", pace);
    }
}

TEST_CASE("A line that would frame the body with a valid name is not taken for another one", "[invalid]")
{
    // Guards against a body that goes on to the end of the connection, with the marks of its chunks, because the line was passed over.
    const std::string line =
        GENERATE(as<std::string>(), "Content-Length : 4", "Content Length: 4", "Transfer-Encoding : chunked", "Transfer Encoding: chunked");
    checkRefused(statusLine + signedLines + line + "\r\n\r\n" + markedBody, "bad field");
    checkRefused(statusLine + line + "\r\n" + signedLines + "\r\n" + markedBody, "bad field");
}

TEST_CASE("A field name with an invalid byte in the trailers breaks the answer off", "[invalid]")
{
    const std::string name = GENERATE_COPY(as<std::string>(), "X " + mark, "X\t" + mark, "X\1" + mark, "X\x7f" + mark, "X\xe9" + mark, mark + " ", " " + mark);
    const std::string chunked = statusLine + signedLines + "Transfer-Encoding: chunked\r\n\r\n13\r\n" + soundBody + "\r\n0\r\n";
    CAPTURE(name);
    const std::string bytes = chunked + name + ": 1\r\n\r\n";
    checkRefused(RepeatRule::NonIdempotent, bytes, "bad field");
    checkRefused(RepeatRule::Idempotent, bytes, "bad field");
    const std::string received = deliver(bytes, RepeatRule::Stream, Pace::AtOnce).received;
    CHECK(received.find(soundBody) != std::string::npos);
    CHECK_FALSE(received.ends_with("0\r\n\r\n"));
}

TEST_CASE("An answer whose head has a line that begins with a blank is refused", "[invalid]")
{
    // Guards against a field that becomes part of another one's value, so that its caller gets it there, or a body without the length in it.
    const std::string blank = GENERATE(as<std::string>(), " ", "\t", " \t  ");
    const std::string before = GENERATE_COPY(as<std::string>(), signedLines, "X-Empty:\r\n" + signedLines, signedLines + "X-Empty: \r\n");
    for (const Pace pace : {Pace::AtOnce, Pace::OneByte}) {
        checkRefused(statusLine + before + blank + "X-" + mark + ": 1\r\n" + markedLength + "\r\n" + markedBody, "bad obs-fold", pace);
        checkRefused(statusLine + before + markedLength + blank + mark + "\r\n\r\n" + markedBody, "bad obs-fold", pace);
        checkRefused(statusLine + before + blank + markedLength + "\r\n" + markedBody, "bad obs-fold", pace);
        checkRefused(statusLine + before + blank + "Transfer-Encoding: chunked\r\n\r\n" + markedBody, "bad obs-fold", pace);
        checkRefused(
            "HTTP/1.1 100 Continue\r\nX-A: 1\r\n" + blank + "X-B: 1\r\n\r\n" + statusLine + before + markedLength + "\r\n" + markedBody, "bad obs-fold", pace);
    }
}

TEST_CASE("Blanks around a value and at the start of a body are not a folded line", "[invalid]")
{
    const std::string blanks = "X-Blank: \t a b \t \r\nX-Empty:\r\nX-Empty: \r\n";
    const std::string body = "\r\n folded: no\r\n\r\n id: 1\ndata: sound\n\n";
    const Pace pace = GENERATE(Pace::AtOnce, Pace::OneByte);
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    const Delivery delivery = deliver(statusLine + blanks + signedLines + length + body, RepeatRule::NonIdempotent, pace);
    CHECK(delivery.received.find("X-Blank: a b\r\n") != std::string::npos);
    CHECK(bodyOf(delivery.received) == body);
}

TEST_CASE("An answer with a transfer coding that the client cannot decode is refused", "[invalid]")
{
    // Guards against callers that get coded bytes, or the marks of chunks, as the body.
    const std::string coding = GENERATE(
        as<std::string>(), "gzip", "identity", "", "gzip, chunked", "chunked, gzip", "chunked, chunked", "gzip\r\nTransfer-Encoding: chunked", "chunked; a=1");
    checkRefused(statusLine + signedLines + "Transfer-Encoding: " + coding + "\r\n\r\n" + markedChunks, "bad Transfer-Encoding");
}

TEST_CASE("An answer of HTTP/1.0, which has no transfer codings, is refused if it names one", "[invalid]")
{
    checkRefused("HTTP/1.0 200 OK\r\n" + signedLines + "Transfer-Encoding: chunked\r\n\r\n" + markedChunks, "bad Transfer-Encoding");
}

TEST_CASE("An answer in chunks is delivered, however the name of the coding is written", "[invalid]")
{
    const std::string coding = GENERATE(as<std::string>(), "chunked", "Chunked", " CHUNKED ", "chunked,", ", chunked");
    const std::string chunks = "13\r\n" + soundBody + "\r\n0\r\n\r\n";
    checkDelivered(statusLine + signedLines + "Transfer-Encoding: " + coding + "\r\n\r\n" + chunks, 200, soundBody);
}

TEST_CASE("Nothing of an answer's trailers is passed on", "[invalid]")
{
    // Guards against trailers that replace a header, or are joined to one by a folded line.
    const std::string trailers = "X-Trailer: " + mark + "\r\n folded-" + mark + "\r\nX-Response-Signature: " + mark + "\r\n";
    const std::string bytes = statusLine + signedLines + "Transfer-Encoding: chunked\r\n\r\n13\r\n" + soundBody + "\r\n0\r\n" + trailers + "\r\n";
    checkDelivered(bytes, 200, soundBody);
    CHECK(deliver(bytes, RepeatRule::NonIdempotent, Pace::AtOnce).received.find(mark) == std::string::npos);
    CHECK(deliver(bytes, RepeatRule::Stream, Pace::AtOnce).received.find(mark) == std::string::npos);
}
