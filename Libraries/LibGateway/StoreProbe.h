#pragma once

#include "LibGateway/Catalog.h"

#include <optional>

namespace Godwitfork
{

/// Lets the follower of one kind ask a store that does not answer for all of them, since each call is counted and priced.
class StoreProbe
{
public:
    /// Whether the kind's follower goes on asking after a failure; the others wait until `isWaiting` is false.
    bool acquire(CatalogKind kind);
    bool isWaiting(CatalogKind kind) const;
    /// The store answered.
    void recordSuccess();
    /// The kind is not asked for any more.
    void release(CatalogKind kind);

private:
    std::optional<CatalogKind> prober;
};

} // namespace Godwitfork
