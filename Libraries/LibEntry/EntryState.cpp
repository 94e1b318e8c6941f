#include "LibEntry/EntryState.h"

#include <algorithm>

namespace Godwitfork
{

namespace
{
/// Time after a store outage within which live endpoints register again, as the platform guarantees for its store.
constexpr Duration reregistrationTime = std::chrono::seconds(2);
/// Fraction of the permitted retry ratio that is used. The rest is a reserve, since the windows of the instances and of the limit are not aligned.
constexpr double retryRatioFactor = 0.85;
/// Fraction of the fixed retry allowance that is handed out. The rest covers instances that are not discovered yet.
constexpr double retryAllowanceFactor = 0.5;
constexpr std::size_t bytesInMb = 1'000'000;
/// Part of the process's memory, as a divisor, that requests and answers may hold. The rest is for the program, its connections and the catalog.
constexpr std::size_t memoryCapacityDivisor = 2;
/// Log lines on admission decisions.
constexpr double overloadLinesPerSecond = 5;
constexpr double overloadLineBurst = 20;
} // namespace

EntryState::EntryState(EntrySettings settings)
    : settings(std::move(settings))
    , memory(memoryLimits(static_cast<std::size_t>(this->settings.memoryLimitMb) * bytesInMb / memoryCapacityDivisor))
    , endpoints(reregistrationTime)
    , versions(this->settings.exposureShare, static_cast<double>(this->settings.exposureTolerance), this->settings.sessionLifetime)
    , followsEvacuations(this->settings.evacuationLimit > Duration::zero())
    , failureDomains {{}, this->settings.domainRegions}
    , chooser(this->settings.failureDomain)
    , overloadLog(overloadLinesPerSecond, overloadLineBurst)
    , random(systemSeededRandomSource())
{
    this->chooser.loads().setLearnsCapacity(this->settings.learnsCapacity);
}

std::vector<CatalogKind> EntryState::followedKinds() const
{
    std::vector<CatalogKind> kinds {CatalogKind::Configuration, CatalogKind::Endpoints, CatalogKind::Rollouts};
    if (this->followsEvacuations) {
        kinds.push_back(CatalogKind::Evacuations);
    }
    return kinds;
}

bool EntryState::hasLoadedCatalog() const
{
    return this->routes && this->endpointsKnown && this->rolloutsKnown && (this->evacuationsKnown || !this->followsEvacuations);
}

bool EntryState::isReady(MonotonicTime now) const
{
    return this->hasLoadedCatalog() && !this->versions.isAwaitingAge(now) && !this->stop;
}

CatalogLimits EntryState::catalogLimits() const
{
    Duration shortest = std::min(this->settings.drainLimit, this->settings.configurationLimit);
    if (this->followsEvacuations && this->settings.evacuationLimit > Duration::zero()) {
        shortest = std::min(shortest, this->settings.evacuationLimit);
    }
    return Godwitfork::catalogLimits(shortest);
}

void EntryState::adoptSettings(EntrySettings newSettings)
{
    this->settings = std::move(newSettings);
    this->chooser.loads().setLearnsCapacity(this->settings.learnsCapacity);
    this->failureDomains.regions = this->settings.domainRegions;
    for (auto &[service, budget] : this->retryBudgets) {
        this->applyRetryRule(service, budget);
    }
}

void EntryState::setRetryAllowance(double allowance)
{
    this->retryAllowance = allowance;
    for (auto &[service, budget] : this->retryBudgets) {
        this->applyRetryRule(service, budget);
    }
}

void EntryState::addRetryCounts(ServiceStatisticsMap &paces, MonotonicTime now) const
{
    for (const auto &[service, budget] : this->retryBudgets) {
        paces[service].retries += retryUse(budget, now);
    }
}

void EntryState::distributeUnusedRetries(const ServiceStatisticsMap &pacesOfAll, int instances)
{
    const RetryRule ruleOfAll {this->settings.retryRatio * retryRatioFactor, static_cast<double>(this->settings.retryAllowance) * retryAllowanceFactor};
    this->unusedRetries.clear();
    for (const auto &[service, pace] : pacesOfAll) {
        this->unusedRetries[service] = spareRetries(ruleOfAll, pace.retries, instances);
    }
}

void EntryState::applyRetryRule(const std::string &service, RetryBudget &budget)
{
    const auto spare = this->unusedRetries.find(service);
    budget.rule.share = this->settings.retryRatio * retryRatioFactor;
    budget.rule.allowance = this->retryAllowance * retryAllowanceFactor + (spare == this->unusedRetries.end() ? 0 : spare->second);
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
