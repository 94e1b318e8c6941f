#include "LibEntry/EntryState.h"

namespace Godwitfork
{

namespace
{
/// Time after a store outage within which live endpoints register again; from the platform's statement for its store.
constexpr Duration registrationReturnTime = std::chrono::seconds(2);
/// Kept free of the allowed ratio, because windows of the instances and of the bound do not start together.
constexpr double retryMargin = 0.85;
/// Part of the fixed allowance that is given out; the rest covers instances that are not known yet.
constexpr double allowanceMargin = 0.5;
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
        this->applyRetryRule(service, budget);
    }
}

void EntryState::addRetryUses(ServiceStatisticsMap &paces, MonotonicTime now) const
{
    for (const auto &[service, budget] : this->retryBudgets) {
        paces[service].retries += retryUse(budget, now);
    }
}

void EntryState::shareSpareRetries(const ServiceStatisticsMap &pacesOfAll, int instances)
{
    const RetryRule ruleOfAll {this->settings.retryRatio * retryMargin, static_cast<double>(this->settings.retryAllowance) * allowanceMargin};
    this->spares.clear();
    for (const auto &[service, pace] : pacesOfAll) {
        this->spares[service] = spareRetries(ruleOfAll, pace.retries, instances);
    }
}

void EntryState::applyRetryRule(const std::string &service, RetryBudget &budget)
{
    const auto spare = this->spares.find(service);
    budget.rule.share = this->settings.retryRatio * retryMargin;
    budget.rule.allowance = this->retryAllowance * allowanceMargin + (spare == this->spares.end() ? 0 : spare->second);
}

RetryBudget &EntryState::retryBudget(const std::string &service)
{
    const auto [budget, isNew] = this->retryBudgets.try_emplace(service);
    if (isNew) {
        this->applyRetryRule(service, budget->second);
    }
    return budget->second;
}

} // namespace Godwitfork
