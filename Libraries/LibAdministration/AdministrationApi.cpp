#include "LibAdministration/AdministrationApi.h"

#include "LibConfiguration/ConfigurationFiles.h"
#include "LibCore/Digest.h"
#include "LibCore/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusUnauthorized = 401;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusUnprocessable = 422;
constexpr int statusUnavailable = 503;
constexpr std::size_t operatorIdDigits = 8;
constexpr std::size_t defaultHistoryLimit = 20;
const std::string revisionPath = "/v1/configuration/history/";
const std::string sitePath = "/v1/configuration/sites/";

bool parseNumber(std::string_view text, std::uint64_t &number)
{
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    return !text.empty() && result.ec == std::errc() && result.ptr == text.data() + text.size();
}

HttpResponse storeErrorResponse(const StoreError &error)
{
    if (error.failure == StoreFailure::NotFound) {
        return administrationError(statusNotFound, "revision_not_found", "the revision does not exist");
    }
    return administrationError(statusUnavailable, "store_unavailable", error.message);
}

HttpResponse badRequest(const Error &error)
{
    return administrationError(statusBadRequest, error.code, error.message);
}

HttpResponse notFound(std::string_view message)
{
    return administrationError(statusNotFound, "not_found", message);
}

/// Validates a configuration by the rules for the operators' files, so that a client cannot store one that `check` rejects.
Findings findingsOf(const Configuration &configuration)
{
    Findings findings;
    if (configuration.sites.empty()) {
        findings.add({"configuration", 1, 1, "sites", "the configuration has no site"});
    }
    for (const auto &[name, site] : configuration.sites) {
        const auto result = checkConfiguration({{name, renderSite(name, site)}, {{name + " overlay", "site: " + name + "\n"}}});
        if (!result) {
            findings.append(result.error());
        } else if (result.value().sites.at(name) != site) {
            findings.add({name, 1, 1, "", "the site does not read back as the same configuration"});
        }
    }
    return findings;
}

void logApply(const ApplyMetadata &metadata, const ApplyResult &result)
{
    logEvent(LogLevel::Info,
             "administration.apply",
             {{"operator", metadata.operatorId}, {"token", metadata.token}, {"result", static_cast<int>(result.status)}, {"revision", result.revision}});
}
} // namespace

std::string operatorIdForKey(std::string_view key, const std::vector<std::string> &keyHashes)
{
    const std::string hash = sha256Hex(key);
    bool isValid = false;
    // Compares with every hash, because the time until an early exit would reveal which one matched.
    for (const std::string &keyHash : keyHashes) {
        isValid = constantTimeEquals(hash, keyHash) || isValid;
    }
    return isValid && !key.empty() ? hash.substr(0, operatorIdDigits) : std::string();
}

AdministrationApi::AdministrationApi(AdministrationContext context) : context(std::move(context))
{
}

HttpResponse AdministrationApi::refuse(int status, const std::string &code, const std::string &message)
{
    return administrationError(status, code, message);
}

Asio::awaitable<void> AdministrationApi::handle(HttpExchange &exchange)
{
    const std::string operatorId = operatorIdForKey(bearerKey(exchange.request().headers), this->context.operatorKeyHashes());
    if (operatorId.empty()) {
        HttpResponse refusal = administrationError(statusUnauthorized, "invalid_operator_key", "a valid operator key is required");
        co_await exchange.respond(std::move(refusal));
        co_return;
    }
    HttpResponse response = co_await this->route(exchange.request(), operatorId);
    co_await exchange.respond(std::move(response));
}

Asio::awaitable<HttpResponse> AdministrationApi::route(const HttpRequest &request, const std::string &operatorId)
{
    const std::string path = targetPath(request.target);
    if (request.method == "GET") {
        co_return co_await this->read(request, path);
    }
    if (request.method == "POST" && path == "/v1/configuration") {
        co_return co_await this->apply(request, operatorId);
    }
    if (request.method == "POST" && path == "/v1/versions") {
        co_return co_await this->changeVersion(request, operatorId);
    }
    if (request.method == "POST" && path == "/v1/endpoints") {
        co_return co_await this->changeEndpoint(request, operatorId);
    }
    co_return notFound("the method and path match no route");
}

