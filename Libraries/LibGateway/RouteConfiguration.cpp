#include "LibGateway/RouteConfiguration.h"

namespace Godwitfork
{

bool isStream(RepeatRule rule)
{
    return rule == RepeatRule::Stream || rule == RepeatRule::ResumableStream;
}

bool mayRepeat(RepeatRule rule)
{
    return rule == RepeatRule::Idempotent || rule == RepeatRule::ResumableStream;
}

int requestPriority(const Route &route, const ClientAccount *account)
{
    return account && account->priority ? *account->priority : route.priority;
}

RouteConfigurationBuilder::RouteConfigurationBuilder(ConfigurationVersion version)
{
    this->configuration.version = version;
}

RouteConfigurationBuilder &RouteConfigurationBuilder::addRoute(Route route)
{
    this->configuration.routes.push_back(std::move(route));
    return *this;
}

RouteConfigurationBuilder &RouteConfigurationBuilder::addService(ServiceProperties service)
{
    this->configuration.services.push_back(std::move(service));
    return *this;
}

RouteConfigurationBuilder &RouteConfigurationBuilder::requireKey()
{
    this->configuration.requiresKey = true;
    return *this;
}

RouteConfigurationBuilder &RouteConfigurationBuilder::addAccount(ClientAccount account)
{
    this->requireKey();
    this->configuration.accounts.push_back(std::move(account));
    return *this;
}

RouteConfigurationBuilder &RouteConfigurationBuilder::setLimits(const CallerLimits &limits)
{
    this->configuration.limits = limits;
    return *this;
}

std::shared_ptr<const RouteConfiguration> RouteConfigurationBuilder::build()
{
    return std::make_shared<const RouteConfiguration>(std::move(this->configuration));
}

} // namespace Godwitfork
