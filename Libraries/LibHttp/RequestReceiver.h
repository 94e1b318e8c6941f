#pragma once

#include "LibCore/MemoryBudget.h"
#include "LibHttp/HttpMessage.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace Godwitfork
{

/// Answer to a request that the server rejects itself. Status 0: none.
struct HttpRefusal {
    int status = 0;
    std::string code;
    std::string message;
};

/// Limits of one request.
struct RequestLimits {
    /// Largest head; also the largest part of a body's framing, such as all trailers or one chunk's extension.
    std::uint32_t maxHeaderBytes = 0;
    std::uint64_t maxBodyBytes = 0;
};

/// Parses one request from the bytes of its connection. Does no input or output.
class RequestReceiver
{
public:
    /// What the bytes received so far amount to. `NoMemory`: the body may not grow further.
    enum class Step { NeedMore, Head, Complete, Failed, NoMemory };

    explicit RequestReceiver(const RequestLimits &limits);
    ~RequestReceiver();
    RequestReceiver(const RequestReceiver &) = delete;
    RequestReceiver &operator=(const RequestReceiver &) = delete;

    /// Takes bytes from the buffer. Returns `Head` once, when the head is complete. A body of unknown length grows with `bodyMemory`; the caller
    /// reserves a known length itself.
    Step parse(boost::beast::flat_buffer &buffer, MemoryReservation &bodyMemory);
    /// Why parsing failed.
    const HttpRefusal &refusal() const;

    /// The request without its body. After the body it includes the trailers.
    HttpRequest head() const;
    std::string takeBody();
    bool hasBody() const;
    /// Stated length of the body; 0 if it is not known.
    std::uint64_t statedLength() const;
    bool expectsContinue() const;
    bool keepsAlive() const;
    /// Bytes that the parsed head and trailers take, in the parser and in the request made from them.
    std::size_t headMemory() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Godwitfork
