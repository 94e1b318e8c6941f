#include "LibAdmission/BudgetObject.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Godwitfork
{

Microunits grantedSum(const BudgetObject &object)
{
    Microunits sum = 0;
    for (const auto &[incarnation, share] : object.shares) {
        sum += share.granted;
    }
    return sum;
}

std::string toJson(const BudgetObject &object)
{
    nlohmann::ordered_json shares = nlohmann::ordered_json::object();
    for (const auto &[incarnation, share] : object.shares) {
        shares[incarnation] = {{"spent", share.spent}, {"granted", share.granted}, {"sequence", share.sequence}};
    }
    // The sum is written only for operators who inspect the object. The parser ignores it, because it follows from the shares.
    const nlohmann::ordered_json json {{"spent", object.spent}, {"granted", grantedSum(object)}, {"shares", shares}};
    return json.dump();
}

ErrorOr<BudgetObject> parseBudgetObject(std::string_view text)
{
    const Error malformed {"malformed_budget",
                           "the budget object is not JSON with integer 'spent' and a 'shares' object of integer 'spent', 'granted' and 'sequence'"};
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) {
        return malformed;
    }
    const auto shares = json.find("shares");
    const auto spent = json.find("spent");
    if (shares == json.end() || !shares->is_object() || spent == json.end() || !spent->is_number_integer()) {
        return malformed;
    }
    BudgetObject object;
    object.spent = spent->get<Microunits>();
    for (const auto &[incarnation, entry] : shares->items()) {
        for (const char *key : {"spent", "granted", "sequence"}) {
            if (!entry.is_object() || !entry.contains(key) || !entry[key].is_number_integer()) {
                return malformed;
            }
        }
        object.shares[incarnation] = {entry["spent"].get<Microunits>(), entry["granted"].get<Microunits>(), entry["sequence"].get<std::uint64_t>()};
    }
    return object;
}

ErrorOr<BudgetObject> returnDeadShare(const BudgetObject &object, const std::string &incarnation, std::uint64_t sequence, Microunits ledgerSpent)
{
    const auto entry = object.shares.find(incarnation);
    if (entry == object.shares.end()) {
        return object;
    }
    if (entry->second.sequence != sequence) {
        return Error {"share_in_use", "incarnation " + incarnation + " has updated its share since it was read, so the share is not returned"};
    }
    BudgetObject updated = object;
    updated.spent += std::max<Microunits>(0, ledgerSpent - entry->second.spent);
    // The entry is kept with the settled sum, so that an incarnation that was only paused does not report the same spend again.
    updated.shares[incarnation] = {std::max(entry->second.spent, ledgerSpent), 0, sequence + 1};
    return updated;
}

} // namespace Godwitfork