Asio::awaitable<HttpResponse> AdministrationApi::read(const HttpRequest &request, const std::string &path)
{
    if (path == "/v1/status") {
        co_return co_await this->status();
    }
    if (path == "/v1/bill") {
        co_return co_await this->bill(request);
    }
    if (path == "/v1/spend") {
        co_return co_await this->spend();
    }
    if (path == "/v1/configuration/history") {
        co_return co_await this->history(request);
    }
    if (path.starts_with(revisionPath)) {
        co_return co_await this->revision(path.substr(revisionPath.size()));
    }
    if (path.starts_with(sitePath)) {
        co_return co_await this->renderedSite(request, percentDecode(path.substr(sitePath.size())));
    }
    if (path == "/v1/configuration") {
        const auto current = co_await readCurrent(this->context.objects);
        co_return current ? jsonResponse(statusOk, recordJson(current.value()).dump()) : storeErrorResponse(current.error());
    }
    co_return notFound("the method and path match no route");
}

Asio::awaitable<HttpResponse> AdministrationApi::apply(const HttpRequest &request, const std::string &operatorId)
{
    auto parsed = parseApplyRequest(request.body);
    if (!parsed) {
        co_return badRequest(parsed.error());
    }
    ApplyRequest apply = std::move(parsed).assume_value();
    const Findings findings = findingsOf(apply.configuration);
    if (!findings.isEmpty()) {
        co_return administrationError(statusUnprocessable, "invalid_configuration", findings.toText());
    }
    const ApplyMetadata metadata = this->makeMetadata(std::move(apply.token), std::move(apply.comment), apply.basedOn, operatorId);
    if (!apply.mayReinstate && apply.basedOn != 0) {
        // A stored revision never changes, so the result is still valid at the conditional write.
        const auto before = co_await readRevision(this->context.objects, apply.basedOn);
        if (!before && before.error().failure != StoreFailure::NotFound) {
            co_return storeErrorResponse(before.error());
        }
        const auto reinstated = before ? reinstatedVersions(before.value().configuration, apply.configuration) : std::vector<std::string>();
        if (!reinstated.empty()) {
            co_return administrationError(statusConflict, "version_withdrawn", "the configuration reinstates the withdrawn version " + reinstated.front());
        }
    }
    const ApplyResult result = co_await applyConfiguration(this->context.objects, metadata, std::move(apply.configuration));
    logApply(metadata, result);
    co_return applyResponse(result);
}

Asio::awaitable<HttpResponse> AdministrationApi::changeVersion(const HttpRequest &request, const std::string &operatorId)
{
    const auto parsed = parseVersionStateRequest(request.body);
    if (!parsed) {
        co_return badRequest(parsed.error());
    }
    const auto &body = parsed.value();
    const ApplyMetadata metadata = this->makeMetadata(body.token, body.comment, body.since, operatorId);
    ConfigurationChange change = [&body](Configuration &configuration) { return changeVersionState(configuration, body.change); };
    const ApplyResult result = co_await changeConfiguration(this->context.objects, metadata, std::move(change));
    logApply(metadata, result);
    co_return applyResponse(result);
}

Asio::awaitable<HttpResponse> AdministrationApi::changeEndpoint(const HttpRequest &request, const std::string &operatorId)
{
    const auto parsed = parseEndpointStateRequest(request.body);
    if (!parsed) {
        co_return badRequest(parsed.error());
    }
    const auto &body = parsed.value();
    const ApplyMetadata metadata = this->makeMetadata(body.token, body.comment, body.since, operatorId);
    ConfigurationChange change = [&body](Configuration &configuration) { return changeEndpointState(configuration, body.change); };
    const ApplyResult result = co_await changeConfiguration(this->context.objects, metadata, std::move(change));
    logApply(metadata, result);
    co_return applyResponse(result);
}

Asio::awaitable<HttpResponse> AdministrationApi::history(const HttpRequest &request)
{
    std::uint64_t limit = defaultHistoryLimit;
    const std::string text = queryValue(request.target, "limit");
    if (!text.empty() && !parseNumber(text, limit)) {
        co_return administrationError(statusBadRequest, "invalid_request", "'limit' is not a number");
    }
    const auto records = co_await readHistory(this->context.objects, limit);
    if (!records) {
        co_return storeErrorResponse(records.error());
    }
    nlohmann::json body;
    body["revisions"] = nlohmann::json::array();
    for (const ConfigurationRecord &record : records.value()) {
        body["revisions"].push_back(summaryJson(record));
    }
    co_return jsonResponse(statusOk, body.dump());
}

