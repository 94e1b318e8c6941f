#include "LibChecker/Checker.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <string_view>

namespace Godwitfork
{

namespace
{
/// Outcomes by precedence among billing records of the same request, lowest first (section 5.1 of docs/design.md).
constexpr std::array<std::string_view, 4> outcomesByPrecedence {"interrupted", "failed", "aborted", "completed"};

int outcomePrecedence(const LedgerRecord &record)
{
    const auto *found = std::ranges::find(outcomesByPrecedence, record.outcome);
    return found == outcomesByPrecedence.end() ? -1 : static_cast<int>(found - outcomesByPrecedence.begin());
}

/// One run of all checks over one input.
class Check
{
public:
    explicit Check(const CheckInput &input) : input(input)
    {
        for (const EngineExecution &execution : input.executions) {
            this->executions[execution.requestId].push_back(&execution);
        }
    }

    std::vector<Violation> run()
    {
        this->mergeLedger();
        this->checkAccounting();
        for (const CallerRecord &caller : this->input.callers) {
            this->checkCaller(caller);
        }
        for (const auto &[requestId, record] : this->bills) {
            this->checkBill(*record);
        }
        this->checkUnattributed();
        return std::move(this->violations);
    }

private:
    void addViolation(const char *rule, const std::string &requestId, std::string message)
    {
        this->violations.push_back({rule, requestId, std::move(message)});
    }

    void mergeLedger()
    {
        for (const LedgerRecord &record : this->input.ledger) {
            const LedgerRecord *&preferred = this->bills[record.requestId];
            if (preferred == nullptr) {
                preferred = &record;
                continue;
            }
            const bool bothCompleted = preferred->outcome == "completed" && record.outcome == "completed";
            if (bothCompleted && *preferred != record) {
                this->addViolation("I4", record.requestId, "two different completed billing records");
            }
            if (outcomePrecedence(record) > outcomePrecedence(*preferred)
                || (outcomePrecedence(record) == outcomePrecedence(*preferred) && record.amount > preferred->amount)) {
                preferred = &record;
            }
        }
    }

    void checkAccounting()
    {
        std::set<std::int64_t> numbers;
        for (const CallerRecord &caller : this->input.callers) {
            if (!numbers.insert(caller.number).second) {
                this->addViolation("accounting", caller.requestId, "request " + std::to_string(caller.number) + " has two results");
            }
        }
        if (static_cast<std::int64_t>(numbers.size()) != this->input.sent) {
            this->addViolation("accounting", "", std::to_string(this->input.sent) + " requests sent, " + std::to_string(numbers.size()) + " results");
        }
    }

    void checkCaller(const CallerRecord &caller)
    {
        if (!caller.requestId.empty() && !this->seenIds.insert(caller.requestId).second) {
            this->addViolation("I5", caller.requestId, "two callers received a response with the same request identity");
        }
        if (caller.outcome == CallerOutcome::Answered) {
            this->checkAnswer(caller);
            if (caller.billed) {
                this->checkBillOfAnswer(caller);
            }
        }
        if (caller.outcome == CallerOutcome::Refused && caller.ran == "no" && this->executions.contains(caller.requestId)) {
            this->addViolation("I6", caller.requestId, "refused with 'ran: no', but an engine executed it");
        }
    }

    // Also compares the prompt's length and the number of requested tokens, which the caller chose itself: an answer to another
    // request differs in them with high probability, even if its request identity was replaced.
    void checkAnswer(const CallerRecord &caller)
    {
        if (caller.requestId.empty() || caller.textRequestId != caller.requestId) {
            this->addViolation("I5", caller.requestId, "the answer's text belongs to request '" + caller.textRequestId + "'");
        }
        if (caller.textEndTokens != caller.requestedTokens || caller.reportedCompletionTokens != caller.requestedTokens) {
            this->addViolation("I5",
                               caller.requestId,
                               "requested " + std::to_string(caller.requestedTokens) + " tokens, the text has " + std::to_string(caller.textEndTokens)
                                   + ", the usage reports " + std::to_string(caller.reportedCompletionTokens));
        }
        if (caller.reportedPromptTokens != caller.promptWords) {
            this->addViolation("I5",
                               caller.requestId,
                               "the prompt has " + std::to_string(caller.promptWords) + " tokens, the usage reports "
                                   + std::to_string(caller.reportedPromptTokens));
        }
        if (!this->executions.contains(caller.requestId)) {
            this->addViolation("I5", caller.requestId, "answered, but no engine executed it");
        }
    }

