#include "LibCascade/EstimateExchange.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace Godwitfork
{

namespace
{
using Json = nlohmann::json;

std::uint64_t foldedThrough(const EstimateState &state, const std::string &instance)
{
    const auto entry = state.foldedThrough.find(instance);
    return entry == state.foldedThrough.end() ? 0 : entry->second;
}

bool isFolded(const EstimateState &state, const SegmentId &id)
{
    return id.number <= foldedThrough(state, id.instance);
}

void dropFoldedSegments(EstimateState &state)
{
    std::erase_if(state.segments, [&state](const auto &entry) { return isFolded(state, entry.first); });
}
} // namespace

void merge(EstimateState &state, const EstimateState &received)
{
    if (received.epoch > state.epoch) {
        state.epoch = received.epoch;
        state.foldedThrough = received.foldedThrough;
        state.base = received.base;
    }
    for (const auto &[id, segment] : received.segments) {
        Segment &current = state.segments[id];
        if (segment.sequence > current.sequence) {
            current = segment;
        }
    }
    dropFoldedSegments(state);
}

EstimateState fold(const EstimateState &state, const std::set<std::string> &dead)
{
    EstimateState folded = state;
    ++folded.epoch;
    // The map is ordered by instance and number, so each segment is visited after its predecessor.
    for (const auto &[id, segment] : state.segments) {
        const bool follows = id.number == foldedThrough(folded, id.instance) + 1;
        const bool isDead = dead.contains(id.instance);
        // A gap may be a segment that is still in transit. Segments of a dead instance are folded despite gaps, because no instance is
        // known to hold the missing ones.
        if ((follows && segment.closed) || isDead) {
            addTo(folded.base, segment.sums);
            folded.foldedThrough[id.instance] = id.number;
        }
    }
    dropFoldedSegments(folded);
    return folded;
}

EstimateSums totalsOf(const EstimateState &state)
{
    EstimateSums totals = state.base;
    for (const auto &entry : state.segments) {
        addTo(totals, entry.second.sums);
    }
    return totals;
}

std::string toStoredJson(const EstimateState &state)
{
    Json base = Json::array();
    for (const auto &[key, sums] : state.base) {
        base.push_back({key.account, key.taskClass, key.version, key.signalVersion, key.bin, sums.answers, sums.ratings, sums.ratingMillionths});
    }
    const Json object = {{"epoch", state.epoch}, {"folded_through", state.foldedThrough}, {"base", std::move(base)}};
    return object.dump();
}

ErrorOr<EstimateState> fromStoredJson(std::string_view text)
{
    try {
        const Json object = Json::parse(text);
        EstimateState state;
        object.at("epoch").get_to(state.epoch);
        object.at("folded_through").get_to(state.foldedThrough);
        for (const Json &row : object.at("base")) {
            EstimateKey key {row.at(0), row.at(1), row.at(2), row.at(3), row.at(4)};
            state.base[std::move(key)] = {row.at(5), row.at(6), row.at(7)};
        }
        return state;
    } catch (const Json::exception &error) {
        return Error {"invalid_estimates", error.what()};
    }
}

} // namespace Godwitfork
