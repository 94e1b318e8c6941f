#include "LibConfiguration/Builders.h"

#include "LibCore/Digest.h"

#include <utility>

namespace Godwitfork
{

ClientAccountBuilder::ClientAccountBuilder(std::string name)
{
    this->account.name = std::move(name);
}

ClientAccountBuilder &ClientAccountBuilder::key(std::string_view apiKey)
{
    return this->keyHash(sha256Hex(apiKey));
}

ClientAccountBuilder &ClientAccountBuilder::keyHash(std::string hash)
{
    this->account.keyHashes.push_back(std::move(hash));
    return *this;
}

ClientAccountBuilder &ClientAccountBuilder::model(std::string model, std::vector<std::string> versions)
{
    this->account.models.push_back({std::move(model), std::move(versions)});
    return *this;
}

ClientAccountBuilder &ClientAccountBuilder::service(std::string service)
{
    this->account.services.push_back(std::move(service));
    return *this;
}

ClientAccountBuilder &ClientAccountBuilder::priority(int priority)
{
    this->account.priority = priority;
    return *this;
}

ClientAccountBuilder &ClientAccountBuilder::qualityTarget(double target)
{
    this->account.qualityTarget = target;
    return *this;
}

ClientAccountBuilder &ClientAccountBuilder::monthlyBudget(Microunits budget)
{
    this->account.monthlyBudget = budget;
    return *this;
}

ClientAccountBuilder &ClientAccountBuilder::requestsPerSecond(double rate)
{
    this->account.requestsPerSecond = rate;
    return *this;
}

ClientAccountBuilder &ClientAccountBuilder::onWithdrawn(WithdrawalPolicy policy)
{
    this->account.onWithdrawn = policy;
    return *this;
}

ClientAccount ClientAccountBuilder::build() const
{
    return this->account;
}

EndpointBuilder::EndpointBuilder(std::string name, std::string address)
{
    this->endpoint.name = std::move(name);
    this->endpoint.address = std::move(address);
}

EndpointBuilder &EndpointBuilder::failureDomain(std::string domain)
{
    this->endpoint.failureDomain = std::move(domain);
    return *this;
}

EndpointBuilder &EndpointBuilder::servesVersion(std::string_view model, std::string_view version)
{
    return this->servesService(std::string(model) + ":" + std::string(version));
}

EndpointBuilder &EndpointBuilder::servesService(std::string service)
{
    this->endpoint.serves.push_back(std::move(service));
    return *this;
}

EndpointBuilder &EndpointBuilder::state(EndpointState state)
{
    this->endpoint.state = state;
    return *this;
}

EndpointBuilder &EndpointBuilder::fencing(FencingSupport support)
{
    this->endpoint.fencing = support;
    return *this;
}

Endpoint EndpointBuilder::build() const
{
    return this->endpoint;
}

SiteConfigurationBuilder &SiteConfigurationBuilder::account(ClientAccount account)
{
    std::string name = account.name;
    this->site.accounts.insert_or_assign(std::move(name), std::move(account));
    return *this;
}

SiteConfigurationBuilder &SiteConfigurationBuilder::model(Model model)
{
    std::string name = model.name;
    this->site.models.insert_or_assign(std::move(name), std::move(model));
    return *this;
}

SiteConfigurationBuilder &SiteConfigurationBuilder::endpoint(Endpoint endpoint)
{
    std::string name = endpoint.name;
    this->site.endpoints.insert_or_assign(std::move(name), std::move(endpoint));
    return *this;
}

SiteConfigurationBuilder &SiteConfigurationBuilder::service(Service service)
{
    std::string name = service.name;
    this->site.services.insert_or_assign(std::move(name), std::move(service));
    return *this;
}

SiteConfigurationBuilder &SiteConfigurationBuilder::operatorKey(std::string_view operatorKey)
{
    this->site.operatorKeyHashes.push_back(sha256Hex(operatorKey));
    return *this;
}

SiteConfiguration SiteConfigurationBuilder::build() const
{
    return this->site;
}

} // namespace Godwitfork
