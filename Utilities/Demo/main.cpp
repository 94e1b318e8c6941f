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
constexpr Duration consistencyTimeout = std::chrono::seconds(15);
constexpr Duration pollInterval = std::chrono::milliseconds(500);

/// Totals of one client account.
struct AccountSummary {
    int requests = 0;
    int answered = 0;
    int orders = 0;
    std::set<std::string> versions;
    /// Cost according to the responses.
    Microunits reportedCost = 0;
    /// Cost according to the ledger.
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
    // The answer's first token is "[model:version identity]" and its last one "[end count]".
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

/// Whether the record bills a service call, whose step has no model version.
bool isOrderRecord(const LedgerRecord &record)
{
    return !record.steps.empty() && record.steps.front().model.back() == ':';
}

/// Input of the checker with the model requests only.
CheckInput makeCheckInput(const std::vector<DemoResult> &results, const StandInRecords &standInRecords)
{
    CheckInput input;
    for (const DemoResult &result : results) {
        if (result.request.call != DemoCall::Order) {
            input.callers.push_back(toCallerRecord(result, input.sent++));
        }
    }
    input.executions = standInRecords.executions;
    std::remove_copy_if(standInRecords.ledger.begin(), standInRecords.ledger.end(), std::back_inserter(input.ledger), isOrderRecord);
    return input;
}

std::map<std::string, AccountSummary> summarise(const std::vector<DemoResult> &results, const StandInRecords &standInRecords)
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
    for (const LedgerRecord &record : standInRecords.ledger) {
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
            std::cout << "  latency to the end of the response: median " << milliseconds(summary.latencies[summary.latencies.size() / 2]) << " ms, longest "
                      << milliseconds(summary.latencies.back()) << " ms\n";
        }
    }
}

/// Descriptions of the discrepancies between responses, executions and billing records; empty if there are none.
std::vector<std::string> findDiscrepancies(const std::vector<DemoResult> &results, const StandInRecords &standInRecords)
{
    std::vector<std::string> found;
    for (const Violation &violation : findViolations(makeCheckInput(results, standInRecords))) {
        found.push_back(violation.rule + " " + violation.requestId + ": " + violation.message);
    }
    std::set<std::string> billedOrders;
    for (const LedgerRecord &record : standInRecords.ledger) {
        if (isOrderRecord(record)) {
            billedOrders.insert(record.requestId);
        }
    }
    if (billedOrders.size() != std::set<std::string>(standInRecords.executedOrders.begin(), standInRecords.executedOrders.end()).size()) {
        found.push_back(std::to_string(billedOrders.size()) + " orders are billed, " + std::to_string(standInRecords.executedOrders.size()) + " were executed");
    }
    std::map<std::string, std::size_t> executionCounts;
    for (const std::string &key : standInRecords.executedOrders) {
        ++executionCounts[key];
    }
    std::map<std::string, std::string> answers;
    for (const DemoResult &result : results) {
        if (result.request.call != DemoCall::Order) {
            continue;
        }
        const std::string &key = result.request.idempotencyKey;
        const bool isSameAnswer = answers.emplace(key, result.answer).first->second == result.answer;
        if (result.status != 200 || executionCounts[key] != 1 || !isSameAnswer) {
            found.push_back("order " + key + ": status " + std::to_string(result.status) + ", executions " + std::to_string(executionCounts[key]));
        }
    }
    return found;
}

/// Reads the stand-ins' records repeatedly until they agree with the results or the timeout expires. Journal replicas store billing
/// records durably before the records reach the object store, so the ledger may lag by the flush interval of 5 s.
boost::asio::awaitable<ErrorOr<StandInRecords>> pollStandInRecords(HttpClient &client, const DemoTargets &targets, const std::vector<DemoResult> &results)
{
    const MonotonicTime deadline = monotonicNow() + consistencyTimeout;
    while (true) {
        auto standInRecords = co_await readStandInRecords(client, targets);
        const bool isConsistent = standInRecords && findDiscrepancies(results, standInRecords.value()).empty();
        if (isConsistent || monotonicNow() > deadline) {
            co_return standInRecords;
        }
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, pollInterval);
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
    ErrorOr<StandInRecords> standInRecords = Error {"not_run", "the run did not finish"};
    boost::asio::co_spawn(
        context,
        [&]() -> boost::asio::awaitable<void> {
            results = co_await sendAll(client, targets, demoWorkload());
            standInRecords = co_await pollStandInRecords(client, targets, results);
        },
        [](std::exception_ptr error) {
            if (error) {
                std::rethrow_exception(error);
            }
        });
    context.run();
    if (!standInRecords) {
        std::cerr << "godwitfork-demo: " << standInRecords.error().message << "\n";
        return 1;
    }
    printSummary(summarise(results, standInRecords.value()));
    const std::vector<std::string> discrepancies = findDiscrepancies(results, standInRecords.value());
    for (const std::string &discrepancy : discrepancies) {
        std::cout << "discrepancy: " << discrepancy << "\n";
    }
    std::cout << (discrepancies.empty() ? "the ledger agrees with the engines and the service\n"
                                        : "the ledger does not agree with the engines and the service\n");
    return discrepancies.empty() ? 0 : 1;
}
} // namespace

} // namespace Godwitfork

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine command("Sends a mixed workload to a local deployment and compares the ledger with the executions", ' ', "0.1");
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
