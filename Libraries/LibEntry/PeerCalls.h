#pragma once

#include "LibGateway/HubDirectory.h"
#include "LibHttp/HttpClient.h"

namespace Godwitfork
{

/// Returns the time limits of calls to other entry instances.
HttpCallOptions peerCallOptions();

/// Whether another instance answered a call with success.
bool isPeerAnswered(const HttpOutcome<HttpResponse> &response);

/// Excludes an instance that did not answer from the choice of hubs, and includes one that did.
void recordPeerAnswer(HubDirectory &directory, const HttpAddress &address, const HttpOutcome<HttpResponse> &response, MonotonicTime now);

/// Excludes an instance that did not answer or does not relay from the choice of hubs.
void excludePeer(HubDirectory &directory, const HttpAddress &address, MonotonicTime now);

} // namespace Godwitfork
