#pragma once

#include "LibCore/Error.h"

#include <compare>
#include <string>
#include <string_view>

namespace Godwitfork
{

/// Model and version that a session is bound to.
struct SessionPin {
    std::string model;
    std::string version;

    auto operator<=>(const SessionPin &) const = default;
};

/// A session as its caller names it.
struct SessionName {
    std::string account;
    std::string id;
    /// Model as the caller names it; a session that uses two models has a pin for each.
    std::string requestedModel;

    auto operator<=>(const SessionName &) const = default;
};

/// Value of the `Godwitfork-Session` header: a bare id, or a token that carries the pin.
struct SessionHeader {
    std::string id;
    /// Model that the token was issued for; empty for a bare id.
    std::string requestedModel;
    SessionPin pin;

    bool hasPin() const;
    auto operator<=>(const SessionHeader &) const = default;
};

/// Signs a pin: `<id>~<requested model>~<model>~<version>~<HMAC>`. The account is part of the signed text, so that another
/// account's token is not valid.
std::string makeSessionToken(const SessionName &name, const SessionPin &pin, std::string_view key);

/// Parses a header value. Fails with `invalid_session` if the id has other characters than letters, digits and `._:-`, is
/// longer than 128 characters, or the token's signature does not fit the account.
ErrorOr<SessionHeader> parseSessionHeader(std::string_view account, std::string_view value, std::string_view key);

/// Name of the object that holds the session's pin in the store.
std::string sessionObjectName(const SessionName &name);

} // namespace Godwitfork
