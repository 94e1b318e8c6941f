#include "LibGateway/PeerReport.h"

#include "LibCore/CborDepth.h"
#include "LibCore/Digest.h"

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

Json encodeCounts(const AnswerCounts &counts)
{
    return Json::array({counts.answers, counts.failures, counts.slow, counts.times.answers, counts.times.logSum, counts.times.logSquareSum});
}

AnswerCounts decodeCounts(const Json &json)
{
    const auto field = [&json](std::size_t index) { return json.at(index).get<std::int64_t>(); };
    return {field(0), field(1), field(2), {field(3), field(4), field(5)}};
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
                        encodeCountMap(trial.observations.stableByRoute),
                        encodePins(trial.sessions),
                        trial.isAccepted});
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
    trial.observations.stableByRoute = decodeCountMap(json.at(7));
    trial.sessions = decodePins(json.at(8));
    trial.isAccepted = json.at(9).get<bool>();
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

/// Encodes each usage as an array of its key and its fields without trailing zeros, since most fields of an idle endpoint are 0.
Json encodeEndpoints(const EndpointUsageMap &usages)
{
    Json endpoints = Json::array();
    for (const auto &[key, usage] : usages) {
        // 0 stands for no recent output.
        const std::int64_t sinceOutput = usage.sinceOutput ? toMilliseconds(*usage.sinceOutput) + 1 : 0;
        std::vector<std::int64_t> fields = {key,
                                            usage.running,
                                            toMilliseconds(usage.pendingPromptTime),
                                            sinceOutput,
                                            std::llround(usage.failures.weight * observationUnits),
                                            std::llround(usage.failures.sum * observationUnits)};
        while (fields.back() == 0 && fields.size() > 1) {
            fields.pop_back();
        }
        endpoints.push_back(std::move(fields));
    }
    return endpoints;
}

