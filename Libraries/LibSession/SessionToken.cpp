#include "LibSession/SessionToken.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <array>
#include <vector>

namespace Godwitfork
{

namespace
{
constexpr char separator = '~';
constexpr std::size_t tokenPartCount = 5;
constexpr std::size_t maxIdLength = 128;

bool isIdCharacter(char c)
{
    const bool alphanumeric = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    return alphanumeric || c == '.' || c == '_' || c == ':' || c == '-';
}

bool isValidId(std::string_view id)
{
    return !id.empty() && id.size() <= maxIdLength && std::all_of(id.begin(), id.end(), isIdCharacter);
}

std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> parts;
    while (true) {
        const std::size_t end = text.find(separator);
        parts.emplace_back(text.substr(0, end));
        if (end == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(end + 1);
    }
}

std::string signature(const SessionName &name, const SessionPin &pin, std::string_view key)
{
    // Each part is preceded by its length, so that the signed texts of two different pins are never equal.
    std::string text;
    for (const std::string &part : {name.account, name.id, name.requestedModel, pin.model, pin.version}) {
        text += std::to_string(part.size()) + ":" + part;
    }
    return hmacSha256Hex(key, text);
}
} // namespace

bool SessionHeader::hasPin() const
{
    return !this->pin.model.empty();
}

std::string makeSessionToken(const SessionName &name, const SessionPin &pin, std::string_view key)
{
    return name.id + separator + name.requestedModel + separator + pin.model + separator + pin.version + separator + signature(name, pin, key);
}

ErrorOr<SessionHeader> parseSessionHeader(std::string_view account, std::string_view value, std::string_view key)
{
    std::vector<std::string> parts = split(value);
    SessionHeader header;
    header.id = parts[0];
    if (!isValidId(header.id)) {
        return Error {"invalid_session", "the session id is invalid: it must have 1 to 128 characters, each a letter, a digit or one of '._:-'"};
    }
    if (parts.size() == 1) {
        return header;
    }
    if (parts.size() != tokenPartCount) {
        return Error {"invalid_session", "the session token is malformed: it must have 5 parts separated by '~'"};
    }
    header.requestedModel = parts[1];
    header.pin = {parts[2], parts[3]};
    const SessionName name {std::string(account), header.id, header.requestedModel};
    if (!header.hasPin() || !constantTimeEquals(parts[4], signature(name, header.pin, key))) {
        return Error {"invalid_session", "the session token is not valid for this account: it has no model or its signature does not match"};
    }
    return header;
}

std::string sessionObjectName(const SessionName &name)
{
    return "sessions/" + name.account + "/" + sha256Hex(name.id + separator + name.requestedModel);
}

} // namespace Godwitfork
