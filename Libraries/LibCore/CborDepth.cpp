#include "LibCore/CborDepth.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Godwitfork
{

namespace
{
/// Major types of CBOR data items (RFC 8949, section 3.1).
enum class MajorType : std::uint8_t { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

/// Head of a data item (RFC 8949, section 3): the major type and the value, length or count that follows it.
struct ItemHead {
    MajorType type = MajorType::Unsigned;
    std::uint64_t argument = 0;
};

/// Reads the heads of successive data items and skips the content of strings.
class HeadReader
{
public:
    explicit HeadReader(std::string_view bytes) : bytes(bytes)
    {
    }

    bool atEnd() const
    {
        return this->position == this->bytes.size();
    }

    std::optional<ItemHead> next()
    {
        if (this->atEnd()) {
            return std::nullopt;
        }
        const auto first = static_cast<std::uint8_t>(this->bytes[this->position++]);
        ItemHead head {static_cast<MajorType>(first >> 5U), first & 0x1fU};
        constexpr std::uint64_t oneByteArgument = 24;
        constexpr std::uint64_t eightByteArgument = 27;
        if (head.argument > eightByteArgument) {
            return std::nullopt;
        }
        if (head.argument >= oneByteArgument) {
            const std::size_t length = std::size_t {1} << (head.argument - oneByteArgument);
            if (length > this->bytes.size() - this->position) {
                return std::nullopt;
            }
            head.argument = 0;
            for (std::size_t i = 0; i < length; ++i) {
                head.argument = head.argument << 8U | static_cast<std::uint8_t>(this->bytes[this->position++]);
            }
        }
        return head;
    }

    bool skip(std::uint64_t length)
    {
        if (length > this->bytes.size() - this->position) {
            return false;
        }
        this->position += length;
        return true;
    }

private:
    std::string_view bytes;
    std::size_t position = 0;
};
} // namespace

bool isCborWithinDepth(std::string_view bytes, int maxDepth)
{
    HeadReader reader(bytes);
    // Number of items that remain to be read at each open nesting level.
    std::vector<std::uint64_t> remainingItems {1};
    while (!remainingItems.empty()) {
        if (remainingItems.back() == 0) {
            remainingItems.pop_back();
            continue;
        }
        --remainingItems.back();
        const std::optional<ItemHead> head = reader.next();
        if (!head) {
            return false;
        }
        const bool isString = head->type == MajorType::Bytes || head->type == MajorType::Text;
        if (isString && !reader.skip(head->argument)) {
            return false;
        }
        const bool isMap = head->type == MajorType::Map;
        if (head->type == MajorType::Tag || (isMap && head->argument > bytes.size())) {
            return false;
        }
        if (isMap || head->type == MajorType::Array) {
            if (static_cast<int>(remainingItems.size()) > maxDepth) {
                return false;
            }
            remainingItems.push_back(isMap ? 2 * head->argument : head->argument);
        }
    }
    return reader.atEnd();
}

} // namespace Godwitfork
