#include "LibClaims/ClaimClosing.h"

#include <utility>

namespace Godwitfork
{

ClaimClosing::ClaimClosing(Claim target, std::uint64_t version, std::uint64_t takeoverVersion)
    : target(std::move(target)), version(version), takeoverVersion(takeoverVersion)
{
}

ClaimStep ClaimClosing::start()
{
    if (this->version != 0) {
        return this->update(this->target, this->version);
    }
    // An uncertain create may still take effect. Once the final state has been created, its condition can never hold again.
    ClaimStep step;
    step.action = ClaimAction::Create;
    step.claim = this->target;
    return step;
}

ClaimStep ClaimClosing::update(Claim claim, std::uint64_t condition) const
{
    ClaimStep step;
    step.action = ClaimAction::Update;
    step.claim = std::move(claim);
    step.version = condition;
    return step;
}

ClaimStep ClaimClosing::finish(ClaimClosingResult newOutcome)
{
    this->outcome = newOutcome;
    return {};
}

ClaimStep ClaimClosing::receive(const ClaimWriteResponse &written)
{
    ClaimStep step;
    switch (written.result) {
    case ClaimWriteResult::Written:
        return this->finish(ClaimClosingResult::Recorded);
    case ClaimWriteResult::Conflict:
        step.action = ClaimAction::Read;
        return step;
    case ClaimWriteResult::NotSent:
    case ClaimWriteResult::Uncertain:
        // The pause limits the load on a failing store. The next attempt finds out whether the write took effect.
        step.action = ClaimAction::Wait;
        return step;
    }
    return step;
}

ClaimStep ClaimClosing::receive(const ClaimReadResponse &read)
{
    ClaimStep step;
    if (read.result == ClaimReadResult::Failed) {
        step.action = ClaimAction::Wait;
        return step;
    }
    if (read.result == ClaimReadResult::Missing) {
        this->version = 0;
        return this->start();
    }
    if (read.claim.token == this->target.token) {
        if (read.claim.state == ClaimState::Claimed) {
            this->version = read.version;
            return this->start();
        }
        return this->finish(read.claim.state == this->target.state ? ClaimClosingResult::Recorded : ClaimClosingResult::Overtaken);
    }
    const bool takeoverPending = this->takeoverVersion != 0 && read.version == this->takeoverVersion;
    if (takeoverPending) {
        // The uncertain takeover may still take effect. Writing the same claim again changes the version, so that the condition
        // of the takeover can never hold again.
        return this->update(read.claim, read.version);
    }
    return this->finish(ClaimClosingResult::Overtaken);
}

ClaimClosingResult ClaimClosing::result() const
{
    return this->outcome;
}

} // namespace Godwitfork
