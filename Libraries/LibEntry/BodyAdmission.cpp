#include "LibEntry/BodyAdmission.h"

#include "RequestHeaders.h"

#include <charconv>

namespace Godwitfork
{

namespace
{
std::string withoutPort(const std::string &host)
{
    return host.substr(0, host.find(':'));
}

HeadCheck refused(HeadCheck check, int status, const char *reason)
{
    check.refusalStatus = status;
    check.refusalReason = reason;
    return check;
}

/// Whether the body is known to be small. One without a known length may be large.
bool isSmallBody(const HttpRequest &head, const MemoryLimits &limits)
{
    const std::string text = headerValue(head.headers, "Content-Length");
    std::size_t length = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
    return parsed.ec == std::errc {} && length <= limits.smallItem;
}
} // namespace

HeadCheck checkHead(const EntryState &state, const GatewayRequest &gatewayRequest)
{
    HeadCheck check;
    if (!state.hasLoadedCatalog()) {
        return refused(check, 503, "configuration_not_known");
    }
    if (gatewayRequest.id.empty()) {
        return refused(check, 400, "request_id_missing");
    }
    check.route = state.routes->findRoute(gatewayRequest.host, gatewayRequest.path);
    if (!check.route) {
        check.route = state.routes->findRoute(withoutPort(gatewayRequest.host), gatewayRequest.path);
    }
    if (!check.route) {
        return refused(check, 404, "route_not_found");
    }
    if (!check.route->isPublic && state.routes->configuration().requiresKey) {
        check.account = state.routes->findAccount(gatewayRequest.key);
        if (!check.account) {
            return refused(check, 401, "key_not_known");
        }
    }
    return check;
}

// The connection of a request whose body is not read closes, so small bodies are read even if the request is refused.
std::optional<MemoryReservation> admitBody(const EntryState &state, const HttpRequest &head)
{
    const HeadCheck check = checkHead(state, Platform::readRequest(head));
    if (check.refusalStatus != 0 && !isSmallBody(head, state.memory.limits())) {
        return std::nullopt;
    }
    return state.memory.open(MemoryUse::RequestBody, check.account ? check.account->name : std::string());
}

} // namespace Godwitfork
