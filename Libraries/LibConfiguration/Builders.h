#pragma once

#include "LibConfiguration/Configuration.h"

namespace Godwitfork
{

/// Builds a client account member by member.
class ClientAccountBuilder
{
public:
    explicit ClientAccountBuilder(std::string name);

    /// Adds the hash of an API key.
    ClientAccountBuilder &key(std::string_view apiKey);
    ClientAccountBuilder &keyHash(std::string hash);
    /// Allows a model in the given versions; an empty list allows every version.
    ClientAccountBuilder &model(std::string model, std::vector<std::string> versions = {});
    ClientAccountBuilder &service(std::string service);
    ClientAccountBuilder &priority(int priority);
    ClientAccountBuilder &qualityTarget(double target);
    ClientAccountBuilder &monthlyBudget(Microunits budget);
    ClientAccountBuilder &requestsPerSecond(double rate);
    ClientAccountBuilder &onWithdrawn(WithdrawalPolicy policy);
    ClientAccount build() const;

private:
    ClientAccount account;
};

/// Builds an endpoint member by member.
class EndpointBuilder
{
public:
    EndpointBuilder(std::string name, std::string address);

    EndpointBuilder &failureDomain(std::string domain);
    EndpointBuilder &servesVersion(std::string_view model, std::string_view version);
    EndpointBuilder &servesService(std::string service);
    EndpointBuilder &state(EndpointState state);
    EndpointBuilder &fencing(FencingSupport support);
    Endpoint build() const;

private:
    Endpoint endpoint;
};

/// Builds the configuration of one site. An entry replaces an earlier one of the same kind and name.
class SiteConfigurationBuilder
{
public:
    SiteConfigurationBuilder &account(ClientAccount account);
    SiteConfigurationBuilder &model(Model model);
    SiteConfigurationBuilder &endpoint(Endpoint endpoint);
    SiteConfigurationBuilder &service(Service service);
    /// Adds the hash of an operator key.
    SiteConfigurationBuilder &operatorKey(std::string_view operatorKey);
    SiteConfiguration build() const;

private:
    SiteConfiguration site;
};

} // namespace Godwitfork
