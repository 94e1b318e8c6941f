#include "LibClaims/ClaimAttempt.h"

#include <utility>

namespace Godwitfork
{

namespace
{
// A race or a lost response is resolved by one more write and read. More rounds indicate that the store is unusable.
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
    return this->releasedVersion;
}

ClaimStep ClaimAttempt::start()
{
    return this->write();
}

ClaimStep ClaimAttempt::write()
{
    if (this->rounds >= maximumRounds) {
        return this->refuseStoreUnavailable();
    }
    this->rounds += 1;
    this->phase = Phase::Claiming;
    ClaimStep step;
    step.action = this->releasedVersion == 0 ? ClaimAction::Create : ClaimAction::Update;
    step.claim = this->wanted;
    step.version = this->releasedVersion;
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
        return this->dispatchOrRefuse(written.version, now);
    case ClaimWriteResult::Conflict:
        // The object may contain this attempt's own earlier write, so its owner has to be determined by a read.
        this->foundOtherClaim = !this->hasUncertainWrite;
        return this->read();
    case ClaimWriteResult::NotSent:
        return this->refuseStoreUnavailable();
    case ClaimWriteResult::Uncertain:
        this->hasUncertainWrite = true;
        return this->read();
    }
    return this->refuseStoreUnavailable();
}

ClaimStep ClaimAttempt::receiveExpiry(const ClaimWriteResponse &written)
{
    if (written.result == ClaimWriteResult::Written) {
        return this->refuse(ClaimRefusal::OutcomeUnknown, ClaimRan::Unknown);
    }
    if (written.result == ClaimWriteResult::Conflict && this->rounds < maximumRounds) {
        // The owner or another retry changed the claim first, so its new state decides.
        this->rounds += 1;
        return this->read();
    }
    return this->refuse(ClaimRefusal::StoreUnavailable, ClaimRan::Unknown);
}

ClaimStep ClaimAttempt::dispatchOrRefuse(std::uint64_t version, WallTime now) const
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
        return this->refuseStoreUnavailable();
    case ClaimReadResult::Missing:
        // The uncertain create has not taken effect yet. The next create has the same token, so either one gives this attempt's
        // claim.
        this->releasedVersion = 0;
        return this->write();
    case ClaimReadResult::Found:
        return this->evaluateFoundClaim(read, now);
    }
    return this->refuseStoreUnavailable();
}

ClaimStep ClaimAttempt::evaluateFoundClaim(const ClaimReadResponse &read, WallTime now)
{
    const Claim &found = read.claim;
    if (found.token == this->wanted.token) {
        // A state other than `Claimed` was set by a retry after the claim expired. This attempt has not dispatched.
        return found.state == ClaimState::Claimed ? this->dispatchOrRefuse(read.version, now) : this->refuse(ClaimRefusal::DeadlineExceeded, ClaimRan::No);
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
        // The request of a released claim was not executed, so a later store failure can be reported as not executed.
        this->foundOtherClaim = false;
        this->wanted.requestId = found.requestId;
        this->releasedVersion = read.version;
        return this->write();
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

ClaimStep ClaimAttempt::refuseStoreUnavailable() const
{
    ClaimStep step = this->refuse(ClaimRefusal::StoreUnavailable, this->foundOtherClaim ? ClaimRan::Unknown : ClaimRan::No);
    step.needsRelease = this->hasUncertainWrite;
    return step;
}

} // namespace Godwitfork
