#pragma once

namespace Godwitfork
{

/// Connections that the listeners of a process may hold, so that descriptors are left for what the process opens itself.
struct DescriptorShares {
    /// At the callers' listener. For each there is room for a connection to an endpoint.
    int callers = 0;
    /// At the listener for the other instances.
    int peers = 0;
    /// At each other listener.
    int others = 0;
};

/// Shares of the connections for a process that may open `descriptors`.
DescriptorShares descriptorShares(int descriptors);
/// Number of descriptors that this process may open.
int descriptorLimit();

} // namespace Godwitfork
