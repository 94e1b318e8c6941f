#include "LibClaims/ClaimAttempt.h"

#include <utility>

namespace Godwitfork
{

namespace
{
// A race or a lost answer is settled by one more write and read; more rounds mean that the store is unusable.
constexpr int maximumRounds = 4;
} // namespace

ClaimAttempt::ClaimAttempt(Claim wanted) : wanted(std::move(wanted))
{
}

const Claim &ClaimAttempt::claim() const
{
    return this->wanted;
}

std::uint64_t ClaimAttempt::takeoverVersion() const
{
    return this->updatedVersion;
}

ClaimStep ClaimAttempt::start()
{
    return this->writeAgain();
}

ClaimStep ClaimAttempt::writeAgain()
{
    if (this->rounds >= maximumRounds) {
        return this->refuseStore();
    }
    this->rounds += 1;
    this->phase = Phase::Claiming;
    ClaimStep step;
    step.action = this->updatedVersion == 0 ? ClaimAction::Create : ClaimAction::Update;
    step.claim = this->wanted;
    step.version = this->updatedVersion;
    return step;
}

ClaimStep ClaimAttempt::read()
{
    ClaimStep step;
    step.action = ClaimAction::Read;
    return step;
}

ClaimStep ClaimAttempt::receive(const ClaimWriteResponse &written, WallTime now)
{
    if (this->phase == Phase::Expiring) {
        return this->receiveExpiry(written);
    }
    switch (written.result) {
    case ClaimWriteResult::Written:
        return this->own(written.version, now);
    case ClaimWriteResult::Conflict:
        // The object may hold this attempt's own earlier write, so only a read tells whose claim it is.
        this->foundOtherClaim = !this->hasUncertainWrite;
        return this->read();
    case ClaimWriteResult::NotSent:
        return this->refuseStore();
    case ClaimWriteResult::Uncertain:
        this->hasUncertainWrite = true;
        return this->read();
    }
    return this->refuseStore();
}

ClaimStep ClaimAttempt::receiveExpiry(const ClaimWriteResponse &written)
{
    if (written.result == ClaimWriteResult::Written) {
        return this->refuse(ClaimRefusal::OutcomeUnknown, ClaimRan::Unknown);
    }
    if (written.result == ClaimWriteResult::Conflict && this->rounds < maximumRounds) {
        // The owner or another retry was faster; its state decides.
        this->rounds += 1;
        return this->read();
    }
    return this->refuse(ClaimRefusal::StoreUnavailable, ClaimRan::Unknown);
}

ClaimStep ClaimAttempt::own(std::uint64_t version, WallTime now) const
{
    ClaimStep step;
    step.claim = this->wanted;
    step.version = version;
    if (mayDispatch(this->wanted, now)) {
        step.action = ClaimAction::Dispatch;
        return step;
    }
    step.action = ClaimAction::Refuse;
    step.refusal = ClaimRefusal::DeadlineExceeded;
    step.ran = ClaimRan::No;
    step.needsRelease = true;
    return step;
}

ClaimStep ClaimAttempt::receive(const ClaimReadResponse &read, WallTime now)
{
    switch (read.result) {
    case ClaimReadResult::Failed:
        return this->refuseStore();
    case ClaimReadResult::Missing:
        // The uncertain create has not taken effect yet. It carries the same token, so whichever write wins is ours.
        this->updatedVersion = 0;
        return this->writeAgain();
    case ClaimReadResult::Found:
        return this->judge(read, now);
    }
    return this->refuseStore();
}

ClaimStep ClaimAttempt::judge(const ClaimReadResponse &read, WallTime now)
{
    const Claim &found = read.claim;
    if (found.token == this->wanted.token) {
        // Another state than `Claimed` was set by a retry after expiry; this attempt has not dispatched.
        return found.state == ClaimState::Claimed ? this->own(read.version, now) : this->refuse(ClaimRefusal::DeadlineExceeded, ClaimRan::No);
    }
    this->foundOtherClaim = true;
    if (found.bodyHash != this->wanted.bodyHash) {
        return this->refuse(ClaimRefusal::KeyReused, ClaimRan::No);
    }
    ClaimStep step;
    switch (found.state) {
    case ClaimState::Done:
        step.action = ClaimAction::Replay;
        step.claim = found;
        return step;
    case ClaimState::Unknown:
        return this->refuse(ClaimRefusal::OutcomeUnknown, ClaimRan::Unknown);
    case ClaimState::Released:
        // A released claim never ran, so a failure after this point may say so.
        this->foundOtherClaim = false;
        this->wanted.requestId = found.requestId;
        this->updatedVersion = read.version;
        return this->writeAgain();
    case ClaimState::Claimed:
        break;
    }
    if (!isExpired(found, now)) {
        return this->refuse(ClaimRefusal::InProgress, ClaimRan::Unknown);
    }
    this->phase = Phase::Expiring;
    step.action = ClaimAction::Update;
    step.claim = unknownClaim(found);
    step.version = read.version;
    return step;
}

ClaimStep ClaimAttempt::refuse(ClaimRefusal refusal, ClaimRan ran) const
{
    ClaimStep step;
    step.action = ClaimAction::Refuse;
    step.refusal = refusal;
    step.ran = ran;
    return step;
}

ClaimStep ClaimAttempt::refuseStore() const
{
    ClaimStep step = this->refuse(ClaimRefusal::StoreUnavailable, this->foundOtherClaim ? ClaimRan::Unknown : ClaimRan::No);
    step.needsRelease = this->hasUncertainWrite;
    return step;
}

} // namespace Godwitfork
