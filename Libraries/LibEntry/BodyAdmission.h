#pragma once

#include "LibEntry/EntryState.h"
#include "LibGateway/GatewayRequest.h"

#include <optional>
#include <string>

namespace Godwitfork
{

/// Check of a request's head against the configuration in force.
struct HeadCheck {
    const Route *route = nullptr;
    /// Null if the route needs no key.
    const ClientAccount *account = nullptr;
    /// Status of the refusal; 0 if the request is accepted.
    int refusalStatus = 0;
    std::string refusalReason;
};

HeadCheck checkHead(const EntryState &state, const GatewayRequest &gatewayRequest);

/// Opens the reservation for a request's body. A large body of a request that is refused by its head gets none.
std::optional<MemoryReservation> admitBody(const EntryState &state, const HttpRequest &head);

} // namespace Godwitfork
