#pragma once

#include "LibEntry/EntryState.h"

namespace Godwitfork
{

/// Replaces the endpoints by a complete list.
void applyEndpointList(EntryState &state, const CatalogPage &page, SnapshotTrust trust, MonotonicTime now);
/// Applies one change of an object and logs what it changed. A configuration that is not newer changes nothing.
void applyCatalogChange(EntryState &state, CatalogKind kind, const CatalogChange &change, SnapshotTrust trust, MonotonicTime now);
/// Removes endpoints that did not register again after an outage.
void expireEndpoints(EntryState &state, MonotonicTime now);
/// Takes a configuration into use if it is newer than the one in force. True if it was. `origin` says who told it.
bool adoptConfiguration(EntryState &state, const CatalogChange &change, const char *origin, MonotonicTime now);
/// Applies what another instance says about endpoints that leave.
void applyLeaving(EntryState &state, const std::vector<LeavingEndpoint> &leaving);

} // namespace Godwitfork
