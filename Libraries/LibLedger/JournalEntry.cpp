#include "LibLedger/JournalEntry.h"

#include "LibLedger/RecordCodec.h"

#include <utility>

namespace Godwitfork
{

bool JournalEntry::operator==(const JournalEntry &other) const
{
    const bool sameRecord = this->record && other.record ? *this->record == *other.record : this->record == other.record;
    return this->sequence == other.sequence && this->open == other.open && sameRecord;
}

JournalEntry openEntry(std::uint64_t sequence, OpenRequest open)
{
    const std::size_t bytes = sizeof(JournalEntry) + open.requestId.size() + open.account.size() + open.site.size();
    return {sequence, std::move(open), nullptr, bytes};
}

JournalEntry recordEntry(std::uint64_t sequence, BillingRecord record)
{
    OpenRequest open {record.requestId(), record.account(), record.site()};
    const std::size_t bytes = encodedSize(record);
    return {sequence, std::move(open), std::make_shared<const BillingRecord>(std::move(record)), bytes};
}

ErrorOr<BillingRecord> interruptedRecord(const OpenRequest &open)
{
    return BillingRecordBuilder()
        .requestId(open.requestId)
        .account(open.account)
        .site(open.site)
        .outcome(RequestOutcome::Interrupted)
        .admitted(admissionSecondOf(open.requestId))
        .build();
}

} // namespace Godwitfork
