#include "LossRules.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <sstream>

namespace Godwitfork
{

namespace
{
/// After the stop limit, within which a cut still belongs to the stop.
constexpr Duration stopAftermath = std::chrono::seconds(1);
constexpr Duration configurationAftermath = std::chrono::seconds(1);
/// Requests sent later must be answered even if an endpoint works on them until the end of the stop limit.
constexpr Duration lateRequest = std::chrono::seconds(3);
/// A limit counts as reached this much earlier; the instance measures it from its own read and rounds it.
constexpr Duration limitTolerance = std::chrono::milliseconds(100);
constexpr double usedShare = 0.7;
constexpr double moreOften = 3;

bool isLimitReached(const RequestRecord &record)
{
    return record.ended - record.sent >= record.limit - limitTolerance;
}

bool isDisrupted(const RequestRecord &record, const std::vector<Disruption> &disruptions, const LossBounds &bounds)
{
    return std::any_of(disruptions.begin(), disruptions.end(), [&](const Disruption &disruption) {
        return disruption.instance == record.instance && disruption.from <= record.ended && disruption.until >= record.sent - bounds.contact;
    });
}

bool isCut(const RequestRecord &record, const LossBounds &bounds)
{
    const bool isTaken = record.passedOn || record.ended - record.sent > bounds.slack;
    const bool isOpen = record.end == AnswerEnd::Closed || record.end == AnswerEnd::Reset;
    return isOpen && isTaken && !record.isBrokenOff && !isLimitReached(record);
}

MonotonicTime lastMoment(const PlannedWork &work, const LossBounds &bounds)
{
    return work.kind == WorkKind::Stop ? work.at + bounds.stopLimit + stopAftermath : work.at + bounds.configurationLimit + configurationAftermath;
}

bool isAround(const RequestRecord &record, const PlannedWork &work, const LossBounds &bounds)
{
    if ((work.instance >= 0 && work.instance != record.instance) || record.ended < work.at) {
        return false;
    }
    if (work.kind == WorkKind::Reload) {
        return record.sent <= work.at + bounds.configurationLimit;
    }
    return record.ended <= lastMoment(work, bounds);
}

bool isExcused(const RequestRecord &record, const PlannedWork &work, const LossBounds &bounds)
{
    if (work.kind == WorkKind::Configuration) {
        return std::chrono::duration<double>(record.ended - record.sent) >= usedShare * std::chrono::duration<double>(record.limit);
    }
    if (work.kind == WorkKind::Stop) {
        return record.sent <= work.at + lateRequest && record.passedOn && record.lastWork >= work.at + bounds.stopLimit * 5 / 6;
    }
    return false;
}

/// Whether an instance cuts requests clearly more often beside configurations than at other times.
std::map<int, bool> cutsMoreOften(const std::vector<RequestRecord> &records, const std::vector<PlannedWork> &works, const LossBounds &bounds)
{
    struct Counts {
        double cut[2] = {0, 0};
        double all[2] = {0, 0};
    };
    std::map<int, Counts> counts;
    for (const RequestRecord &record : records) {
        const bool isBeside = std::any_of(
            works.begin(), works.end(), [&](const PlannedWork &work) { return work.kind == WorkKind::Configuration && isAround(record, work, bounds); });
        Counts &of = counts[record.instance];
        of.all[isBeside] += 1;
        of.cut[isBeside] += isCut(record, bounds) ? 1 : 0;
    }
    std::map<int, bool> result;
    for (const auto &[instance, of] : counts) {
        result[instance] = of.cut[1] * of.all[0] > moreOften * of.cut[0] * of.all[1];
    }
    return result;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}
} // namespace

const char *answerEndName(AnswerEnd end)
{
    switch (end) {
    case AnswerEnd::Complete:
        return "complete";
    case AnswerEnd::Closed:
        return "closed";
    case AnswerEnd::Reset:
        return "reset";
    case AnswerEnd::GivenUp:
        break;
    }
    return "given up";
}

const char *workName(WorkKind kind)
{
    return kind == WorkKind::Stop ? "SIGTERM" : kind == WorkKind::Reload ? "SIGHUP" : "configuration";
}

std::vector<Loss>
findLost(const std::vector<RequestRecord> &records, const std::vector<PlannedWork> &works, const std::vector<Disruption> &disruptions, const LossBounds &bounds)
{
    const std::map<int, bool> moreOftenBesideConfigurations = cutsMoreOften(records, works, bounds);
    std::vector<Loss> losses;
    for (const RequestRecord &record : records) {
        if (!isCut(record, bounds) || isDisrupted(record, disruptions, bounds)) {
            continue;
        }
        std::vector<PlannedWork> around;
        std::copy_if(works.begin(), works.end(), std::back_inserter(around), [&](const PlannedWork &work) { return isAround(record, work, bounds); });
        const bool isStopExcuse =
            std::any_of(around.begin(), around.end(), [&](const PlannedWork &work) { return work.kind == WorkKind::Stop && isExcused(record, work, bounds); });
        const auto counts = std::find_if(around.begin(), around.end(), [&](const PlannedWork &work) {
            return !isExcused(record, work, bounds) && (work.kind != WorkKind::Configuration || moreOftenBesideConfigurations.at(record.instance));
        });
        if (!isStopExcuse && counts != around.end()) {
            losses.push_back({record, *counts});
        }
    }
    return losses;
}

std::vector<RequestRecord> findUnanswered(const std::vector<RequestRecord> &records, const std::vector<Disruption> &disruptions, const LossBounds &bounds)
{
    std::vector<RequestRecord> result;
    std::copy_if(records.begin(), records.end(), std::back_inserter(result), [&](const RequestRecord &record) {
        return record.isKept && record.passedOn && record.receivedBytes == 0 && isCut(record, bounds) && !isDisrupted(record, disruptions, bounds);
    });
    return result;
}

std::string describe(const Loss &loss)
{
    const RequestRecord &request = loss.request;
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << request.id << " " << request.route << (request.isKept ? " (kept connection)" : " (new connection)")
         << " at instance " << request.instance << ", " << workName(loss.work.kind) << ": sent " << seconds(request.sent - loss.work.at) << " s, ";
    if (request.passedOn) {
        text << "passed on " << seconds(*request.passedOn - loss.work.at) << " s, last work " << seconds(request.lastWork - loss.work.at) << " s, ";
    } else {
        text << "not passed on, ";
    }
    text << answerEndName(request.end) << " " << seconds(request.ended - loss.work.at) << " s with " << request.receivedBytes << " bytes of the answer";
    for (const std::string &note : request.notes) {
        text << "; " << note;
    }
    return text.str();
}

} // namespace Godwitfork
