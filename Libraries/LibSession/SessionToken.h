#pragma once

#include "LibCore/Error.h"

#include <compare>
#include <string>
#include <string_view>

namespace Godwitfork
{

/// Model and version to which a session is pinned.
struct SessionPin {
    std::string model;
    std::string version;

    auto operator<=>(const SessionPin &) const = default;
};

/// Key of a session pin: account, session id and requested model.
struct SessionName {
    std::string account;
    std::string id;
    /// Model name in the caller's request. A session that uses two models has a pin for each.
    std::string requestedModel;

    auto operator<=>(const SessionName &) const = default;
};

/// Parsed value of the `Godwitfork-Session` header, which is a bare id or a token that contains the pin.
struct SessionHeader {
    std::string id;
    /// Requested model for which the token was issued; empty for a bare id.
    std::string requestedModel;
    /// Pin of the token; its fields are empty for a bare id.
    SessionPin pin;

    bool hasPin() const;
    auto operator<=>(const SessionHeader &) const = default;
};

/// Returns a signed token `<id>~<requested model>~<model>~<version>~<HMAC>`. The signed text includes the account, so that a token is not
/// valid for another account.
std::string makeSessionToken(const SessionName &name, const SessionPin &pin, std::string_view key);

/// Parses a header value. Fails with `invalid_session` if the id is empty, is longer than 128 characters or has other characters than
/// letters, digits and `._:-`, or if the token is malformed or its signature does not match the account.
ErrorOr<SessionHeader> parseSessionHeader(std::string_view account, std::string_view value, std::string_view key);

/// Name of the stored object that contains the session's pin.
std::string sessionObjectName(const SessionName &name);

} // namespace Godwitfork
