#include "LibCore/NonBlockingSink.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace Godwitfork
{

NonBlockingSink::NonBlockingSink(int descriptor) : descriptor(descriptor)
{
}

std::uint64_t NonBlockingSink::takeDropped()
{
    return this->dropped.exchange(0);
}

// A pipe that poll reports as writable accepts PIPE_BUF bytes without blocking. A longer line is written in pieces of that
// size, and is truncated if the reader stops in between.
void NonBlockingSink::sink_it_(const spdlog::details::log_msg &message)
{
    spdlog::memory_buf_t line;
    this->formatter_->format(message, line);
    std::size_t written = 0;
    while (written < line.size()) {
        pollfd state {this->descriptor, POLLOUT, 0};
        const bool isWritable = ::poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0;
        const std::size_t length = std::min<std::size_t>(line.size() - written, PIPE_BUF);
        const ssize_t count = isWritable ? ::write(this->descriptor, line.data() + written, length) : -1;
        if (count <= 0) {
            ++this->dropped;
            return;
        }
        written += static_cast<std::size_t>(count);
    }
}

void NonBlockingSink::flush_()
{
}

} // namespace Godwitfork
