#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <atomic>
#include <cstdint>
#include <mutex>

namespace Godwitfork
{

/// Log sink for a file descriptor that may be a pipe whose reader has stopped reading. A line that cannot be written without
/// blocking is dropped and counted.
class NonBlockingSink : public spdlog::sinks::base_sink<std::mutex>
{
public:
    explicit NonBlockingSink(int descriptor);

    /// Returns the number of lines dropped since the last call and resets it.
    std::uint64_t takeDropped();

protected:
    void sink_it_(const spdlog::details::log_msg &message) override;
    void flush_() override;

private:
    int descriptor;
    std::atomic<std::uint64_t> dropped = 0;
};

} // namespace Godwitfork
