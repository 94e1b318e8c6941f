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
/// Precedence of outcomes between records of one identity, lowest first (section 5.1 of docs/design.md).
constexpr std::array<std::string_view, 4> outcomesByPrecedence {"interrupted", "failed", "aborted", "completed"};

int precedenceOf(const LedgerRecord &record)
{
    const auto *found = std::ranges::find(outcomesByPrecedence, record.outcome);
    return found == outcomesByPrecedence.end() ? -1 : static_cast<int>(found - outcomesByPrecedence.begin());
}

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
    void add(const char *rule, const std::string &requestId, std::string message)
    {
        this->violations.push_back({rule, requestId, std::move(message)});
    }

    void mergeLedger()
    {
        for (const LedgerRecord &record : this->input.ledger) {
            const LedgerRecord *&kept = this->bills[record.requestId];
            if (kept == nullptr) {
                kept = &record;
                continue;
            }
            const bool bothCompleted = kept->outcome == "completed" && record.outcome == "completed";
            if (bothCompleted && *kept != record) {
                this->add("I4", record.requestId, "two different completed billing records");
            }
            if (precedenceOf(record) > precedenceOf(*kept) || (precedenceOf(record) == precedenceOf(*kept) && record.amount > kept->amount)) {
                kept = &record;
            }
        }
    }

    void checkAccounting()
    {
        std::set<std::int64_t> numbers;
        for (const CallerRecord &caller : this->input.callers) {
            if (!numbers.insert(caller.number).second) {
                this->add("accounting", caller.requestId, "request " + std::to_string(caller.number) + " has two results");
            }
        }
        if (static_cast<std::int64_t>(numbers.size()) != this->input.sent) {
            this->add("accounting", "", std::to_string(this->input.sent) + " requests sent, " + std::to_string(numbers.size()) + " results");
        }
    }

    void checkCaller(const CallerRecord &caller)
    {
        if (!caller.requestId.empty() && !this->seenIds.insert(caller.requestId).second) {
            this->add("I5", caller.requestId, "two callers received a response with the same identity");
        }
        if (caller.outcome == CallerOutcome::Answered) {
            this->checkAnswer(caller);
            if (caller.billed) {
                this->checkBillOfAnswer(caller);
            }
        }
        if (caller.outcome == CallerOutcome::Refused && caller.ran == "no" && this->executions.contains(caller.requestId)) {
            this->add("I6", caller.requestId, "refused with 'ran: no', but an engine executed it");
        }
    }

    // The prompt's length and the number of tokens asked for are the caller's own, so an answer to another request differs
    // in them with high probability even if its identity were replaced.
    void checkAnswer(const CallerRecord &caller)
    {
        if (caller.requestId.empty() || caller.textRequestId != caller.requestId) {
            this->add("I5", caller.requestId, "the text belongs to request '" + caller.textRequestId + "'");
        }
        if (caller.textEndTokens != caller.requestedTokens || caller.reportedCompletionTokens != caller.requestedTokens) {
            this->add("I5",
                      caller.requestId,
                      "asked for " + std::to_string(caller.requestedTokens) + " tokens, the text has " + std::to_string(caller.textEndTokens)
                          + ", the usage says " + std::to_string(caller.reportedCompletionTokens));
        }
        if (caller.reportedPromptTokens != caller.promptWords) {
            this->add("I5",
                      caller.requestId,
                      "the prompt has " + std::to_string(caller.promptWords) + " tokens, the usage says " + std::to_string(caller.reportedPromptTokens));
        }
        if (!this->executions.contains(caller.requestId)) {
            this->add("I5", caller.requestId, "answered, but no engine executed it");
        }
    }

    void checkBillOfAnswer(const CallerRecord &caller)
    {
        const auto bill = this->bills.find(caller.requestId);
        if (bill == this->bills.end()) {
            this->add("I4", caller.requestId, "answered, but it has no billing record");
            return;
        }
        const LedgerRecord &record = *bill->second;
        if (record.outcome != "completed") {
            this->add("I4", caller.requestId, "answered, but its billing record says '" + record.outcome + "'");
        }
        if (record.account != caller.account) {
            this->add("I4", caller.requestId, "sent by '" + caller.account + "', billed to '" + record.account + "'");
        }
        if (record.amount != caller.reportedCost) {
            this->add("I4", caller.requestId, "cost reported as " + std::to_string(caller.reportedCost) + ", billed " + std::to_string(record.amount));
        }
    }

    void checkBill(const LedgerRecord &record)
    {
        if (precedenceOf(record) < 0) {
            this->add("I4", record.requestId, "unknown outcome '" + record.outcome + "'");
        }
        if ((record.outcome == "failed" || record.outcome == "interrupted") && record.amount != 0) {
            this->add("I4", record.requestId, "outcome '" + record.outcome + "' with an amount of " + std::to_string(record.amount));
        }
        if (record.outcome != "completed") {
            if (record.amount != 0 && !this->executions.contains(record.requestId)) {
                this->add("I4", record.requestId, "billed, but no engine executed it");
            }
            return;
        }
        if (record.steps.empty()) {
            this->add("I4", record.requestId, "a completed billing record without steps");
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
            this->add("I4", record.requestId, "billed step of '" + step.model + "' matches no finished execution");
        }
    }

    // A request that was cut off may have no record, and its caller may not know its identity. So identities that no caller
    // knows are accepted up to the number of callers with an unknown result.
    void checkUnattributed()
    {
        std::set<std::string> known;
        std::set<std::string> unbilled;
        std::int64_t unknown = 0;
        for (const CallerRecord &caller : this->input.callers) {
            if (!caller.billed) {
                unbilled.insert(caller.requestId);
            } else if (caller.outcome == CallerOutcome::Unknown) {
                ++unknown;
            } else {
                known.insert(caller.requestId);
            }
        }
        std::set<std::string> unattributed;
        for (const auto &[requestId, list] : this->executions) {
            if (unbilled.contains(requestId)) {
                continue;
            }
            if (!known.contains(requestId)) {
                unattributed.insert(requestId);
            } else if (!this->bills.contains(requestId)) {
                this->add("I4", requestId, "executed and known to its caller, but it has no billing record");
            }
        }
        for (const auto &[requestId, record] : this->bills) {
            if (!known.contains(requestId)) {
                unattributed.insert(requestId);
            }
        }
        if (static_cast<std::int64_t>(unattributed.size()) > unknown) {
            this->add("I4",
                      "",
                      std::to_string(unattributed.size()) + " identities executed or billed that no caller knows, but only " + std::to_string(unknown)
                          + " unknown results");
        }
    }

    const CheckInput &input;
    std::vector<Violation> violations;
    std::map<std::string, std::vector<const EngineExecution *>> executions;
    std::map<std::string, const LedgerRecord *> bills;
    std::set<std::string> seenIds;
};
} // namespace

std::vector<Violation> findViolations(const CheckInput &input)
{
    return Check(input).run();
}

} // namespace Godwitfork
