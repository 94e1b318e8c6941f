#pragma once

#include "LibCore/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// How a request's connection looked to its client when the request ended.
enum class AnswerEnd { Complete, Closed, Reset, GivenUp };
const char *answerEndName(AnswerEnd end);

/// One request as its client and the endpoints saw it.
struct RequestRecord {
    std::string id;
    int instance = 0;
    std::string route;
    /// Whether an earlier request of the connection had been answered.
    bool isKept = false;
    /// The smaller of the client's limit and the route's.
    Duration limit {};
    /// When the last byte was sent.
    MonotonicTime sent;
    MonotonicTime ended;
    AnswerEnd end = AnswerEnd::Complete;
    std::size_t receivedBytes = 0;
    /// When the first endpoint had read it, if any had.
    std::optional<MonotonicTime> passedOn;
    /// When an endpoint worked on it last.
    MonotonicTime lastWork;
    /// Whether the last endpoint that had it broke off by itself.
    bool isBrokenOff = false;
    /// What the endpoints did, for people.
    std::vector<std::string> notes;
};

enum class WorkKind { Stop, Reload, Configuration };
const char *workName(WorkKind kind);

/// Planned work on one instance, or on all where `instance` is negative.
struct PlannedWork {
    WorkKind kind = WorkKind::Stop;
    int instance = 0;
    MonotonicTime at;
};

/// A kill, a freeze or a disturbed link of one instance.
struct Disruption {
    int instance = 0;
    MonotonicTime from;
    MonotonicTime until;
};

struct LossBounds {
    /// Time without disruption before a request for it to count.
    Duration contact = std::chrono::seconds(3);
    /// A connection that closes sooner after a request's last byte may have crossed it.
    Duration slack = std::chrono::milliseconds(200);
    Duration stopLimit = std::chrono::seconds(8);
    Duration configurationLimit = std::chrono::seconds(2);
};

struct Loss {
    RequestRecord request;
    PlannedWork work;
};

/// Requests that ended without a complete answer around planned work and without an excuse.
std::vector<Loss> findLost(const std::vector<RequestRecord> &records,
                           const std::vector<PlannedWork> &works,
                           const std::vector<Disruption> &disruptions,
                           const LossBounds &bounds);

/// Requests of kept connections that were passed on and whose connection closed without any answer, at any time. Up to three of a run are allowed.
std::vector<RequestRecord> findUnanswered(const std::vector<RequestRecord> &records, const std::vector<Disruption> &disruptions, const LossBounds &bounds);

/// One line with the times of the loss, relative to its planned work.
std::string describe(const Loss &loss);

} // namespace Godwitfork
