#include "LibPeer/PeerMessage.h"

#include "LibCore/CborDepth.h"

#include <nlohmann/json.hpp>

#include <array>
#include <concepts>

namespace Godwitfork
{

namespace
{
using Json = nlohmann::json;

constexpr int messageVersion = 1;
constexpr int maxMessageDepth = 4;

// Type names on the wire, in the order of the alternatives of PeerMessage.
constexpr std::array<const char *, std::variant_size_v<PeerMessage>> typeNames {"gossip",
                                                                                "member_list",
                                                                                "configuration_request",
                                                                                "configuration_reply",
                                                                                "journal_append",
                                                                                "journal_ack",
                                                                                "journal_drop",
                                                                                "estimate_delta",
                                                                                "leaving"};

/// Appends the fields of a message struct to the body array.
class Writer
{
public:
    template<std::integral T>
    bool field(const T &value)
    {
        this->body.push_back(value);
        return true;
    }

    bool field(const std::string &value)
    {
        this->body.push_back(value);
        return true;
    }

    bool field(const OpaqueBytes &value)
    {
        this->body.push_back(Json::binary(value));
        return true;
    }

    bool field(const std::vector<OpaqueBytes> &values)
    {
        Json list = Json::array();
        for (const OpaqueBytes &value : values) {
            list.push_back(Json::binary(value));
        }
        this->body.push_back(std::move(list));
        return true;
    }

    bool field(const std::vector<PeerMember> &members)
    {
        Json list = Json::array();
        for (const PeerMember &member : members) {
            list.push_back(Json::array({member.incarnation, member.instance, member.failureDomain, member.peerAddress}));
        }
        this->body.push_back(std::move(list));
        return true;
    }

    Json body = Json::array();
};

/// Reads the fields of a message struct from the body array. Each function returns false if the next item is missing or has
/// another type than the field.
class Reader
{
public:
    explicit Reader(const Json &body) : body(body)
    {
    }

    bool field(bool &value)
    {
        const Json *item = this->next();
        if (item == nullptr || !item->is_boolean()) {
            return false;
        }
        value = item->get<bool>();
        return true;
    }

    template<std::unsigned_integral T>
    bool field(T &value)
    {
        const Json *item = this->next();
        if (item == nullptr || !item->is_number_unsigned() || item->get<std::uint64_t>() > std::numeric_limits<T>::max()) {
            return false;
        }
        value = item->get<T>();
        return true;
    }

    bool field(std::string &value)
    {
        const Json *item = this->next();
        return item != nullptr && take(*item, value);
    }

    bool field(OpaqueBytes &value)
    {
        const Json *item = this->next();
        return item != nullptr && take(*item, value);
    }

    bool field(std::vector<OpaqueBytes> &values)
    {
        return this->list(values, [](const Json &item, OpaqueBytes &value) { return take(item, value); });
    }

    bool field(std::vector<PeerMember> &members)
    {
        return this->list(members, [](const Json &item, PeerMember &member) {
            return item.is_array() && item.size() >= 4 && take(item[0], member.incarnation) && take(item[1], member.instance)
                && take(item[2], member.failureDomain) && take(item[3], member.peerAddress);
        });
    }

private:
    const Json *next()
    {
        return this->position < this->body.size() ? &this->body[this->position++] : nullptr;
    }

    static bool take(const Json &item, std::string &value)
    {
        if (!item.is_string()) {
            return false;
        }
        value = item.get_ref<const std::string &>();
        return true;
    }

    static bool take(const Json &item, OpaqueBytes &value)
    {
        if (!item.is_binary()) {
            return false;
        }
        value = item.get_binary();
        return true;
    }

    template<typename T, typename Take>
    bool list(std::vector<T> &values, Take takeItem)
    {
        const Json *items = this->next();
        if (items == nullptr || !items->is_array()) {
            return false;
        }
        for (const Json &item : *items) {
            if (!takeItem(item, values.emplace_back())) {
                return false;
            }
        }
        return true;
    }

