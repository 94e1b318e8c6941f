#pragma once

#include "LibCore/Time.h"
#include "LibGateway/GatewayRequest.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Godwitfork
{

/// Identifies one incarnation of an endpoint that crashed; see `crashKey`.
using CrashKey = std::uint64_t;

CrashKey crashKey(const std::string &endpoint, std::int64_t incarnation);

/// Loss of an endpoint under a request that had no output yet.
struct EndpointCrash {
    CrashKey endpoint = 0;
    /// Hash of the id of the request's last part, which no other prompt contains.
    std::uint64_t prompt = 0;
    /// Time since the loss.
    Duration age = Duration::zero();

    auto operator<=>(const EndpointCrash &) const = default;
};

/// Evidence on one prompt part, exchanged between instances.
struct PromptPartEvidence {
    /// Hash of the part's id.
    std::uint64_t part = 0;
    std::vector<EndpointCrash> crashes;
    /// Time since the sender last received output for a request with the part; empty if it received none.
    std::optional<Duration> sinceOutput;
    /// Whether requests without the part had output since the first of the crashes.
    bool haveOthersOutput = false;

    auto operator<=>(const PromptPartEvidence &) const = default;
};

/// Adds the evidence of other instances, received `age` ago.
void addEvidence(std::vector<PromptPartEvidence> &total, const std::vector<PromptPartEvidence> &added, Duration age);

/// Prompt part with the most crashes since its last output.
struct SuspectedPart {
    std::uint64_t part = 0;
    /// Crashes of all instances, as far as known.
    int crashes = 0;
    /// Crashes that count against the part.
    int provenCrashes = 0;
    int prompts = 0;

    auto operator<=>(const SuspectedPart &) const = default;
};

/// Prompt part that is refused, with the evidence against it.
struct QuarantinedPart {
    std::uint64_t part = 0;
    int crashes = 0;
    Duration sinceLastCrash = Duration::zero();
    /// Time until one request with the part is tried again.
    Duration remaining = Duration::zero();

    auto operator<=>(const QuarantinedPart &) const = default;
};

/// Finds prompt parts under which endpoints crash, from the requests of all instances, and refuses requests that contain them.
///
/// A part is suspected with each endpoint that is lost before a request with the part has output. Output of any request with the part clears
/// it. A part under which several endpoints crashed in different prompts is quarantined, and so is the last part of a prompt that was repeated.
/// Of parts that came together, the one with the most crashes counts. The time of a quarantine doubles with each further prompt; then one instance tries a
/// request with the part first.
class PromptQuarantine
{
public:
    /// Records that the endpoint was lost before the request had output.
    void recordCrash(const std::vector<PromptPart> &parts, CrashKey endpoint, MonotonicTime now);
    /// Records that an endpoint began to answer the request.
    void recordOutput(const std::vector<PromptPart> &parts, MonotonicTime now);
    /// Merges the evidence of all instances.
    void merge(const std::vector<PromptPartEvidence> &evidence, MonotonicTime now);
    /// Returns the evidence to report to the other instances, the parts with the most crashes first.
    std::vector<PromptPartEvidence> report(MonotonicTime now) const;

    /// Returns the quarantined part for which a new request is refused; empty if the request is admitted. After the time of a quarantine one
    /// request with the part is admitted at a time.
    std::optional<QuarantinedPart> refusal(const std::vector<PromptPart> &parts, MonotonicTime now);
    /// Whether another attempt with this prompt would probably crash another endpoint.
    bool isSuspect(const std::vector<PromptPart> &parts, MonotonicTime now) const;

    /// Returns the part of a prompt with the most crashes; empty if none has any.
    std::optional<SuspectedPart> mostSuspect(const std::vector<PromptPart> &parts, MonotonicTime now) const;
    /// Number of crashes recorded by this instance and not reported by others first; grows with each new one.
    std::uint64_t recordedCrashes() const;
    /// Sets this instance's rank, from 0, among those that try a quarantined part again.
    void setTrialRank(int rank);
    /// Drops old evidence.
    void prune(MonotonicTime now);

private:
    struct Crash {
        std::uint64_t prompt = 0;
        MonotonicTime time;
    };

    struct Suspect {
        /// Crashes since the last output, by endpoint.
        std::map<CrashKey, Crash> crashes;
        MonotonicTime lastPeerOutput;
        /// Time of the last output of a request without the part.
        MonotonicTime lastOtherOutput;
        /// Time of the last report of this part by another instance or of the last crash.
        MonotonicTime lastMentioned;
        /// Time at which this instance last admitted a request with the part after a quarantine.
        std::optional<MonotonicTime> trialStartedAt;
    };

    /// Returns the entry of a part; a new one takes the place of the one with the fewest crashes if there are too many.
    Suspect &suspectFor(std::uint64_t part);
    MonotonicTime lastOutput(std::uint64_t part, const Suspect &suspect) const;
    void clearIfSound(std::uint64_t part, Suspect &suspect) const;
    /// Number of crashes that count against a part, or 0 if the evidence does not single the part out yet.
    int provenCrashes(std::uint64_t part, const Suspect &suspect, MonotonicTime now) const;
    static std::size_t promptCount(const Suspect &suspect);
    /// Whether the crashes came with different prompts, or the part is the only one that belongs to the prompt alone.
    static bool isSingledOut(std::uint64_t part, const Suspect &suspect);
    /// Whether the part is the cause of enough crashes as far as its own evidence shows.
    bool isProven(std::uint64_t part, const Suspect &suspect, MonotonicTime now) const;
    enum class Cover { Equal, Larger };
    /// Whether all crashes came with another proven part that has the same crashes, or further ones.
    bool isCoveredByOther(std::uint64_t part, const Suspect &suspect, Cover cover, MonotonicTime now) const;
    Duration quarantineTime(std::uint64_t part, const Suspect &suspect, MonotonicTime now) const;
    static MonotonicTime firstCrash(const Suspect &suspect);
    static MonotonicTime lastCrash(const Suspect &suspect);
    std::optional<QuarantinedPart> refusalFor(std::uint64_t part, Suspect &suspect, MonotonicTime now) const;

    std::map<std::uint64_t, Suspect> suspects;
    /// Time of the last output of this instance's requests, by part.
    std::unordered_map<std::uint64_t, MonotonicTime> outputs;
    std::uint64_t crashCount = 0;
    int trialRank = 0;
    MonotonicTime nextPrune;
};

} // namespace Godwitfork
