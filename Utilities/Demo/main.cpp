#include "DemoRun.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

namespace Godwitfork
{

namespace
{
constexpr Duration settleLimit = std::chrono::seconds(15);
constexpr Duration settlePause = std::chrono::milliseconds(500);

struct AccountSummary {
    int requests = 0;
    int answered = 0;
    int orders = 0;
    std::set<std::string> versions;
    Microunits reportedCost = 0;
    Microunits billed = 0;
    std::vector<Duration> latencies;
};

CallerRecord toCallerRecord(const DemoResult &result, std::int64_t number)
{
    CallerRecord record;
    record.number = number;
    record.account = result.request.account;
    record.outcome = result.status == 200 ? CallerOutcome::Answered : (result.status == 0 ? CallerOutcome::Unknown : CallerOutcome::Refused);
    record.requestId = result.requestId;
    record.ran = result.ran;
    // The engine's first token is "[model:version identity]", its last one "[end count]".
    std::istringstream words(result.answer);
    std::string word;
    words >> word >> word;
    record.textRequestId = word.substr(0, word.find(']'));
    const std::size_t end = result.answer.rfind("[end ");
    record.textEndTokens = end == std::string::npos ? 0 : std::atoll(result.answer.c_str() + end + 5);
    std::istringstream prompt(result.request.text);
    for (std::string part; prompt >> part;) {
        ++record.promptWords;
    }
    record.requestedTokens = record.textEndTokens;
    record.reportedPromptTokens = result.promptTokens;
    record.reportedCompletionTokens = result.completionTokens;
    record.reportedCost = result.cost;
    return record;
}

/// Whether a record bills a service call, which has no model version.
bool isOrderRecord(const LedgerRecord &record)
{
    return !record.steps.empty() && record.steps.front().model.back() == ':';
}

CheckInput chatCheck(const std::vector<DemoResult> &results, const DemoEvidence &evidence)
{
    CheckInput input;
    for (const DemoResult &result : results) {
        if (result.request.call != DemoCall::Order) {
            input.callers.push_back(toCallerRecord(result, input.sent++));
        }
    }
    input.executions = evidence.executions;
    std::remove_copy_if(evidence.ledger.begin(), evidence.ledger.end(), std::back_inserter(input.ledger), isOrderRecord);
    return input;
}

std::map<std::string, AccountSummary> summarise(const std::vector<DemoResult> &results, const DemoEvidence &evidence)
{
    std::map<std::string, AccountSummary> accounts;
    for (const DemoResult &result : results) {
        AccountSummary &summary = accounts[result.request.account];
        ++summary.requests;
        summary.answered += result.status == 200 ? 1 : 0;
        summary.orders += result.request.call == DemoCall::Order ? 1 : 0;
        summary.reportedCost += result.cost;
        summary.latencies.push_back(result.latency);
        if (!result.version.empty()) {
            summary.versions.insert(result.model + ":" + result.version);
        }
    }
    std::set<std::string> seen;
    for (const LedgerRecord &record : evidence.ledger) {
        if (seen.insert(record.requestId).second) {
            accounts[record.account].billed += record.amount;
        }
    }
    return accounts;
}

double milliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

void printSummary(std::map<std::string, AccountSummary> accounts)
{
    std::cout << std::fixed << std::setprecision(1);
    for (auto &[name, summary] : accounts) {
        std::sort(summary.latencies.begin(), summary.latencies.end());
        std::cout << "client account " << name << "\n";
        std::cout << "  requests " << summary.requests << " (orders " << summary.orders << "), answered " << summary.answered << "\n";
        std::cout << "  versions";
        for (const std::string &version : summary.versions) {
            std::cout << " " << version;
        }
        std::cout << "\n  billed " << summary.billed << " microunits, of which " << summary.reportedCost << " for model answers\n";
        if (!summary.latencies.empty()) {
            std::cout << "  time to the end of the answer: median " << milliseconds(summary.latencies[summary.latencies.size() / 2]) << " ms, longest "
                      << milliseconds(summary.latencies.back()) << " ms\n";
        }
    }
}

/// Disagreements between what callers saw, what ran and what is billed; empty if there are none.
std::vector<std::string> findDisagreements(const std::vector<DemoResult> &results, const DemoEvidence &evidence)
{
    std::vector<std::string> found;
    for (const Violation &violation : findViolations(chatCheck(results, evidence))) {
        found.push_back(violation.rule + " " + violation.requestId + ": " + violation.message);
    }
    std::set<std::string> billedOrders;
    for (const LedgerRecord &record : evidence.ledger) {
        if (isOrderRecord(record)) {
            billedOrders.insert(record.requestId);
        }
    }
    if (billedOrders.size() != std::set<std::string>(evidence.orders.begin(), evidence.orders.end()).size()) {
        found.push_back(std::to_string(billedOrders.size()) + " orders are billed, " + std::to_string(evidence.orders.size()) + " ran");
    }
    std::map<std::string, std::size_t> runs;
    for (const std::string &key : evidence.orders) {
        ++runs[key];
    }
    std::map<std::string, std::string> answers;
    for (const DemoResult &result : results) {
        if (result.request.call != DemoCall::Order) {
            continue;
        }
        const std::string &key = result.request.idempotencyKey;
        const bool sameAnswer = answers.emplace(key, result.answer).first->second == result.answer;
        if (result.status != 200 || runs[key] != 1 || !sameAnswer) {
            found.push_back("order " + key + ": status " + std::to_string(result.status) + ", runs " + std::to_string(runs[key]));
        }
    }
    return found;
}

/// Reads the evidence until it agrees with the results. Records are durable at journal keepers before they are in the store, so
/// the ledger may lag by the flush interval of 5 s.
boost::asio::awaitable<ErrorOr<DemoEvidence>> readSettledEvidence(HttpClient &client, const DemoTargets &targets, const std::vector<DemoResult> &results)
{
    const MonotonicTime deadline = monotonicNow() + settleLimit;
    while (true) {
        auto evidence = co_await readEvidence(client, targets);
        const bool settled = evidence && findDisagreements(results, evidence.value()).empty();
        if (settled || monotonicNow() > deadline) {
            co_return evidence;
        }
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, settlePause);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

HttpAddress readAddress(const std::string &text)
{
    const HttpAddress address = parseHttpAddress(text);
    if (address.port == 0) {
        throw TCLAP::ArgException("'" + text + "' is not an IP address and a port");
    }
    return address;
}

DemoTargets readTargets(const std::vector<std::string> &routers, const std::vector<std::string> &engines, const std::string &service, const std::string &store)
{
    DemoTargets targets;
    std::transform(routers.begin(), routers.end(), std::back_inserter(targets.routers), readAddress);
    std::transform(engines.begin(), engines.end(), std::back_inserter(targets.engines), readAddress);
    targets.service = readAddress(service);
    targets.store = readAddress(store);
    return targets;
}

int runDemo(const DemoTargets &targets)
{
    boost::asio::io_context context;
    HttpClient client(context);
    std::vector<DemoResult> results;
    ErrorOr<DemoEvidence> evidence = Error {"not_run", "the run did not finish"};
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            results = co_await sendAll(client, targets, demoWorkload());
            evidence = co_await readSettledEvidence(client, targets, results);
        },
        [](std::exception_ptr error) {
            if (error) {
                std::rethrow_exception(error);
            }
        });
    context.run();
    if (!evidence) {
        std::cerr << "godwitfork-demo: " << evidence.error().message << "\n";
        return 1;
    }
    printSummary(summarise(results, evidence.value()));
    const std::vector<std::string> disagreements = findDisagreements(results, evidence.value());
    for (const std::string &disagreement : disagreements) {
        std::cout << "disagreement: " << disagreement << "\n";
    }
    std::cout << (disagreements.empty() ? "the ledger agrees with the engines and the service\n" : "the ledger does not agree\n");
    return disagreements.empty() ? 0 : 1;
}
} // namespace

} // namespace Godwitfork

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Sends a mixed workload to a local deployment and checks the ledger", ' ', "0.1");
        TCLAP::MultiArg<std::string> routers("", "router", "Router", true, "ip:port", command);
        TCLAP::MultiArg<std::string> engines("", "engine", "Engine stand-in", true, "ip:port", command);
        TCLAP::ValueArg<std::string> service("", "service", "Service stand-in", true, "", "ip:port", command);
        TCLAP::ValueArg<std::string> store("", "store", "Object store stand-in", true, "", "ip:port", command);
        command.parse(argc, argv);
        return Godwitfork::runDemo(Godwitfork::readTargets(routers.getValue(), engines.getValue(), service.getValue(), store.getValue()));
    } catch (const std::exception &error) {
        std::cerr << "godwitfork-demo: " << error.what() << "\n";
        return 1;
    }
}
