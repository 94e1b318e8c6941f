#pragma once

#include "LibCore/Time.h"

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Whether a request may be sent to an endpoint more than once.
enum class RepeatRule {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// A stream of numbered events that may be resumed at another endpoint after the last received event.
    ResumableStream,
    /// A stream that may run at most once.
    Stream,
};

bool isStream(RepeatRule rule);
/// Whether a request that an endpoint may have run may be sent again.
bool mayRepeat(RepeatRule rule);

struct ServiceWeight {
    std::string service;
    double weight = 1;

    auto operator<=>(const ServiceWeight &) const = default;
};

struct Route {
    std::string name;
    std::string host;
    /// Path prefix of the route; begins and ends with a slash.
    std::string leadingPath;
    RepeatRule repeatRule = RepeatRule::NonIdempotent;
    /// Maximum time until the complete answer.
    Duration timeout = std::chrono::seconds(10);
    /// Maximum time until the first event of a stream, or until the complete answer, for a response to be on time.
    Duration latencyObjective = std::chrono::seconds(1);
    /// Maximum pause between two events for a stream to be on time.
    Duration pauseObjective = std::chrono::seconds(1);
    /// Priority of the route's requests; 0 is the most urgent.
    int priority = 0;
    /// Models that the router may choose from, smallest first; empty if the caller requests a model.
    std::vector<std::string> models;
    std::vector<ServiceWeight> services;
    /// Maximum number of endpoints that may run one caller's request.
    int attemptLimit = 1;
    /// Whether requests need no API key.
    bool isPublic = false;
    /// Regions whose endpoints the route's requests may reach; empty if all may be reached.
    std::vector<std::string> homeRegions;

    auto operator<=>(const Route &) const = default;
};

/// Model that the engines of a service run.
struct ModelOffer {
    std::string name;
    /// Price of 1,000 generated tokens; a prompt token costs a quarter of a generated one.
    double costPerThousandTokens = 0;

    auto operator<=>(const ModelOffer &) const = default;
};

struct EngineProperties {
    /// Number of requests that the engine runs at once.
    int slots = 1;
    /// Capacity of the engine's key-value cache, in tokens.
    std::int64_t memoryTokens = 0;
    int tokensPerEvent = 1;
    std::vector<ModelOffer> models;

    auto operator<=>(const EngineProperties &) const = default;
};

struct ServiceProperties {
    std::string name;
    std::string healthPath;
    /// Maximum number of connections that one endpoint accepts from all callers together.
    int maxConnections = 0;
    /// Time for which an endpoint of the service is cold after it started during traffic.
    Duration coldTime = Duration::zero();
    /// Requests a second that a cold endpoint can take; 0 if there is no bound.
    double coldRequestsPerSecond = 0;
    /// Properties of the engines; empty if the service's endpoints are no model engines.
    std::optional<EngineProperties> engine;

    auto operator<=>(const ServiceProperties &) const = default;
};

struct ClientAccount {
    std::string name;
    std::vector<std::string> keys;
    /// Priority of the account's requests, which overrides the route's.
    std::optional<int> priority;
    /// Regions whose endpoints the account's requests may reach, in addition to the route's restriction; empty if all may be reached.
    std::vector<std::string> homeRegions;

    auto operator<=>(const ClientAccount &) const = default;
};

/// Priority of a route's requests of an account, null if it has none; the account's own priority goes before the route's. 0 is the most urgent.
int requestPriority(const Route &route, const ClientAccount *account);

/// Limits on the size of requests and on the time that callers may take.
struct CallerLimits {
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1024 * 1024;
    Duration requestTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);

    auto operator<=>(const CallerLimits &) const = default;
};

using ConfigurationVersion = std::int64_t;

/// One version of the operators' configuration of routes, services and client accounts.
struct RouteConfiguration {
    ConfigurationVersion version = 0;
    std::vector<Route> routes;
    std::vector<ServiceProperties> services;
    /// Whether requests on routes that are not public need the key of an account. An empty list of accounts admits no key.
    bool requiresKey = false;
    std::vector<ClientAccount> accounts;
    CallerLimits limits;

    auto operator<=>(const RouteConfiguration &) const = default;
};

/// Builds a configuration from its parts.
class RouteConfigurationBuilder
{
public:
    explicit RouteConfigurationBuilder(ConfigurationVersion version);

    RouteConfigurationBuilder &addRoute(Route route);
    RouteConfigurationBuilder &addService(ServiceProperties service);
    /// Makes requests need the key of an account, also if no account is added.
    RouteConfigurationBuilder &requireKey();
    /// Adds an account; requests then need a key.
    RouteConfigurationBuilder &addAccount(ClientAccount account);
    RouteConfigurationBuilder &setLimits(const CallerLimits &limits);
    std::shared_ptr<const RouteConfiguration> build();

private:
    RouteConfiguration configuration;
};

} // namespace Godwitfork
