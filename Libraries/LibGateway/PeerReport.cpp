#include "LibGateway/PeerReport.h"

#include "LibCore/CborDepth.h"
#include "LibCore/Digest.h"
#include "LibCore/Utf8.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>

namespace Godwitfork
{

namespace
{
using Json = nlohmann::json;

/// Maximum nesting depth of a received message; a report has five levels.
constexpr int maxDepth = 8;
/// Observations are encoded as integers in hundredths, which take fewer bytes than floating-point numbers.
constexpr double observationUnits = 100;
/// Relative times are encoded in units of 4 ms: the evidence of a request is about 20 units, which take one byte.
constexpr double relativeTimeUnits = 250;

/// Largest number of requests, answers or tokens of one item; sums of many items stay within 64 bits.
constexpr std::int64_t maxCount = std::int64_t {1} << 48U;
constexpr std::int64_t maxMilliseconds = std::int64_t {1000} * 3600 * 24 * 365;
constexpr double maxObservation = 1e12;
constexpr std::size_t maxNameBytes = 1024;
constexpr std::int64_t maxRunning = 1'000'000;
/// CPU quota in thousandths of a core.
constexpr std::int64_t maxCapacity = 1'000'000;

std::int64_t readInteger(const Json &json, std::int64_t least, std::int64_t most)
{
    const bool isInteger = json.is_number_integer() && (!json.is_number_unsigned() || json.get<std::uint64_t>() <= static_cast<std::uint64_t>(most));
    if (!isInteger || json.get<std::int64_t>() < least || json.get<std::int64_t>() > most) {
        throw std::out_of_range("a number is not an integer in its range");
    }
    return json.get<std::int64_t>();
}

std::int64_t readCount(const Json &json)
{
    return readInteger(json, 0, maxCount);
}

EndpointKey readKey(const Json &json)
{
    return static_cast<EndpointKey>(readInteger(json, 0, std::numeric_limits<EndpointKey>::max()));
}

std::int64_t readIncarnation(const Json &json)
{
    return readInteger(json, 0, std::numeric_limits<std::int64_t>::max());
}

ConfigurationVersion readVersion(const Json &json)
{
    return readInteger(json, 0, std::numeric_limits<ConfigurationVersion>::max());
}

std::uint64_t readHash(const Json &json)
{
    if (!json.is_number_unsigned()) {
        throw std::invalid_argument("a hash is not an unsigned integer");
    }
    return json.get<std::uint64_t>();
}

Duration readMilliseconds(const Json &json)
{
    return std::chrono::milliseconds(readInteger(json, 0, maxMilliseconds));
}

double readObservation(const Json &json)
{
    const double value = json.is_number() ? json.get<double>() : std::numeric_limits<double>::quiet_NaN();
    if (!(std::abs(value) <= maxObservation)) {
        throw std::out_of_range("an observation is not a number in its range");
    }
    return value;
}

/// Reads a name, which is valid UTF-8; the parser of CBOR does not check that.
std::string readName(const Json &json)
{
    const auto &name = json.get_ref<const std::string &>();
    if (name.size() > maxNameBytes || !isUtf8(name)) {
        throw std::invalid_argument("a name is too long or not UTF-8");
    }
    return name;
}

ItemFault itemFault(const std::exception &error)
{
    if (dynamic_cast<const Json::type_error *>(&error) != nullptr) {
        return ItemFault::WrongType;
    }
    return dynamic_cast<const Json::out_of_range *>(&error) != nullptr ? ItemFault::MissingField : ItemFault::InvalidValue;
}

/// Decodes each element of a list by itself and counts those that are not understood.
template<typename Decoder>
void decodeItems(const Json &list, ItemFaults &faults, Decoder decode)
{
    if (!list.is_array()) {
        ++faults[ItemFault::WrongType];
        return;
    }
    for (const Json &item : list) {
        try {
            decode(item);
        } catch (const std::exception &error) {
            ++faults[itemFault(error)];
        }
    }
}

/// Decodes each member of an object by itself and counts those that are not understood.
template<typename Decoder>
void decodeMembers(const Json &object, ItemFaults &faults, Decoder decode)
{
    if (!object.is_object()) {
        ++faults[ItemFault::WrongType];
        return;
    }
    for (const auto &[name, item] : object.items()) {
        try {
            decode(readName(Json(name)), item);
        } catch (const std::exception &error) {
            ++faults[itemFault(error)];
        }
    }
}

Json encodeCounts(const AnswerCounts &counts)
{
    return Json::array({counts.answers, counts.failures, counts.slow, counts.times.answers, counts.times.logSum, counts.times.logSquareSum});
}

AnswerCounts decodeCounts(const Json &json)
{
    const auto field = [&json](std::size_t index, std::int64_t least) { return readInteger(json.at(index), least, maxCount); };
    // Sums of logarithms may be negative.
    return {field(0, 0), field(1, 0), field(2, 0), {field(3, 0), field(4, -maxCount), field(5, 0)}};
}

Json encodeCountMap(const std::map<std::string, AnswerCounts> &map)
{
    Json json = Json::object();
    for (const auto &[name, counts] : map) {
        json[name] = encodeCounts(counts);
    }
    return json;
}

std::map<std::string, AnswerCounts> decodeCountMap(const Json &json, ItemFaults &faults)
{
    std::map<std::string, AnswerCounts> map;
    decodeMembers(json, faults, [&map](std::string name, const Json &counts) { map.insert_or_assign(std::move(name), decodeCounts(counts)); });
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

std::vector<SessionPin> decodePins(const Json &json, ItemFaults &faults)
{
    std::vector<SessionPin> pins;
    decodeItems(json, faults, [&pins](const Json &pin) { pins.push_back({readHash(pin.at(0)), readName(pin.at(1)), readMilliseconds(pin.at(2))}); });
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

TrialReport decodeTrial(const Json &json, ItemFaults &faults)
{
    TrialReport trial;
    trial.service = readName(json.at(0));
    trial.target = readName(json.at(1));
    trial.state =
        static_cast<RolloutState>(readInteger(json.at(2), static_cast<std::int64_t>(RolloutState::Ordered), static_cast<std::int64_t>(RolloutState::Reverted)));
    trial.age = readMilliseconds(json.at(3));
    trial.isBad = json.at(4).get<bool>();
    trial.observations.candidateByRoute = decodeCountMap(json.at(5), faults);
    trial.observations.candidateByEndpoint = decodeCountMap(json.at(6), faults);
    trial.observations.stableByRoute = decodeCountMap(json.at(7), faults);
    trial.sessions = decodePins(json.at(8), faults);
    trial.isAccepted = json.at(9).get<bool>();
    return trial;
}

Json encodeObservations(const ObservationSum &observations)
{
    return Json::array({std::llround(observations.sum * observationUnits), std::llround(observations.weight * observationUnits)});
}

ObservationSum decodeObservations(const Json &json)
{
    return {readObservation(json.at(0)) / observationUnits, readObservation(json.at(1)) / observationUnits};
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
                                            std::llround(usage.failures.sum * observationUnits),
                                            std::llround(usage.relativeTimes.weight * relativeTimeUnits),
                                            std::llround(usage.relativeTimes.sum * relativeTimeUnits)};
        while (fields.back() == 0 && fields.size() > 1) {
            fields.pop_back();
        }
        endpoints.push_back(std::move(fields));
    }
    return endpoints;
}

EndpointUsageMap decodeEndpoints(const Json &json, ItemFaults &faults)
{
    EndpointUsageMap usages;
    decodeItems(json, faults, [&usages](const Json &fields) {
        const auto field = [&fields](std::size_t index, std::int64_t most) { return index < fields.size() ? readInteger(fields.at(index), 0, most) : 0; };
        EndpointUsage usage;
        usage.running = static_cast<int>(field(1, maxRunning));
        usage.pendingPromptTime = std::chrono::milliseconds(field(2, maxMilliseconds));
        if (field(3, maxMilliseconds) > 0) {
            usage.sinceOutput = std::chrono::milliseconds(field(3, maxMilliseconds) - 1);
        }
        usage.failures = {static_cast<double>(field(5, maxCount)) / observationUnits, static_cast<double>(field(4, maxCount)) / observationUnits};
        usage.relativeTimes = {static_cast<double>(field(7, maxCount)) / relativeTimeUnits, static_cast<double>(field(6, maxCount)) / relativeTimeUnits};
        usages.insert_or_assign(readKey(fields.at(0)), usage);
    });
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

ServiceStatisticsMap decodeStatistics(const Json &json, ItemFaults &faults)
{
    ServiceStatisticsMap statistics;
    decodeMembers(json, faults, [&statistics](std::string service, const Json &fields) {
        const RetryUse retries {readCount(fields.at(2)), readCount(fields.at(3))};
        statistics.insert_or_assign(std::move(service), ServiceStatistics {decodeObservations(fields.at(0)), decodeObservations(fields.at(1)), retries});
    });
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

CachePlacements decodePlacements(const Json &json, ItemFaults &faults)
{
    CachePlacements placements;
    decodeItems(json, faults, [&placements](const Json &list) {
        std::vector<CachedPart> parts;
        for (std::size_t i = 1; i < list.size(); i += 2) {
            parts.push_back({readHash(list.at(i)), readCount(list.at(i + 1))});
        }
        placements.insert_or_assign(readKey(list.at(0)), std::move(parts));
    });
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

std::vector<LeavingEndpoint> decodeLeaving(const Json &json, ItemFaults &faults)
{
    std::vector<LeavingEndpoint> leaving;
    decodeItems(json, faults, [&leaving](const Json &endpoint) { leaving.push_back({readName(endpoint.at(0)), readIncarnation(endpoint.at(1))}); });
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

std::vector<TrialReport> decodeTrials(const Json &json, ItemFaults &faults)
{
    std::vector<TrialReport> trials;
    decodeItems(json, faults, [&](const Json &trial) { trials.push_back(decodeTrial(trial, faults)); });
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

std::vector<PromptPartEvidence> decodePromptEvidence(const Json &json, ItemFaults &faults)
{
    std::vector<PromptPartEvidence> evidence;
    decodeItems(json, faults, [&](const Json &fields) {
        PromptPartEvidence entry;
        entry.part = readHash(fields.at(0));
        decodeItems(fields.at(1), faults, [&entry](const Json &crash) {
            entry.crashes.push_back({readHash(crash.at(0)), readHash(crash.at(1)), readMilliseconds(crash.at(2))});
        });
        const Duration sinceOutput = readMilliseconds(fields.at(2));
        if (sinceOutput > Duration::zero()) {
            entry.sinceOutput = sinceOutput - std::chrono::milliseconds(1);
        }
        entry.haveOthersOutput = fields.at(3).get<bool>();
        evidence.push_back(std::move(entry));
    });
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
std::vector<EndpointLimitReport> decodeLimits(const Json &message, std::size_t field, ItemFaults &faults)
{
    std::vector<EndpointLimitReport> limits;
    if (message.size() <= field) {
        return limits;
    }
    decodeItems(message.at(field), faults, [&limits](const Json &fields) {
        EndpointLimitReport limit {readName(fields.at(0)), readIncarnation(fields.at(1)), std::nullopt, Duration::zero()};
        const double rate = readObservation(fields.at(2));
        if (rate >= 0) {
            limit.requestsPerSecond = rate;
        }
        limit.age = std::max(Duration::zero(), readMilliseconds(fields.at(3)));
        limits.push_back(std::move(limit));
    });
    return limits;
}

Json encodeMember(const FleetMember &member)
{
    return Json::array({member.instance, member.address, member.capacity, member.failureDomain});
}

FleetMember decodeMember(const Json &json)
{
    return {readName(json.at(0)), readName(json.at(1)), static_cast<int>(readInteger(json.at(2), 0, maxCapacity)), readName(json.at(3))};
}

bool hasAddress(const FleetMember &member)
{
    return parseHttpAddress(member.address).port != 0;
}

MemberSighting decodeSighting(const Json &json)
{
    MemberSighting sighting {decodeMember(json.at(0)), readMilliseconds(json.at(1))};
    if (!hasAddress(sighting.member)) {
        throw std::invalid_argument("the address of a member is not an IP address and a port");
    }
    return sighting;
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
    this->relativeTimes += other.relativeTimes;
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
        ItemFaults &faults = report.faults;
        report.sender = decodeMember(json.at(0));
        if (!hasAddress(report.sender)) {
            ++faults[ItemFault::InvalidValue];
            report.sender.address.clear();
        }
        report.wantsSummary = json.at(1).get<bool>();
        report.fleetHash = readHash(json.at(2));
        report.configuration = readVersion(json.at(3));
        report.endpoints = decodeEndpoints(json.at(4), faults);
        report.statistics = decodeStatistics(json.at(5), faults);
        report.placements = decodePlacements(json.at(6), faults);
        report.leaving = decodeLeaving(json.at(7), faults);
        report.trials = decodeTrials(json.at(8), faults);
        report.promptEvidence = decodePromptEvidence(json.at(9), faults);
        report.limits = decodeLimits(json, 10, faults);
        return report;
    });
}

ErrorOr<PeerSummary> decodePeerSummary(std::string_view bytes)
{
    return decodeMessage<PeerSummary>(bytes, [](const Json &json) {
        PeerSummary summary;
        ItemFaults &faults = summary.faults;
        summary.failureDomain = readName(json.at(0));
        summary.memberCount = readCount(json.at(1));
        decodeItems(json.at(2), faults, [&summary](const Json &sighting) { summary.members.push_back(decodeSighting(sighting)); });
        summary.listsAllMembers = json.at(3).get<bool>();
        summary.oldestUnlisted = readMilliseconds(json.at(4));
        summary.configuration = readVersion(json.at(5));
        summary.configurationHolder = readName(json.at(6));
        summary.endpoints = decodeEndpoints(json.at(7), faults);
        summary.statistics = decodeStatistics(json.at(8), faults);
        summary.placements = decodePlacements(json.at(9), faults);
        summary.leaving = decodeLeaving(json.at(10), faults);
        summary.trials = decodeTrials(json.at(11), faults);
        summary.promptEvidence = decodePromptEvidence(json.at(12), faults);
        summary.limits = decodeLimits(json, 13, faults);
        return summary;
    });
}

} // namespace Godwitfork
