#include "LibGateway/PeerReport.h"

#include "LibCore/Digest.h"
#include "LibPeer/PeerMessage.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>

namespace Godwitfork
{

namespace
{
using Json = nlohmann::json;

/// Maximum nesting depth of a received message; a report has five levels.
constexpr int maxDepth = 8;
/// Observations are encoded as integers in hundredths, which take fewer bytes than floating-point numbers.
constexpr double observationUnits = 100;

std::int64_t toMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

Json encodeCounts(const AnswerCounts &counts)
{
    return Json::array({counts.answers, counts.failures, counts.slow});
}

AnswerCounts decodeCounts(const Json &json)
{
    return {json.at(0).get<std::int64_t>(), json.at(1).get<std::int64_t>(), json.at(2).get<std::int64_t>()};
}

Json encodeCountMap(const std::map<std::string, AnswerCounts> &map)
{
    Json json = Json::object();
    for (const auto &[name, counts] : map) {
        json[name] = encodeCounts(counts);
    }
    return json;
}

std::map<std::string, AnswerCounts> decodeCountMap(const Json &json)
{
    std::map<std::string, AnswerCounts> map;
    for (const auto &[name, counts] : json.items()) {
        map[name] = decodeCounts(counts);
    }
    return map;
}

Json encodePins(const std::vector<SessionPin> &pins)
{
    Json json = Json::array();
    for (const SessionPin &pin : pins) {
        json.push_back(Json::array({pin.session, pin.version, toMilliseconds(pin.idle)}));
    }
    return json;
}

std::vector<SessionPin> decodePins(const Json &json)
{
    std::vector<SessionPin> pins;
    for (const Json &pin : json) {
        pins.push_back({pin.at(0).get<std::uint64_t>(), pin.at(1).get<std::string>(), std::chrono::milliseconds(pin.at(2).get<std::int64_t>())});
    }
    return pins;
}

Json encodeTrial(const TrialReport &trial)
{
    return Json::array({trial.service,
                        trial.target,
                        static_cast<int>(trial.state),
                        toMilliseconds(trial.age),
                        trial.isBad,
                        encodeCountMap(trial.observations.candidateByRoute),
                        encodeCountMap(trial.observations.candidateByEndpoint),
                        encodeCounts(trial.observations.stable),
                        encodePins(trial.sessions)});
}

TrialReport decodeTrial(const Json &json)
{
    TrialReport trial;
    trial.service = json.at(0).get<std::string>();
    trial.target = json.at(1).get<std::string>();
    const int state = json.at(2).get<int>();
    if (state < static_cast<int>(RolloutState::Ordered) || state > static_cast<int>(RolloutState::Reverted)) {
        throw std::out_of_range("the roll-out state is not a known value");
    }
    trial.state = static_cast<RolloutState>(state);
    trial.age = std::chrono::milliseconds(json.at(3).get<std::int64_t>());
    trial.isBad = json.at(4).get<bool>();
    trial.observations.candidateByRoute = decodeCountMap(json.at(5));
    trial.observations.candidateByEndpoint = decodeCountMap(json.at(6));
    trial.observations.stable = decodeCounts(json.at(7));
    trial.sessions = decodePins(json.at(8));
    return trial;
}

Json encodeObservations(const ObservationSum &observations)
{
    return Json::array({std::llround(observations.sum * observationUnits), std::llround(observations.weight * observationUnits)});
}

ObservationSum decodeObservations(const Json &json)
{
    return {json.at(0).get<double>() / observationUnits, json.at(1).get<double>() / observationUnits};
}

Json encodeEndpoints(const EndpointUsageMap &usages)
{
    Json endpoints = Json::object();
    for (const auto &[id, usage] : usages) {
        Json &entry = endpoints[id] = Json::array({usage.running, toMilliseconds(usage.pendingPromptTime), encodeObservations(usage.failures)});
        if (usage.sinceOutput) {
            entry.push_back(toMilliseconds(*usage.sinceOutput));
        }
    }
    return endpoints;
}

EndpointUsageMap decodeEndpoints(const Json &json)
{
    EndpointUsageMap usages;
    for (const auto &[id, usage] : json.items()) {
        EndpointUsage &decoded = usages[id];
        decoded.running = usage.at(0).get<int>();
        decoded.pendingPromptTime = std::chrono::milliseconds(usage.at(1).get<std::int64_t>());
        decoded.failures = decodeObservations(usage.at(2));
        if (usage.size() > 3) {
            decoded.sinceOutput = std::chrono::milliseconds(usage.at(3).get<std::int64_t>());
        }
    }
    return usages;
}

Json encodeStatistics(const ServiceStatisticsMap &statistics)
{
    Json json = Json::object();
    for (const auto &[service, serviceStatistics] : statistics) {
        json[service] = Json::array({encodeObservations(serviceStatistics.slowdown),
                                     encodeObservations(serviceStatistics.promptWaits),
                                     serviceStatistics.retries.requests,
                                     serviceStatistics.retries.retries});
    }
    return json;
}

ServiceStatisticsMap decodeStatistics(const Json &json)
{
    ServiceStatisticsMap statistics;
    for (const auto &[service, serviceStatistics] : json.items()) {
        const RetryUse retries {serviceStatistics.at(2).get<std::int64_t>(), serviceStatistics.at(3).get<std::int64_t>()};
        statistics[service] = {decodeObservations(serviceStatistics.at(0)), decodeObservations(serviceStatistics.at(1)), retries};
    }
    return statistics;
}

Json encodePlacements(const CachePlacements &placements)
{
    Json json = Json::object();
    for (const auto &[endpoint, parts] : placements) {
        Json &list = json[endpoint] = Json::array();
        for (const CachedPart &part : parts) {
            list.push_back(part.key);
            list.push_back(part.tokens);
        }
    }
    return json;
}

CachePlacements decodePlacements(const Json &json)
{
    CachePlacements placements;
    for (const auto &[endpoint, list] : json.items()) {
        for (std::size_t i = 0; i + 1 < list.size(); i += 2) {
            placements[endpoint].push_back({list.at(i).get<std::uint64_t>(), list.at(i + 1).get<std::int64_t>()});
        }
    }
    return placements;
}

Json encodeLeaving(const std::vector<LeavingEndpoint> &leaving)
{
    Json json = Json::array();
    for (const LeavingEndpoint &endpoint : leaving) {
        json.push_back(Json::array({endpoint.id, endpoint.incarnation}));
    }
    return json;
}

std::vector<LeavingEndpoint> decodeLeaving(const Json &json)
{
    std::vector<LeavingEndpoint> leaving;
    for (const Json &endpoint : json) {
        leaving.push_back({endpoint.at(0).get<std::string>(), endpoint.at(1).get<std::int64_t>()});
    }
    return leaving;
}

Json encodeTrials(const std::vector<TrialReport> &trials)
{
    Json json = Json::array();
    for (const TrialReport &trial : trials) {
        json.push_back(encodeTrial(trial));
    }
    return json;
}

std::vector<TrialReport> decodeTrials(const Json &json)
{
    std::vector<TrialReport> trials;
    for (const Json &trial : json) {
        trials.push_back(decodeTrial(trial));
    }
    return trials;
}

Json encodeMember(const FleetMember &member)
{
    return Json::array({member.instance, member.address, member.capacity});
}

FleetMember decodeMember(const Json &json)
{
    return {json.at(0).get<std::string>(), json.at(1).get<std::string>(), json.at(2).get<int>()};
}

std::string toBytes(const Json &json)
{
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

template<typename Message, typename Decoder>
ErrorOr<Message> decodeMessage(std::string_view bytes, Decoder decode)
{
    if (!isCborWithinDepth(bytes, maxDepth)) {
        return Error {"malformed_report", "the message is not valid CBOR or is nested too deeply"};
    }
    try {
        return decode(Json::from_cbor(bytes));
    } catch (const std::exception &error) {
        return Error {"malformed_report", error.what()};
    }
}
} // namespace

EndpointUsage &EndpointUsage::operator+=(const EndpointUsage &other)
{
    this->running += other.running;
    this->pendingPromptTime += other.pendingPromptTime;
    this->failures += other.failures;
    if (other.sinceOutput) {
        this->sinceOutput = std::min(this->sinceOutput.value_or(*other.sinceOutput), *other.sinceOutput);
    }
    return *this;
}

ServiceStatistics &ServiceStatistics::operator+=(const ServiceStatistics &other)
{
    this->slowdown += other.slowdown;
    this->promptWaits += other.promptWaits;
    this->retries += other.retries;
    return *this;
}

ServiceStatistics &ServiceStatistics::operator-=(const ServiceStatistics &other)
{
    this->slowdown -= other.slowdown;
    this->promptWaits -= other.promptWaits;
    this->retries.requests = std::max<std::int64_t>(0, this->retries.requests - other.retries.requests);
    this->retries.retries = std::max<std::int64_t>(0, this->retries.retries - other.retries.retries);
    return *this;
}

std::uint64_t fleetHash(const std::vector<FleetMember> &members)
{
    std::uint64_t hash = 0;
    for (const FleetMember &member : members) {
        hash ^= hash64(member.address);
    }
    return hash;
}

std::string encodePeerReport(const PeerReport &report)
{
    return toBytes(Json::array({encodeMember(report.sender),
                                report.wantsSummary,
                                report.fleetHash,
                                report.configuration,
                                encodeEndpoints(report.endpoints),
                                encodeStatistics(report.statistics),
                                encodePlacements(report.placements),
                                encodeLeaving(report.leaving),
                                encodeTrials(report.trials)}));
}

std::string encodePeerSummary(const PeerSummary &summary)
{
    Json members = Json::array();
    for (const FleetMember &member : summary.members) {
        members.push_back(encodeMember(member));
    }
    return toBytes(Json::array({summary.memberCount,
                                members,
                                summary.configuration,
                                summary.configurationHolder,
                                encodeEndpoints(summary.endpoints),
                                encodeStatistics(summary.statistics),
                                encodePlacements(summary.placements),
                                encodeLeaving(summary.leaving),
                                encodeTrials(summary.trials)}));
}

ErrorOr<PeerReport> decodePeerReport(std::string_view bytes)
{
    return decodeMessage<PeerReport>(bytes, [](const Json &json) {
        PeerReport report;
        report.sender = decodeMember(json.at(0));
        report.wantsSummary = json.at(1).get<bool>();
        report.fleetHash = json.at(2).get<std::uint64_t>();
        report.configuration = json.at(3).get<ConfigurationVersion>();
        report.endpoints = decodeEndpoints(json.at(4));
        report.statistics = decodeStatistics(json.at(5));
        report.placements = decodePlacements(json.at(6));
        report.leaving = decodeLeaving(json.at(7));
        report.trials = decodeTrials(json.at(8));
        return report;
    });
}

ErrorOr<PeerSummary> decodePeerSummary(std::string_view bytes)
{
    return decodeMessage<PeerSummary>(bytes, [](const Json &json) {
        PeerSummary summary;
        summary.memberCount = json.at(0).get<std::int64_t>();
        for (const Json &member : json.at(1)) {
            summary.members.push_back(decodeMember(member));
        }
        summary.configuration = json.at(2).get<ConfigurationVersion>();
        summary.configurationHolder = json.at(3).get<std::string>();
        summary.endpoints = decodeEndpoints(json.at(4));
        summary.statistics = decodeStatistics(json.at(5));
        summary.placements = decodePlacements(json.at(6));
        summary.leaving = decodeLeaving(json.at(7));
        summary.trials = decodeTrials(json.at(8));
        return summary;
    });
}

} // namespace Godwitfork