Asio::awaitable<HttpResponse> AdministrationApi::revision(const std::string &text)
{
    std::uint64_t number = 0;
    if (!parseNumber(text, number)) {
        co_return administrationError(statusBadRequest, "invalid_request", "the revision is not a number");
    }
    const auto record = co_await readRevision(this->context.objects, number);
    co_return record ? jsonResponse(statusOk, recordJson(record.value()).dump()) : storeErrorResponse(record.error());
}

Asio::awaitable<HttpResponse> AdministrationApi::renderedSite(const HttpRequest &request, const std::string &site)
{
    std::uint64_t number = 0;
    const std::string text = queryValue(request.target, "revision");
    if (!text.empty() && !parseNumber(text, number)) {
        co_return administrationError(statusBadRequest, "invalid_request", "the revision is not a number");
    }
    auto record = co_await readCurrent(this->context.objects);
    if (record && !text.empty() && record.value().revision != number) {
        record = co_await readRevision(this->context.objects, number);
    }
    if (!record) {
        co_return storeErrorResponse(record.error());
    }
    const auto found = record.value().configuration.sites.find(site);
    if (found == record.value().configuration.sites.end()) {
        co_return notFound("the site does not exist in the configuration");
    }
    HttpResponse response;
    response.headers.push_back({"Content-Type", "application/yaml"});
    response.body = renderSite(site, found->second);
    co_return response;
}

Asio::awaitable<HttpResponse> AdministrationApi::status()
{
    const auto current = co_await readCurrent(this->context.objects);
    nlohmann::json body;
    // Null if the store cannot be read, as opposed to 0 if it has no configuration.
    body["stored_revision"] = current ? nlohmann::json(current.value().revision) : nlohmann::json();
    body["instances"] = instancesJson(this->context.instances());
    co_return jsonResponse(statusOk, body.dump());
}

Asio::awaitable<HttpResponse> AdministrationApi::bill(const HttpRequest &request)
{
    const auto month = parseMonth(queryValue(request.target, "month"));
    if (!month) {
        co_return administrationError(statusBadRequest, "invalid_request", "'month' must be YYYY-MM");
    }
    const auto ledger = co_await readLedger(this->context.objects, *month);
    if (!ledger) {
        co_return storeErrorResponse(ledger.error());
    }
    nlohmann::json body;
    body["bills"] = nlohmann::json::array();
    for (const std::string &account : ledger.value().accounts) {
        body["bills"].push_back(billJson(ledger.value().records.bill(account, *month)));
    }
    co_return jsonResponse(statusOk, body.dump());
}

Asio::awaitable<HttpResponse> AdministrationApi::spend()
{
    constexpr std::chrono::days forecastWindow {28};
    const WallTime now = this->context.now();
    const auto current = co_await readCurrent(this->context.objects);
    if (!current) {
        co_return storeErrorResponse(current.error());
    }
    const BillingPeriod month = monthOf(now);
    const BillingPeriod window {std::min<WallTime>(month.from, now - forecastWindow - std::chrono::days(1)), month.until};
    const auto ledger = co_await readLedger(this->context.objects, window);
    if (!ledger) {
        co_return storeErrorResponse(ledger.error());
    }
    nlohmann::json body;
    body["accounts"] = nlohmann::json::array();
    for (const auto &[account, budget] : monthlyBudgets(current.value().configuration)) {
        body["accounts"].push_back(spendJson(computeSpend(ledger.value().records, account, budget, now)));
    }
    co_return jsonResponse(statusOk, body.dump());
}

ApplyMetadata AdministrationApi::makeMetadata(std::string token, std::string comment, ObjectVersion basedOn, const std::string &operatorId) const
{
    ApplyMetadata metadata;
    metadata.token = std::move(token);
    metadata.comment = std::move(comment);
    metadata.basedOn = basedOn;
    metadata.operatorId = operatorId;
    metadata.appliedAt = this->context.now().time_since_epoch().count();
    return metadata;
}

} // namespace Godwitfork
