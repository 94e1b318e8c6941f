#include "LibEntry/PeerCalls.h"

#include "LibCore/Log.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace
{
constexpr Duration peerTimeout = std::chrono::milliseconds(400);
/// Time to receive a whole answer of a peer; a large configuration takes longest.
constexpr Duration peerBodyTimeout = std::chrono::seconds(2);
/// Time for which an instance that did not answer is excluded.
constexpr Duration exclusionTime = std::chrono::seconds(3);
constexpr int okStatus = 200;
} // namespace

HttpCallOptions peerCallOptions()
{
    HttpCallOptions options;
    options.connectTimeout = peerTimeout;
    options.responseTimeout = peerTimeout;
    options.idleTimeout = peerTimeout;
    options.tcpUserTimeout = peerTimeout;
    options.bodyTimeout = peerBodyTimeout;
    return options;
}

bool isPeerAnswered(const HttpOutcome<HttpResponse> &response)
{
    return response && response.value().status == okStatus;
}

void recordPeerAnswer(HubDirectory &directory, const HttpAddress &address, const HttpOutcome<HttpResponse> &response, MonotonicTime now)
{
    const std::string peer = toText(address);
    if (isPeerAnswered(response)) {
        directory.include(peer);
        return;
    }
    if (!directory.isExcluded(peer, now)) {
        logEvent(LogLevel::Info, "peer.silent", {{"peer", peer}, {"message", response ? "refused" : response.error().message}});
    }
    excludePeer(directory, address, now);
}

void excludePeer(HubDirectory &directory, const HttpAddress &address, MonotonicTime now)
{
    directory.exclude(toText(address), exclusionTime, now);
}

} // namespace Godwitfork
