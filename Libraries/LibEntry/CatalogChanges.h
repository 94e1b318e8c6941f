#pragma once

#include "LibEntry/EntryState.h"

namespace Godwitfork
{

/// What happens to the known objects that a list of the store lacks.
enum class MissingObjects { Remove, Keep };

/// Replaces all registered endpoints by the complete list in `page` and logs the changes.
void applyEndpointList(EntryState &state, const CatalogPage &page, SnapshotTrust trust, MonotonicTime now);
/// Replaces the evacuated failure domains by the complete list in `page` and logs the changes. An entry that is not understood leaves its domain as it is.
/// Returns whether a domain that the list lacks was kept.
bool applyEvacuationList(EntryState &state, const CatalogPage &page, MonotonicTime now, MissingObjects missing = MissingObjects::Remove);
/// Replaces the orders of roll-outs by the complete list in `page` and logs the changes. Returns whether an order that the list lacks was kept.
bool applyRolloutList(EntryState &state, const CatalogPage &page, MonotonicTime now, MissingObjects missing = MissingObjects::Remove);
/// Applies and logs one change of a store object. A configuration that is not newer than the one in force is ignored.
void applyCatalogChange(EntryState &state, CatalogKind kind, const CatalogChange &change, SnapshotTrust trust, MonotonicTime now);
/// Removes endpoints that did not register again in time after a store outage.
void expireEndpoints(EntryState &state, MonotonicTime now);
/// Puts a configuration into force if it is newer than the current one. Returns whether it was. `origin` is logged as its source.
bool adoptConfiguration(EntryState &state, const CatalogChange &change, const char *origin, MonotonicTime now);
/// Marks endpoints as leaving that another instance reported as draining or removed.
void applyLeavingEndpoints(EntryState &state, const std::vector<LeavingEndpoint> &leaving);

} // namespace Godwitfork
