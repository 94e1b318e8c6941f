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

/// What may be sent to an endpoint a second time.
enum class RepeatRule {
    /// The request may run any number of times.
    Idempotent,
    /// The request may run at most once.
    NonIdempotent,
    /// A stream of numbered events that may go on at another endpoint after the last event received.
    ResumableStream,
    /// A stream that may run at most once.
    Stream,
};

bool isStream(RepeatRule rule);
/// Whether a request that an endpoint may have run can be sent again.
bool mayRepeat(RepeatRule rule);

struct ServiceWeight {
    std::string service;
    double weight = 1;

    auto operator<=>(const ServiceWeight &) const = default;
};

struct Route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string leadingPath;
    RepeatRule repeatRule = RepeatRule::NonIdempotent;
    /// Longest time until the final answer.
    Duration timeout = std::chrono::seconds(10);
    /// Time until the first event or the whole answer within which a response counts as on time.
    Duration latencyObjective = std::chrono::seconds(1);
    /// Longest pause between events within which a stream counts as on time.
    Duration pauseObjective = std::chrono::seconds(1);
    /// 0 is the most urgent.
    int priority = 0;
    /// Models that the router may choose from, smallest first; empty if the caller names the model.
    std::vector<std::string> models;
    std::vector<ServiceWeight> services;
    /// Endpoints that may run one request of a caller.
    int attemptLimit = 1;
    bool isPublic = false;

    auto operator<=>(const Route &) const = default;
};

struct ModelOffer {
    std::string name;
    /// Price of 1,000 generated tokens; a token read costs a quarter of one generated.
    double costPerThousandTokens = 0;

    auto operator<=>(const ModelOffer &) const = default;
};

struct EngineProperties {
    /// Requests that the engine runs at once.
    int slots = 1;
    std::int64_t memoryTokens = 0;
    int tokensPerEvent = 1;
    std::vector<ModelOffer> models;

    auto operator<=>(const EngineProperties &) const = default;
};

struct ServiceProperties {
    std::string name;
    std::string healthPath;
    /// Connections that one endpoint accepts from all callers together.
    int maxConnections = 0;
    /// Set if the service's endpoints are model engines.
    std::optional<EngineProperties> engine;

    auto operator<=>(const ServiceProperties &) const = default;
};

struct ClientAccount {
    std::string name;
    std::vector<std::string> keys;
    /// Goes before the route's priority.
    std::optional<int> priority;

    auto operator<=>(const ClientAccount &) const = default;
};

/// What a caller may send, and how long it may take.
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
    /// Without an account no request needs a key.
    std::vector<ClientAccount> accounts;
    CallerLimits limits;

    auto operator<=>(const RouteConfiguration &) const = default;
};

/// Collects the parts of a configuration.
class RouteConfigurationBuilder
{
public:
    explicit RouteConfigurationBuilder(ConfigurationVersion version);

    RouteConfigurationBuilder &addRoute(Route route);
    RouteConfigurationBuilder &addService(ServiceProperties service);
    RouteConfigurationBuilder &addAccount(ClientAccount account);
    RouteConfigurationBuilder &setLimits(const CallerLimits &limits);
    std::shared_ptr<const RouteConfiguration> build();

private:
    RouteConfiguration configuration;
};

} // namespace Godwitfork
