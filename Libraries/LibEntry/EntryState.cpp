#include "LibEntry/EntryState.h"

namespace Godwitfork
{

namespace
{
/// Time after a store outage within which live endpoints register again; from the platform's statement for its store.
constexpr Duration registrationReturnTime = std::chrono::seconds(2);
/// Kept free of the allowed ratio, because windows of the instances and of the bound do not start together.
constexpr double retryMargin = 0.85;
} // namespace

EntryState::EntryState(EntrySettings settings)
    : settings(std::move(settings))
    , endpoints(registrationReturnTime)
    , versions(this->settings.exposureShare, this->settings.sessionLifetime)
    , chooser(this->settings.failureDomain)
    , random(systemSeededRandomSource())
{
}

bool EntryState::isInformed() const
{
    return this->routes && this->endpointsKnown && this->rolloutsKnown;
}

bool EntryState::isReady() const
{
    return this->isInformed() && !this->stopping;
}

void EntryState::setRetryAllowance(double allowance)
{
    this->retryAllowance = allowance;
    for (auto &[service, budget] : this->retryBudgets) {
        budget.rule.allowance = allowance;
    }
}

RetryBudget &EntryState::retryBudget(const std::string &service)
{
    const auto [budget, isNew] = this->retryBudgets.try_emplace(service);
    if (isNew) {
        budget->second.rule.share = this->settings.retryRatio * retryMargin;
        budget->second.rule.allowance = this->retryAllowance;
    }
    return budget->second;
}

} // namespace Godwitfork
