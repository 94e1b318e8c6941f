#pragma once

#include "LibClaims/ClaimAttempt.h"
#include "LibClaims/ClaimClosing.h"
#include "LibObjectStore/ObjectStoreClient.h"
#include "Worker.h"

#include <string>

namespace Godwitfork
{

/// Executes the steps of the claim state machines against the object store, for one traffic thread.
class ClaimStore
{
public:
    explicit ClaimStore(Worker &worker);

    /// Runs the attempt until its call may be dispatched, a stored answer can be replayed, or the call is refused.
    boost::asio::awaitable<ClaimStep> attempt(std::string name, ClaimAttempt &attempt);
    /// Writes the final state of the claim. If the store does not respond, returns early and retries in the background; a
    /// graceful stop waits for these retries.
    boost::asio::awaitable<void> close(std::string name, ClaimClosing closing);

private:
    Worker &worker;
};

} // namespace Godwitfork
