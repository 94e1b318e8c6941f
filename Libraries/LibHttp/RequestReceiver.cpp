#include "LibHttp/RequestReceiver.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>

namespace Godwitfork
{

namespace Beast = boost::beast;
namespace Http = boost::beast::http;
using Parser = Http::request_parser<Http::string_body>;

namespace
{
/// Memory of one header besides its text: the parser's element and the two strings made from it, each with the allocator's overhead. Estimated
/// from the sizes of these types.
constexpr std::size_t headerOverhead = 192;

/// Makes room for `bytes` more in a body of unknown length that may have at most `maxBytes`. Returns false if the memory may not be held.
bool growBody(std::string &body, MemoryReservation &memory, std::size_t bytes, std::size_t maxBytes)
{
    const std::size_t needed = std::min(body.size() + bytes, maxBytes);
    if (needed <= body.capacity()) {
        return true;
    }
    const std::size_t capacity = std::max(needed, std::min(2 * body.capacity(), maxBytes));
    // Both copies are held while the bytes move.
    if (!memory.resize(body.size() + capacity)) {
        return false;
    }
    body.reserve(capacity);
    return memory.resize(capacity);
}
} // namespace

struct RequestReceiver::State {
    explicit State(const RequestLimits &limits) : limits(limits)
    {
        this->parser.header_limit(limits.maxHeaderBytes);
        this->parser.body_limit(limits.maxBodyBytes);
    }

    Step fail(const boost::system::error_code &error)
    {
        if (error == Http::error::body_limit) {
            this->refusal = {413, "body_too_large", "the request body exceeds " + std::to_string(this->limits.maxBodyBytes) + " bytes"};
        } else if (error == Http::error::header_limit) {
            this->refusal = {431, "header_too_large", "the request header exceeds " + std::to_string(this->limits.maxHeaderBytes) + " bytes"};
        } else {
            this->refusal = {400, "malformed_request", "the request is not valid HTTP: " + error.message()};
        }
        return Step::Failed;
    }

    RequestLimits limits;
    Parser parser;
    HttpRefusal refusal;
    bool isHeadReported = false;
};

RequestReceiver::RequestReceiver(const RequestLimits &limits) : state(std::make_unique<State>(limits))
{
}

RequestReceiver::~RequestReceiver() = default;

RequestReceiver::Step RequestReceiver::parse(Beast::flat_buffer &buffer, MemoryReservation &bodyMemory)
{
    Parser &parser = this->state->parser;
    while (!parser.is_done()) {
        if (parser.is_header_done() && !this->state->isHeadReported) {
            this->state->isHeadReported = true;
            return Step::Head;
        }
        if (buffer.size() == 0) {
            return Step::NeedMore;
        }
        if (parser.is_header_done() && parser.chunked() && !growBody(parser.get().body(), bodyMemory, buffer.size(), this->state->limits.maxBodyBytes)) {
            return Step::NoMemory;
        }
        boost::system::error_code error;
        buffer.consume(parser.put(buffer.data(), error));
        if (error == Http::error::need_more) {
            // The parser waits for the end of a chunk's head or of the trailers, however long they get.
            const bool isTooLong = parser.is_header_done() && buffer.size() >= this->state->limits.maxHeaderBytes;
            return isTooLong ? this->state->fail(Http::make_error_code(Http::error::header_limit)) : Step::NeedMore;
        }
        if (error) {
            return this->state->fail(error);
        }
    }
    if (!this->state->isHeadReported) {
        this->state->isHeadReported = true;
        return Step::Head;
    }
    return Step::Complete;
}

const HttpRefusal &RequestReceiver::refusal() const
{
    return this->state->refusal;
}

HttpRequest RequestReceiver::head() const
{
    const auto &message = this->state->parser.get();
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return request;
}

std::string RequestReceiver::takeBody()
{
    return std::move(this->state->parser.get().body());
}

bool RequestReceiver::hasBody() const
{
    return this->state->parser.chunked() || this->statedLength() > 0;
}

std::uint64_t RequestReceiver::statedLength() const
{
    const auto length = this->state->parser.content_length();
    return length ? *length : 0;
}

bool RequestReceiver::expectsContinue() const
{
    return Beast::iequals(this->state->parser.get()[Http::field::expect], "100-continue");
}

bool RequestReceiver::keepsAlive() const
{
    return this->state->parser.keep_alive();
}

std::size_t RequestReceiver::headMemory() const
{
    const auto &message = this->state->parser.get();
    std::size_t bytes = 2 * message.target().size();
    for (const auto &field : message) {
        bytes += 2 * (field.name_string().size() + field.value().size()) + headerOverhead;
    }
    return bytes;
}

} // namespace Godwitfork
