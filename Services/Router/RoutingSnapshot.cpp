#include "RoutingSnapshot.h"

#include "LibCore/Digest.h"

#include <algorithm>

namespace Godwitfork
{

EndpointKind kindOf(const Endpoint &endpoint, const SiteConfiguration &site)
{
    const bool isService =
        std::any_of(endpoint.serves.begin(), endpoint.serves.end(), [&](const std::string &servedName) { return site.services.contains(servedName); });
    return isService ? EndpointKind::PlainService : EndpointKind::Engine;
}

RoutingSnapshot::RoutingSnapshot(std::uint64_t revision, SiteConfiguration site) : revisionNumber(revision), configuration(std::move(site))
{
    for (const auto &[name, endpoint] : this->configuration.endpoints) {
        if (endpoint.state != EndpointState::Active) {
            continue;
        }
        for (const std::string &servedName : endpoint.serves) {
            this->endpointsByServedName[servedName].push_back(
                {name, parseHttpAddress(endpoint.address), endpoint.failureDomain, endpoint.fencing, kindOf(endpoint, this->configuration)});
        }
    }
}

std::uint64_t RoutingSnapshot::revision() const
{
    return this->revisionNumber;
}

const SiteConfiguration &RoutingSnapshot::site() const
{
    return this->configuration;
}

const ClientAccount *RoutingSnapshot::findAccountByKey(std::string_view key) const
{
    const std::string hash = sha256Hex(key);
    const ClientAccount *owner = nullptr;
    // Compares the hashes of every account, because an early return would reveal through timing which account matched.
    for (const auto &[name, account] : this->configuration.accounts) {
        for (const std::string &keyHash : account.keyHashes) {
            if (constantTimeEquals(hash, keyHash)) {
                owner = &account;
            }
        }
    }
    return owner;
}

const std::vector<EndpointTarget> &RoutingSnapshot::endpointsServing(const std::string &servedName) const
{
    static const std::vector<EndpointTarget> none;
    const auto found = this->endpointsByServedName.find(servedName);
    return found == this->endpointsByServedName.end() ? none : found->second;
}

} // namespace Godwitfork
