#pragma once

#include "LibCore/Error.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// One complete event of a `text/event-stream`: its bytes as received, including the terminating blank line.
struct RawEvent {
    std::string bytes;
    /// Value of the event's `id` field; empty if it has none or the value is not an integer.
    std::optional<std::int64_t> id;

    auto operator<=>(const RawEvent &) const = default;
};

/// Splits a `text/event-stream` into complete events without changing any byte, so that a relay never forwards part of one.
class EventSplitter
{
public:
    /// Appends the next bytes of the stream and returns the events that they complete. Fails with `event_too_large` once an
    /// event exceeds 1 MiB, since a peer that never ends an event would exhaust the memory.
    ErrorOr<std::vector<RawEvent>> feed(std::string_view bytes);
    /// Whether the buffer holds bytes of an incomplete event.
    bool hasPartialEvent() const;
    /// Memory of the incomplete event in bytes.
    std::size_t heldBytes() const;

private:
    std::string buffer;
};

} // namespace Godwitfork