    const Json &body;
    std::size_t position = 0;
};

// Each overload lists the fields of one message struct. Writer and Reader use the same list, so that the field order of
// encoding and decoding cannot differ.
template<typename Access, typename T>
bool visitFields(Access &access, T &gossip) requires std::same_as<std::remove_const_t<T>, Gossip>
{
    auto kind = static_cast<std::uint8_t>(gossip.kind);
    const bool complete = access.field(gossip.sender) && access.field(kind) && access.field(gossip.memberListHash) && access.field(gossip.heartbeatAges)
        && access.field(gossip.configurationRevision) && access.field(gossip.confirmationAgeMs) && access.field(gossip.storeReachable)
        && access.field(gossip.revisionHolders) && access.field(gossip.sequence) && access.field(gossip.echoSequence) && access.field(gossip.echoDelayMs);
    if constexpr (!std::is_const_v<T>) {
        gossip.kind = static_cast<GossipKind>(kind);
    }
    return complete && kind <= static_cast<std::uint8_t>(GossipKind::Reply);
}

template<typename Access, typename T>
bool visitFields(Access &access, T &message) requires std::same_as<std::remove_const_t<T>, MemberList>
{
    return access.field(message.members);
}

template<typename Access, typename T>
bool visitFields(Access &access, T &message) requires std::same_as<std::remove_const_t<T>, ConfigurationRequest>
{
    return access.field(message.revision);
}

template<typename Access, typename T>
bool visitFields(Access &access, T &message) requires std::same_as<std::remove_const_t<T>, ConfigurationReply>
{
    return access.field(message.revision) && access.field(message.body);
}

template<typename Access, typename T>
bool visitFields(Access &access, T &message) requires std::same_as<std::remove_const_t<T>, JournalAppendMessage>
{
    return access.field(message.body);
}

template<typename Access, typename T>
bool visitFields(Access &access, T &message) requires std::same_as<std::remove_const_t<T>, JournalAckMessage>
{
    return access.field(message.body);
}

template<typename Access, typename T>
bool visitFields(Access &access, T &message) requires std::same_as<std::remove_const_t<T>, JournalDropMessage>
{
    return access.field(message.body);
}

template<typename Access, typename T>
bool visitFields(Access &access, T &message) requires std::same_as<std::remove_const_t<T>, EstimateDelta>
{
    return access.field(message.sums);
}

template<typename Access, typename T>
bool visitFields(Access &access, T &message) requires std::same_as<std::remove_const_t<T>, Leaving>
{
    return access.field(message.incarnation);
}

template<std::size_t index = 0>
ErrorOr<std::optional<PeerMessage>> decodeBody(const std::string &type, const Json &body)
{
    if constexpr (index < std::variant_size_v<PeerMessage>) {
        if (type != typeNames[index]) {
            return decodeBody<index + 1>(type, body);
        }
        std::variant_alternative_t<index, PeerMessage> message;
        Reader reader(body);
        if (!visitFields(reader, message)) {
            return Error {"malformed_message", "a field of message type '" + type + "' is missing or has the wrong type"};
        }
        return std::optional<PeerMessage>(std::move(message));
    } else {
        return std::optional<PeerMessage>();
    }
}
} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    Writer writer;
    std::visit([&writer](const auto &alternative) { visitFields(writer, alternative); }, message);
    const Json envelope {{"type", typeNames[message.index()]}, {"version", messageVersion}, {"body", std::move(writer.body)}};
    std::string bytes;
    Json::to_cbor(envelope, bytes);
    return bytes;
}

ErrorOr<std::optional<PeerMessage>> decodePeerMessage(std::string_view bytes)
{
    const Error malformed {"malformed_message", "the peer message is not a CBOR map with type, version and body"};
    if (!isCborWithinDepth(bytes, maxMessageDepth)) {
        return malformed;
    }
    const Json envelope = Json::from_cbor(bytes.begin(), bytes.end(), true, false);
    if (!envelope.is_object() || !envelope.contains("type") || !envelope["type"].is_string() || !envelope.contains("version")
        || !envelope["version"].is_number_unsigned() || !envelope.contains("body") || !envelope["body"].is_array()) {
        return malformed;
    }
    if (envelope["version"] != messageVersion) {
        return std::optional<PeerMessage>();
    }
    return decodeBody(envelope["type"].get_ref<const std::string &>(), envelope["body"]);
}

} // namespace Godwitfork
