#pragma once

#include "LibGateway/Catalog.h"

#include <optional>

namespace Godwitfork
{

/// Lets only the follower of one catalog kind probe a store that does not answer; the followers of the other kinds wait for its result,
/// since each call to the store is billed.
class StoreProbe
{
public:
    /// Makes the kind's follower the prober if there is none. Returns whether it is the prober; otherwise it waits until `isWaiting` is
    /// false.
    bool acquire(CatalogKind kind);
    /// Whether another kind's follower probes the store.
    bool isWaiting(CatalogKind kind) const;
    /// Whether the last call to the store failed.
    bool isFailing() const;
    /// Ends the probing, since the store answered.
    void recordSuccess();
    /// Ends the probing if the kind's follower is the prober, since it no longer calls the store.
    void release(CatalogKind kind);

private:
    std::optional<CatalogKind> prober;
};

} // namespace Godwitfork