    void checkBillOfAnswer(const CallerRecord &caller)
    {
        const auto bill = this->bills.find(caller.requestId);
        if (bill == this->bills.end()) {
            this->addViolation("I4", caller.requestId, "answered, but there is no billing record");
            return;
        }
        const LedgerRecord &record = *bill->second;
        if (record.outcome != "completed") {
            this->addViolation("I4", caller.requestId, "answered, but its billing record has the outcome '" + record.outcome + "'");
        }
        if (record.account != caller.account) {
            this->addViolation("I4", caller.requestId, "sent by '" + caller.account + "', billed to '" + record.account + "'");
        }
        if (record.amount != caller.reportedCost) {
            this->addViolation("I4", caller.requestId, "cost reported as " + std::to_string(caller.reportedCost) + ", billed " + std::to_string(record.amount));
        }
    }

    void checkBill(const LedgerRecord &record)
    {
        if (outcomePrecedence(record) < 0) {
            this->addViolation("I4", record.requestId, "the billing record has the unknown outcome '" + record.outcome + "'");
        }
        if ((record.outcome == "failed" || record.outcome == "interrupted") && record.amount != 0) {
            this->addViolation(
                "I4", record.requestId, "the billing record has the outcome '" + record.outcome + "' but an amount of " + std::to_string(record.amount));
        }
        if (record.outcome != "completed") {
            if (record.amount != 0 && !this->executions.contains(record.requestId)) {
                this->addViolation("I4", record.requestId, "billed, but no engine executed it");
            }
            return;
        }
        if (record.steps.empty()) {
            this->addViolation("I4", record.requestId, "the completed billing record has no steps");
        }
        for (const LedgerStep &step : record.steps) {
            this->checkStep(record, step);
        }
    }

    void checkStep(const LedgerRecord &record, const LedgerStep &step)
    {
        const auto matches = [&step](const EngineExecution *execution) {
            return execution->finished && execution->model == step.model && execution->promptTokens == step.promptTokens
                && execution->completionTokens == step.completionTokens;
        };
        const auto found = this->executions.find(record.requestId);
        if (found == this->executions.end() || std::ranges::none_of(found->second, matches)) {
            this->addViolation("I4", record.requestId, "billed step of '" + step.model + "' matches no finished execution");
        }
    }

    // A request whose connection broke may lack a billing record, and its caller may not have received the request's identity.
    // Therefore at most as many identities may be unattributed to a caller as there are callers with an unknown outcome.
    void checkUnattributed()
    {
        std::set<std::string> attributed;
        std::set<std::string> unbilled;
        std::int64_t unknownOutcomes = 0;
        for (const CallerRecord &caller : this->input.callers) {
            if (!caller.billed) {
                unbilled.insert(caller.requestId);
            } else if (caller.outcome == CallerOutcome::Unknown) {
                ++unknownOutcomes;
            } else {
                attributed.insert(caller.requestId);
            }
        }
        std::set<std::string> unattributed;
        for (const auto &[requestId, list] : this->executions) {
            if (unbilled.contains(requestId)) {
                continue;
            }
            if (!attributed.contains(requestId)) {
                unattributed.insert(requestId);
            } else if (!this->bills.contains(requestId)) {
                this->addViolation("I4", requestId, "executed and reported to its caller, but there is no billing record");
            }
        }
        for (const auto &[requestId, record] : this->bills) {
            if (!attributed.contains(requestId)) {
                unattributed.insert(requestId);
            }
        }
        if (static_cast<std::int64_t>(unattributed.size()) > unknownOutcomes) {
            this->addViolation("I4",
                               "",
                               std::to_string(unattributed.size()) + " identities were executed or billed but reported to no caller, but only "
                                   + std::to_string(unknownOutcomes) + " callers have an unknown outcome");
        }
    }

    const CheckInput &input;
    std::vector<Violation> violations;
    /// Executions by request identity.
    std::map<std::string, std::vector<const EngineExecution *>> executions;
    /// Billing record with the highest precedence, by request identity.
    std::map<std::string, const LedgerRecord *> bills;
    std::set<std::string> seenIds;
};
} // namespace

std::vector<Violation> findViolations(const CheckInput &input)
{
    return Check(input).run();
}

} // namespace Godwitfork
