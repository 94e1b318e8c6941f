#pragma once

#include "LibCore/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// One whole event of a `text/event-stream` with the bytes as they arrived, its blank line included.
struct RawEvent {
    std::string bytes;
    /// Value of the event's `id` field, if it is a number.
    std::optional<std::int64_t> id;

    auto operator<=>(const RawEvent &) const = default;
};

/// Cuts a `text/event-stream` into whole events without changing a byte, so that a relay never passes on a part of one.
class EventSplitter
{
public:
    /// Takes the next bytes and returns the events that they complete. Fails with `event_too_large` once an event passes
    /// 1 MiB, since a peer that never ends an event would fill the memory.
    ErrorOr<std::vector<RawEvent>> feed(std::string_view bytes);
    /// Whether bytes of an unfinished event are left.
    bool hasPartialEvent() const;

private:
    std::string buffer;
};

} // namespace Godwitfork