EndpointUsageMap decodeEndpoints(const Json &json)
{
    EndpointUsageMap usages;
    for (const Json &fields : json) {
        const auto field = [&fields](std::size_t index) { return index < fields.size() ? fields.at(index).get<std::int64_t>() : 0; };
        EndpointUsage &usage = usages[fields.at(0).get<EndpointKey>()];
        usage.running = static_cast<int>(field(1));
        usage.pendingPromptTime = std::chrono::milliseconds(field(2));
        if (field(3) > 0) {
            usage.sinceOutput = std::chrono::milliseconds(field(3) - 1);
        }
        usage.failures = {static_cast<double>(field(5)) / observationUnits, static_cast<double>(field(4)) / observationUnits};
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

/// Encodes the parts of each endpoint as an array: the endpoint's key, then key and tokens of each part.
Json encodePlacements(const CachePlacements &placements)
{
    Json json = Json::array();
    for (const auto &[endpoint, parts] : placements) {
        Json list = Json::array({endpoint});
        for (const CachedPart &part : parts) {
            list.push_back(part.key);
            list.push_back(part.tokens);
        }
        json.push_back(std::move(list));
    }
    return json;
}

CachePlacements decodePlacements(const Json &json)
{
    CachePlacements placements;
    for (const Json &list : json) {
        std::vector<CachedPart> &parts = placements[list.at(0).get<EndpointKey>()];
        for (std::size_t i = 1; i + 1 < list.size(); i += 2) {
            parts.push_back({list.at(i).get<std::uint64_t>(), list.at(i + 1).get<std::int64_t>()});
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

Json encodePromptEvidence(const std::vector<PromptPartEvidence> &evidence)
{
    Json json = Json::array();
    for (const PromptPartEvidence &entry : evidence) {
        Json crashes = Json::array();
        for (const EndpointCrash &crash : entry.crashes) {
            crashes.push_back(Json::array({crash.endpoint, crash.prompt, toMilliseconds(crash.age)}));
        }
        // 0 stands for no output.
        const std::int64_t sinceOutput = entry.sinceOutput ? toMilliseconds(*entry.sinceOutput) + 1 : 0;
        json.push_back(Json::array({entry.part, std::move(crashes), sinceOutput, entry.haveOthersOutput}));
    }
    return json;
}

std::vector<PromptPartEvidence> decodePromptEvidence(const Json &json)
{
    std::vector<PromptPartEvidence> evidence;
    for (const Json &fields : json) {
        PromptPartEvidence entry;
        entry.part = fields.at(0).get<std::uint64_t>();
        for (const Json &crash : fields.at(1)) {
            entry.crashes.push_back(
                {crash.at(0).get<CrashKey>(), crash.at(1).get<std::uint64_t>(), std::chrono::milliseconds(crash.at(2).get<std::int64_t>())});
        }
        const auto sinceOutput = fields.at(2).get<std::int64_t>();
        if (sinceOutput > 0) {
            entry.sinceOutput = std::chrono::milliseconds(sinceOutput - 1);
        }
        entry.haveOthersOutput = fields.at(3).get<bool>();
        evidence.push_back(std::move(entry));
    }
    return evidence;
}

Json encodeLimits(const std::vector<EndpointLimitReport> &limits)
{
    Json json = Json::array();
    for (const EndpointLimitReport &limit : limits) {
        // A negative rate stands for no limit.
        json.push_back(Json::array({limit.endpoint, limit.incarnation, limit.requestsPerSecond.value_or(-1), toMilliseconds(limit.age)}));
    }
    return json;
}

/// Decodes the last field of a message, which instances of earlier releases do not send.
std::vector<EndpointLimitReport> decodeLimits(const Json &message, std::size_t field)
{
    std::vector<EndpointLimitReport> limits;
    if (message.size() <= field) {
        return limits;
    }
    for (const Json &fields : message.at(field)) {
        EndpointLimitReport limit {fields.at(0).get<std::string>(), fields.at(1).get<std::int64_t>(), std::nullopt, Duration::zero()};
        const double rate = fields.at(2).get<double>();
        if (rate >= 0) {
            limit.requestsPerSecond = rate;
        }
        limit.age = std::chrono::milliseconds(std::max<std::int64_t>(0, fields.at(3).get<std::int64_t>()));
        limits.push_back(std::move(limit));
    }
    return limits;
}

Json encodeMember(const FleetMember &member)
{
    return Json::array({member.instance, member.address, member.capacity, member.failureDomain});
}

FleetMember decodeMember(const Json &json)
{
    return {json.at(0).get<std::string>(), json.at(1).get<std::string>(), json.at(2).get<int>(), json.at(3).get<std::string>()};
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
                                encodeTrials(report.trials),
                                encodePromptEvidence(report.promptEvidence),
                                encodeLimits(report.limits)}));
}

std::string encodePeerSummary(const PeerSummary &summary)
{
    Json members = Json::array();
    for (const MemberSighting &sighting : summary.members) {
        members.push_back(Json::array({encodeMember(sighting.member), toMilliseconds(sighting.age)}));
    }
    return toBytes(Json::array({summary.failureDomain,
                                summary.memberCount,
                                members,
                                summary.listsAllMembers,
                                toMilliseconds(summary.oldestUnlisted),
                                summary.configuration,
                                summary.configurationHolder,
                                encodeEndpoints(summary.endpoints),
                                encodeStatistics(summary.statistics),
                                encodePlacements(summary.placements),
                                encodeLeaving(summary.leaving),
                                encodeTrials(summary.trials),
                                encodePromptEvidence(summary.promptEvidence),
                                encodeLimits(summary.limits)}));
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
        report.promptEvidence = decodePromptEvidence(json.at(9));
        report.limits = decodeLimits(json, 10);
        return report;
    });
}

ErrorOr<PeerSummary> decodePeerSummary(std::string_view bytes)
{
    return decodeMessage<PeerSummary>(bytes, [](const Json &json) {
        PeerSummary summary;
        summary.failureDomain = json.at(0).get<std::string>();
        summary.memberCount = json.at(1).get<std::int64_t>();
        for (const Json &sighting : json.at(2)) {
            summary.members.push_back({decodeMember(sighting.at(0)), std::chrono::milliseconds(sighting.at(1).get<std::int64_t>())});
        }
        summary.listsAllMembers = json.at(3).get<bool>();
        summary.oldestUnlisted = std::chrono::milliseconds(json.at(4).get<std::int64_t>());
        summary.configuration = json.at(5).get<ConfigurationVersion>();
        summary.configurationHolder = json.at(6).get<std::string>();
        summary.endpoints = decodeEndpoints(json.at(7));
        summary.statistics = decodeStatistics(json.at(8));
        summary.placements = decodePlacements(json.at(9));
        summary.leaving = decodeLeaving(json.at(10));
        summary.trials = decodeTrials(json.at(11));
        summary.promptEvidence = decodePromptEvidence(json.at(12));
        summary.limits = decodeLimits(json, 13);
        return summary;
    });
}

} // namespace Godwitfork
