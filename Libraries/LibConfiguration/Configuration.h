#pragma once

#include "LibCore/Error.h"
#include "LibCore/Money.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

enum class VersionState { Candidate, Stable, Withdrawn };

/// One version of a model. Prices are in microunits per 1000 tokens.
struct ModelVersion {
    std::string name;
    VersionState state = VersionState::Stable;
    Microunits promptPrice = 0;
    Microunits completionPrice = 0;

    auto operator<=>(const ModelVersion &) const = default;
};

/// Model that requests name. A model with a cascade has no versions and routes to the listed models, cheapest first.
struct Model {
    std::string name;
    std::vector<std::string> cascade;
    std::vector<ModelVersion> versions;

    auto operator<=>(const Model &) const = default;
};

/// Model that a client account may use. An empty list of versions allows every version.
struct AllowedModel {
    std::string model;
    std::vector<std::string> versions;

    auto operator<=>(const AllowedModel &) const = default;
};

/// What happens to a session whose version is withdrawn: it moves to another version, or its requests are refused.
enum class WithdrawalPolicy { Move, Refuse };

struct ClientAccount {
    std::string name;
    /// SHA-256 of each API key, in lower-case hexadecimal.
    std::vector<std::string> keyHashes;
    std::vector<AllowedModel> models;
    std::vector<std::string> services;
    /// Requests of higher priority are served first under overload.
    int priority = 0;
    /// Lowest accepted average rating of the account's answers, 0 to 1.
    double qualityTarget = 0;
    Microunits monthlyBudget = 0;
    /// Rate limit in requests per second; 0 means no limit.
    double requestsPerSecond = 0;
    WithdrawalPolicy onWithdrawn = WithdrawalPolicy::Move;

    auto operator<=>(const ClientAccount &) const = default;
};

enum class EndpointState { Active, Draining };
enum class FencingSupport { Ignored, Checked };

/// Network address that serves model versions (`model:version`) or plain services.
struct Endpoint {
    std::string name;
    std::string address;
    std::string failureDomain;
    std::vector<std::string> serves;
    EndpointState state = EndpointState::Active;
    FencingSupport fencing = FencingSupport::Ignored;

    auto operator<=>(const Endpoint &) const = default;
};

enum class Idempotency { Idempotent, NotIdempotent };

struct Service {
    std::string name;
    Idempotency idempotency = Idempotency::NotIdempotent;
    /// Price of one call in microunits.
    Microunits price = 0;

    auto operator<=>(const Service &) const = default;
};

/// Accounts, models, endpoints and services of one site, with its operator keys.
struct SiteConfiguration {
    std::map<std::string, ClientAccount> accounts;
    std::map<std::string, Model> models;
    std::map<std::string, Endpoint> endpoints;
    std::map<std::string, Service> services;
    /// SHA-256 of each operator key, in lower-case hexadecimal.
    std::vector<std::string> operatorKeyHashes;

    auto operator<=>(const SiteConfiguration &) const = default;
};

/// Configuration of all sites, as kept in the object store.
struct Configuration {
    std::map<std::string, SiteConfiguration> sites;

    auto operator<=>(const Configuration &) const = default;
};

const ModelVersion *findVersion(const Model &model, std::string_view version);
/// Newest version in state `Stable`, which is the last stable one in the list; null if there is none.
const ModelVersion *stableVersion(const Model &model);
bool isVersionAllowed(const ClientAccount &account, std::string_view model, std::string_view version);
bool isModelAllowed(const ClientAccount &account, std::string_view model);

/// Serialises a configuration as JSON with sorted keys, so that equal configurations have equal texts.
std::string toJson(const Configuration &configuration);
/// Parses a configuration from JSON. Fails with `invalid_configuration` and the message of the JSON library.
ErrorOr<Configuration> configurationFromJson(std::string_view text);

} // namespace Godwitfork
