#include "LibGateway/Catalog.h"

namespace Godwitfork
{

bool includesChangesUpTo(const CatalogPosition &position, const CatalogPosition &other)
{
    return position.era == other.era && position.revision >= other.revision;
}

void setEra(CatalogPage &page, std::optional<StoreEra> era)
{
    page.era = era;
    for (CatalogChange &change : page.changes) {
        if (change.object && std::holds_alternative<RolloutOrder>(*change.object)) {
            std::get<RolloutOrder>(*change.object).era = era;
        }
    }
}

const char *rolloutStateName(RolloutState state)
{
    switch (state) {
    case RolloutState::Ordered:
        return "ordered";
    case RolloutState::InProgress:
        return "in_progress";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::Reverted:
        return "reverted";
    }
    return "ordered";
}

const char *catalogKindName(CatalogKind kind)
{
    switch (kind) {
    case CatalogKind::Configuration:
        return "configuration";
    case CatalogKind::Endpoints:
        return "endpoints";
    case CatalogKind::Rollouts:
        return "rollouts";
    case CatalogKind::Evacuations:
        return "evacuations";
    }
    return "configuration";
}

const char *itemFaultName(ItemFault fault)
{
    switch (fault) {
    case ItemFault::None:
        return "none";
    case ItemFault::Unreadable:
        return "unreadable";
    case ItemFault::DuplicateField:
        return "duplicate_field";
    case ItemFault::MissingField:
        return "missing_field";
    case ItemFault::WrongType:
        return "wrong_type";
    case ItemFault::InvalidValue:
        return "invalid_value";
    }
    return "none";
}

const char *catalogFailureName(CatalogFailure failure)
{
    switch (failure) {
    case CatalogFailure::Unavailable:
        return "unavailable";
    case CatalogFailure::HistoryLost:
        return "history_lost";
    case CatalogFailure::Conflict:
        return "conflict";
    case CatalogFailure::Rejected:
        return "rejected";
    }
    return "unavailable";
}

} // namespace Godwitfork
