#pragma once

#include "LibCore/Identifier.h"
#include "LibLedger/BillingRecord.h"

#include <string>

namespace Godwitfork
{

inline BillingRecord completedRecord(const std::string &requestId, Microunits amount, const std::string &account = "ljungberg")
{
    const ModelStep step {"crest", "3", "10.0.0.7:9000", 120, 40, amount};
    BillingRecordBuilder builder;
    builder.requestId(requestId).account(account).site("norrland").step(step).outcome(RequestOutcome::Completed).amount(amount);
    return builder.admitted(admissionSecondOf(requestId)).build().value();
}

} // namespace Godwitfork
