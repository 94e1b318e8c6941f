#pragma once

#include "LibCore/Error.h"
#include "LibCore/Money.h"
#include "LibCore/Time.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// Outcome of a request. The order of the values is the precedence between records with the same identity: a record with a
/// later value replaces one with an earlier value.
enum class RequestOutcome { Interrupted, Failed, Aborted, Completed };

/// One model call made for a request, with its token counts and cost.
struct ModelStep {
    std::string model;
    std::string version;
    std::string endpoint;
    std::int64_t promptTokens = 0;
    std::int64_t completionTokens = 0;
    Microunits cost = 0;

    auto operator<=>(const ModelStep &) const = default;
};

class BillingRecordBuilder;

/// Charge of one request to its client account. Immutable; created by BillingRecordBuilder.
class BillingRecord
{
public:
    const std::string &requestId() const
    {
        return this->fields.requestId;
    }
    const std::string &account() const
    {
        return this->fields.account;
    }
    const std::string &site() const
    {
        return this->fields.site;
    }
    const std::vector<ModelStep> &steps() const
    {
        return this->fields.steps;
    }
    RequestOutcome outcome() const
    {
        return this->fields.outcome;
    }
    /// Amount charged to the client account.
    Microunits amount() const
    {
        return this->fields.amount;
    }
    /// Cost that the operator bears and does not charge to the client account.
    Microunits houseCost() const
    {
        return this->fields.houseCost;
    }
    WallTime admitted() const
    {
        return this->fields.admitted;
    }

    auto operator<=>(const BillingRecord &) const = default;

private:
    friend class BillingRecordBuilder;

    // The outcome and the amount are the first members, so that the defaulted comparison orders records with the same
    // identity by precedence.
    struct Fields {
        RequestOutcome outcome = RequestOutcome::Interrupted;
        Microunits amount = 0;
        Microunits houseCost = 0;
        std::string requestId;
        std::string account;
        std::string site;
        std::vector<ModelStep> steps;
        WallTime admitted;

        auto operator<=>(const Fields &) const = default;
    };

    explicit BillingRecord(Fields values);

    Fields fields;
};

class BillingRecordBuilder
{
public:
    BillingRecordBuilder &requestId(std::string value);
    BillingRecordBuilder &account(std::string value);
    BillingRecordBuilder &site(std::string value);
    BillingRecordBuilder &step(ModelStep value);
    BillingRecordBuilder &outcome(RequestOutcome value);
    BillingRecordBuilder &amount(Microunits value);
    BillingRecordBuilder &houseCost(Microunits value);
    BillingRecordBuilder &admitted(WallTime value);

    /// Fails with `invalid_record` if the identity is malformed, the account is empty, a number is negative, or the amount of
    /// a failed or interrupted request is not 0, since such requests are not charged.
    ErrorOr<BillingRecord> build() const;

private:
    BillingRecord::Fields fields;
};

std::string_view outcomeName(RequestOutcome outcome);
ErrorOr<RequestOutcome> outcomeFromName(std::string_view name);

/// Returns the admission time, in whole seconds, that a request identity contains; the epoch if the identity is malformed.
WallTime admissionSecondOf(std::string_view requestId);

} // namespace Godwitfork
