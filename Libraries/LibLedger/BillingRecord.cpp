#include "LibLedger/BillingRecord.h"

#include "LibCore/Identifier.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace Godwitfork
{

namespace
{
constexpr std::array<std::pair<RequestOutcome, std::string_view>, 4> outcomeNames {{
    {RequestOutcome::Interrupted, "interrupted"},
    {RequestOutcome::Failed, "failed"},
    {RequestOutcome::Aborted, "aborted"},
    {RequestOutcome::Completed, "completed"},
}};

bool hasNegativeNumber(const ModelStep &step)
{
    return step.promptTokens < 0 || step.completionTokens < 0 || step.cost < 0;
}
} // namespace

BillingRecord::BillingRecord(Fields values) : fields(std::move(values))
{
}

BillingRecordBuilder &BillingRecordBuilder::requestId(std::string value)
{
    this->fields.requestId = std::move(value);
    return *this;
}

BillingRecordBuilder &BillingRecordBuilder::account(std::string value)
{
    this->fields.account = std::move(value);
    return *this;
}

BillingRecordBuilder &BillingRecordBuilder::site(std::string value)
{
    this->fields.site = std::move(value);
    return *this;
}

BillingRecordBuilder &BillingRecordBuilder::step(ModelStep value)
{
    this->fields.steps.push_back(std::move(value));
    return *this;
}

BillingRecordBuilder &BillingRecordBuilder::outcome(RequestOutcome value)
{
    this->fields.outcome = value;
    return *this;
}

BillingRecordBuilder &BillingRecordBuilder::amount(Microunits value)
{
    this->fields.amount = value;
    return *this;
}

BillingRecordBuilder &BillingRecordBuilder::houseCost(Microunits value)
{
    this->fields.houseCost = value;
    return *this;
}

BillingRecordBuilder &BillingRecordBuilder::admitted(WallTime value)
{
    this->fields.admitted = value;
    return *this;
}

ErrorOr<BillingRecord> BillingRecordBuilder::build() const
{
    if (hourBucketOf(this->fields.requestId).empty()) {
        return Error {"invalid_record", "request identity '" + this->fields.requestId + "' is malformed"};
    }
    if (this->fields.account.empty()) {
        return Error {"invalid_record", "client account is empty"};
    }
    const bool hasNegative = this->fields.amount < 0 || this->fields.houseCost < 0 || std::ranges::any_of(this->fields.steps, hasNegativeNumber);
    if (hasNegative) {
        return Error {"invalid_record", "amounts, costs and token counts must not be negative"};
    }
    const bool isUncharged = this->fields.outcome == RequestOutcome::Failed || this->fields.outcome == RequestOutcome::Interrupted;
    if (isUncharged && this->fields.amount != 0) {
        return Error {"invalid_record", "a failed or interrupted request must have amount 0"};
    }
    return BillingRecord(this->fields);
}

std::string_view outcomeName(RequestOutcome outcome)
{
    const auto *found = std::ranges::find(outcomeNames, outcome, &std::pair<RequestOutcome, std::string_view>::first);
    return found->second;
}

ErrorOr<RequestOutcome> outcomeFromName(std::string_view name)
{
    const auto *found = std::ranges::find(outcomeNames, name, &std::pair<RequestOutcome, std::string_view>::second);
    if (found == outcomeNames.end()) {
        return Error {"invalid_record", "unknown outcome '" + std::string(name) + "'"};
    }
    return found->first;
}

WallTime admissionSecondOf(std::string_view requestId)
{
    constexpr std::size_t timeDigits = 8;
    if (hourBucketOf(requestId).empty()) {
        return {};
    }
    std::uint32_t seconds = 0;
    std::from_chars(requestId.data(), requestId.data() + timeDigits, seconds, 16);
    return WallTime(std::chrono::seconds(seconds));
}

} // namespace Godwitfork
