#pragma once

#include "LibClaims/ClaimAttempt.h"
#include "LibClaims/ClaimClosing.h"
#include "LibObjectStore/ObjectStoreClient.h"
#include "Worker.h"

#include <string>

namespace Godwitfork
{

/// Claims of one traffic thread: carries out the steps of the claim state machines on the object store.
class ClaimStore
{
public:
    explicit ClaimStore(Worker &worker);

    /// Runs an attempt until it may dispatch, has an answer to replay, or is refused.
    boost::asio::awaitable<ClaimStep> attempt(std::string name, ClaimAttempt &attempt);
    /// Brings the claim into its final state. Returns once this is done or the store does not respond; in the second case
    /// the retries go on in the background, and a planned stop waits for them.
    boost::asio::awaitable<void> close(std::string name, ClaimClosing closing);

private:
    Worker &worker;
};

} // namespace Godwitfork
