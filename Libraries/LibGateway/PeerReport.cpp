#include "LibGateway/PeerReport.h"

#include "LibPeer/PeerMessage.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace
{
using Json = nlohmann::json;

/// The report itself nests five levels deep.
constexpr int maxDepth = 8;

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

Json encodeTrial(const TrialReport &trial)
{
    return Json::array({trial.service,
                        trial.target,
                        static_cast<int>(trial.state),
                        toMilliseconds(trial.age),
                        trial.isBad,
                        encodeCountMap(trial.observations.candidateByRoute),
                        encodeCountMap(trial.observations.candidateByEndpoint),
                        encodeCounts(trial.observations.stable)});
}

TrialReport decodeTrial(const Json &json)
{
    TrialReport trial;
    trial.service = json.at(0).get<std::string>();
    trial.target = json.at(1).get<std::string>();
    const int state = json.at(2).get<int>();
    if (state < static_cast<int>(RolloutState::Ordered) || state > static_cast<int>(RolloutState::Reverted)) {
        throw std::out_of_range("the state of a roll-out is not known");
    }
    trial.state = static_cast<RolloutState>(state);
    trial.age = std::chrono::milliseconds(json.at(3).get<std::int64_t>());
    trial.isBad = json.at(4).get<bool>();
    trial.observations.candidateByRoute = decodeCountMap(json.at(5));
    trial.observations.candidateByEndpoint = decodeCountMap(json.at(6));
    trial.observations.stable = decodeCounts(json.at(7));
    return trial;
}
} // namespace

std::string encodePeerReport(const PeerReport &report)
{
    Json endpoints = Json::object();
    for (const auto &[id, use] : report.endpoints) {
        endpoints[id] = Json::array({use.running, toMilliseconds(use.pendingPrompts)});
    }
    Json leaving = Json::array();
    for (const LeavingEndpoint &endpoint : report.leaving) {
        leaving.push_back(Json::array({endpoint.id, endpoint.incarnation}));
    }
    Json trials = Json::array();
    for (const TrialReport &trial : report.trials) {
        trials.push_back(encodeTrial(trial));
    }
    const Json json = Json::array({report.instance, report.address, report.known, report.configuration, endpoints, leaving, trials});
    std::string bytes;
    Json::to_cbor(json, bytes);
    return bytes;
}

ErrorOr<PeerReport> decodePeerReport(std::string_view bytes)
{
    if (!isCborWithinDepth(bytes, maxDepth)) {
        return Error {"malformed_report", "the report is not CBOR or nests too deep"};
    }
    try {
        const Json json = Json::from_cbor(bytes);
        PeerReport report;
        report.instance = json.at(0).get<std::string>();
        report.address = json.at(1).get<std::string>();
        report.known = json.at(2).get<std::vector<std::string>>();
        report.configuration = json.at(3).get<ConfigurationVersion>();
        for (const auto &[id, use] : json.at(4).items()) {
            report.endpoints[id] = {use.at(0).get<int>(), std::chrono::milliseconds(use.at(1).get<std::int64_t>())};
        }
        for (const Json &endpoint : json.at(5)) {
            report.leaving.push_back({endpoint.at(0).get<std::string>(), endpoint.at(1).get<std::int64_t>()});
        }
        for (const Json &trial : json.at(6)) {
            report.trials.push_back(decodeTrial(trial));
        }
        return report;
    } catch (const std::exception &error) {
        return Error {"malformed_report", error.what()};
    }
}

} // namespace Godwitfork
