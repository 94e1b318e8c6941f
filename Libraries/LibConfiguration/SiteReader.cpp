#include "LibConfiguration/SiteReader.h"

#include "LibConfiguration/MapReader.h"
#include "LibConfiguration/ModelReader.h"

#include <algorithm>
#include <charconv>

namespace Godwitfork
{

namespace
{
constexpr int highestPriority = 9;

/// Names that references may use. They are taken from the documents' keys, so that a mistake inside a model does not also
/// make every reference to the model a finding.
struct DeclaredNames {
    VersionNames versions;
    std::set<std::string, std::less<>> services;
    std::set<std::string, std::less<>> failureDomains;
};

AllowedModel readAllowedModel(const DocumentEntry &entry, MapReader &models, const DeclaredNames &names)
{
    AllowedModel allowed {entry.key, {}};
    const auto model = names.versions.find(entry.key);
    if (model == names.versions.end()) {
        models.report(entry.value, entry.key, "unknown model '" + entry.key + "'");
        return allowed;
    }
    if (entry.value.kind == DocumentKind::Text && entry.value.text == "all") {
        return allowed;
    }
    const std::vector<DocumentNode> versions = models.texts(entry.key);
    if (entry.value.kind == DocumentKind::List && versions.empty()) {
        models.report(entry.value, entry.key, "an empty list allows no version; write 'all' or remove the model");
    }
    for (const DocumentNode &version : versions) {
        if (!model->second.contains(version.text)) {
            models.report(version, entry.key, "unknown version '" + version.text + "' of model '" + entry.key + "'");
            continue;
        }
        allowed.versions.push_back(version.text);
    }
    return allowed;
}

std::vector<AllowedModel> readAllowedModels(MapReader &account, const DeclaredNames &names, Findings &findings)
{
    const DocumentNode *node = account.requiredChild("models");
    if (node == nullptr) {
        return {};
    }
    MapReader models(*node, account.pathOf("models"), findings);
    std::vector<AllowedModel> allowed;
    if (node->kind != DocumentKind::Map) {
        return allowed;
    }
    if (node->entries.empty()) {
        account.report(*node, "models", "the account has no allowed model");
    }
    for (const DocumentEntry &entry : node->entries) {
        allowed.push_back(readAllowedModel(entry, models, names));
    }
    return allowed;
}

ClientAccount readAccount(const DocumentEntry &entry, const std::string &path, const DeclaredNames &names, Findings &findings)
{
    MapReader reader(entry.value, path, findings);
    ClientAccount account;
    account.name = entry.key;
    reader.requiredChild("key_hashes");
    account.keyHashes = reader.digests("key_hashes");
    account.models = readAllowedModels(reader, names, findings);
    for (const DocumentNode &service : reader.texts("services")) {
        if (!names.services.contains(service.text)) {
            reader.report(service, "services", "unknown service '" + service.text + "'");
        }
        account.services.push_back(service.text);
    }
    account.priority = reader.integer("priority", 0, 0, highestPriority);
    reader.requiredChild("quality_target");
    account.qualityTarget = reader.fraction("quality_target");
    reader.requiredChild("monthly_budget");
    account.monthlyBudget = reader.amount("monthly_budget", AmountDenominator::Month);
    account.requestsPerSecond = reader.rate("rate_limit");
    const DocumentNode *rateLimit = reader.child("rate_limit");
    if (rateLimit != nullptr && rateLimit->kind == DocumentKind::Text && parseRate(rateLimit->text) == 0.0) {
        // The configuration stores 0 for "no limit", while an operator who writes 0 means that no request is allowed.
        reader.report(*rateLimit, "rate_limit", "a limit of 0 is out of range; leave the key out for no limit");
    }
    account.onWithdrawn =
        reader.choice<WithdrawalPolicy>("on_withdrawn", WithdrawalPolicy::Move, {{"move", WithdrawalPolicy::Move}, {"refuse", WithdrawalPolicy::Refuse}});
    reader.finish();
    return account;
}

bool isAddress(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return false;
    }
    const std::string_view host = text.substr(0, colon);
    const std::string_view port = text.substr(colon + 1);
    const bool isBracketed = host.front() == '[' && host.back() == ']';
    const std::string_view allowed = isBracketed ? "[]:.0123456789abcdefABCDEF" : ".0123456789";
    int number = 0;
    const auto result = std::from_chars(port.data(), port.data() + port.size(), number);
    constexpr int highestPort = 65535;
    return host.find_first_not_of(allowed) == std::string_view::npos && result.ec == std::errc() && result.ptr == port.data() + port.size() && number >= 1
        && number <= highestPort;
}

void checkServed(const DocumentNode &served, MapReader &reader, const DeclaredNames &names)
{
    const std::size_t colon = served.text.find(':');
    if (colon == std::string::npos) {
        if (!names.services.contains(served.text)) {
            reader.report(served, "serves", "unknown service '" + served.text + "'; a model version is written 'model:version'");
        }
        return;
    }
    const std::string model = served.text.substr(0, colon);
    const std::string version = served.text.substr(colon + 1);
    const auto found = names.versions.find(model);
    if (found == names.versions.end()) {
        reader.report(served, "serves", "unknown model '" + model + "'");
        return;
    }
    if (!found->second.contains(version)) {
        reader.report(served, "serves", "unknown version '" + version + "' of model '" + model + "'");
    }
}

Endpoint readEndpoint(const DocumentEntry &entry, const std::string &path, const DeclaredNames &names, Findings &findings)
{
    MapReader reader(entry.value, path, findings);
    Endpoint endpoint;
    endpoint.name = entry.key;
    endpoint.address = reader.requiredText("address");
    const DocumentNode *address = reader.child("address");
    if (address != nullptr && address->kind == DocumentKind::Text && !isAddress(address->text)) {
        reader.report(*address, "address", "'" + address->text + "' is not an IP address with a port");
    }
    endpoint.failureDomain = reader.requiredText("failure_domain");
    const DocumentNode *domain = reader.child("failure_domain");
    if (domain != nullptr && domain->kind == DocumentKind::Text && !names.failureDomains.contains(domain->text)) {
        reader.report(*domain, "failure_domain", "unknown failure domain '" + domain->text + "'");
    }
    const DocumentNode *serves = reader.requiredChild("serves");
    if (serves != nullptr && serves->kind == DocumentKind::List && serves->entries.empty()) {
        reader.report(*serves, "serves", "the endpoint serves no model version and no service");
    }
    for (const DocumentNode &served : reader.texts("serves")) {
        checkServed(served, reader, names);
        endpoint.serves.push_back(served.text);
    }
    endpoint.state = reader.choice<EndpointState>("state", EndpointState::Active, {{"active", EndpointState::Active}, {"draining", EndpointState::Draining}});
    endpoint.fencing =
        reader.choice<FencingSupport>("fencing", FencingSupport::Ignored, {{"ignored", FencingSupport::Ignored}, {"checked", FencingSupport::Checked}});
    reader.finish();
    return endpoint;
}

Service readService(const DocumentEntry &entry, const std::string &path, Findings &findings)
{
    MapReader reader(entry.value, path, findings);
    Service service;
    service.name = entry.key;
    // The key has no default: a service that is wrongly assumed to be idempotent may execute a request twice.
    reader.requiredChild("idempotent");
    service.idempotency =
        reader.choice<Idempotency>("idempotent", Idempotency::NotIdempotent, {{"true", Idempotency::Idempotent}, {"false", Idempotency::NotIdempotent}});
    service.price = reader.amount("price", AmountDenominator::Call);
    reader.finish();
    return service;
}

std::set<std::string, std::less<>> readFailureDomains(MapReader &reader)
{
    std::set<std::string, std::less<>> domains;
    for (const DocumentNode &domain : reader.texts("failure_domains")) {
        if (!isName(domain.text)) {
            reader.report(domain, "failure_domains", "'" + domain.text + "' is not a valid name");
        }
        domains.insert(domain.text);
    }
    return domains;
}

/// Reports keys that are used twice: a key that belongs to two accounts, or to an account and an operator, would leave one
/// of the two unreachable.
void checkSharedKeys(const DocumentNode &merged, Findings &findings)
{
    std::set<std::string> seen;
    const auto visit = [&](const DocumentNode *list, const std::string &path) {
        if (list == nullptr) {
            return;
        }
        for (const DocumentEntry &entry : list->entries) {
            if (entry.value.kind == DocumentKind::Text && !seen.insert(path + "\n" + entry.value.text).second) {
                continue; // `MapReader::texts` reports repetitions within a list.
            }
            if (entry.value.kind == DocumentKind::Text && !seen.insert(entry.value.text).second) {
                const DocumentLocation &location = entry.value.location;
                findings.add({location.file, location.line, location.column, path, "the key hash is already in use"});
            }
        }
    };
    visit(merged.find("operator_key_hashes"), "operator_key_hashes");
    const DocumentNode *accounts = merged.find("accounts");
    for (const DocumentEntry &account : accounts == nullptr ? std::vector<DocumentEntry>() : accounts->entries) {
        visit(account.value.find("key_hashes"), joinPath(joinPath("accounts", account.key), "key_hashes"));
    }
}
} // namespace

SiteConfiguration readSite(const DocumentNode &merged, Findings &findings)
{
    MapReader reader(merged, "", findings);
    reader.child("sites");
    reader.child("site");
    SiteConfiguration site;
    reader.requiredChild("operator_key_hashes");
    site.operatorKeyHashes = reader.digests("operator_key_hashes");
    DeclaredNames names;
    names.failureDomains = readFailureDomains(reader);
    site.models = readModels(reader, names.versions, findings);
    for (const DocumentEntry &entry : reader.namedEntries("services")) {
        names.services.insert(entry.key);
        site.services.emplace(entry.key, readService(entry, joinPath("services", entry.key), findings));
    }
    for (const DocumentEntry &entry : reader.namedEntries("accounts")) {
        site.accounts.emplace(entry.key, readAccount(entry, joinPath("accounts", entry.key), names, findings));
    }
    for (const DocumentEntry &entry : reader.namedEntries("endpoints")) {
        site.endpoints.emplace(entry.key, readEndpoint(entry, joinPath("endpoints", entry.key), names, findings));
    }
    checkSharedKeys(merged, findings);
    reader.finish();
    return site;
}

} // namespace Godwitfork
