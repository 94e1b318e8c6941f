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

/// How a request ended. The order is the precedence between records of the same identity: a later value replaces an
/// earlier one.
enum class RequestOutcome { Interrupted, Failed, Aborted, Completed };

/// One model call made for a request.
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

/// What one request costs its client account. Immutable; made by BillingRecordBuilder.
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
    /// Charged to the client account.
    Microunits amount() const
    {
        return this->fields.amount;
    }
    /// Borne by the operator.
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

    // The outcome and the amount stand first, so that comparison orders records of one identity by precedence.
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

    /// Fails with `invalid_record` if the identity is malformed, the account is empty, a number is negative, or a failed
    /// or interrupted request has an amount (charging rules of design section 5.1).
    ErrorOr<BillingRecord> build() const;

private:
    BillingRecord::Fields fields;
};

std::string_view outcomeName(RequestOutcome outcome);
ErrorOr<RequestOutcome> outcomeFromName(std::string_view name);

/// Admission time to the second, taken from a request identity; the epoch if the identity is malformed.
WallTime admissionSecondOf(std::string_view requestId);

} // namespace Godwitfork
