#include "LibGateway/PromptQuarantine.h"

#include "LibCore/Digest.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace Godwitfork
{

namespace
{
/// Endpoints that must be lost before a part is quarantined. Sound requests also lose fewer by chance.
constexpr int minCrashes = 3;
/// Endpoints lost from which a request with the part is not attempted again.
constexpr int minSuspectCrashes = 2;
/// Time after which the outputs of all instances are known, with a margin: two report intervals and one exchange between failure domains.
constexpr Duration exchangeTime = std::chrono::milliseconds(1500);
/// Time of a quarantine after crashes of two prompts.
constexpr Duration firstQuarantine = std::chrono::seconds(10);
constexpr std::size_t minPrompts = 2;
/// Limit on doublings of the time of a quarantine.
constexpr std::size_t maxDoublings = 6;
/// Divides the time of a quarantine while two parts have the same crashes, since the sound one is to be found.
constexpr int ambiguityDivisor = 4;
/// Time by which each instance follows the one before with a trial of a quarantined part, so that the first one's result is known.
constexpr Duration trialDelay = std::chrono::seconds(5);
/// Time within which a trial shows whether the part still crashes endpoints.
constexpr Duration trialTime = std::chrono::seconds(10);
/// Time for which outputs are remembered.
constexpr Duration outputMemory = std::chrono::seconds(60);
/// Time for which crashes are remembered; longer than the longest quarantine.
constexpr Duration crashMemory = std::chrono::minutes(15);
/// Time for which a part that other instances suspect stays in reports, so that they learn of this instance's output.
constexpr Duration mentionTime = std::chrono::seconds(5);
constexpr Duration pruneInterval = std::chrono::seconds(1);
/// Bounds on memory and on the size of a report.
constexpr std::size_t maxSuspects = 1024;
constexpr std::size_t maxReportedParts = 32;
constexpr std::size_t maxCrashesOfPart = 12;

std::vector<std::uint64_t> partHashes(const std::vector<PromptPart> &parts)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(parts.size());
    for (const PromptPart &part : parts) {
        hashes.push_back(hash64(part.id));
    }
    return hashes;
}
} // namespace

CrashKey crashKey(const std::string &endpoint, std::int64_t incarnation)
{
    return hash64(std::to_string(incarnation), hash64(endpoint));
}

void addEvidence(std::vector<PromptPartEvidence> &total, const std::vector<PromptPartEvidence> &added, Duration age)
{
    for (const PromptPartEvidence &evidence : added) {
        auto known = std::find_if(total.begin(), total.end(), [&](const PromptPartEvidence &entry) { return entry.part == evidence.part; });
        if (known == total.end()) {
            total.push_back({evidence.part, {}, std::nullopt, false});
            known = total.end() - 1;
        }
        for (const EndpointCrash &crash : evidence.crashes) {
            const auto same =
                std::find_if(known->crashes.begin(), known->crashes.end(), [&](const EndpointCrash &entry) { return entry.endpoint == crash.endpoint; });
            if (same == known->crashes.end()) {
                known->crashes.push_back({crash.endpoint, crash.prompt, crash.age + age});
            } else {
                same->age = std::max(same->age, crash.age + age);
            }
        }
        if (evidence.sinceOutput) {
            known->sinceOutput = std::min(known->sinceOutput.value_or(Duration::max()), *evidence.sinceOutput + age);
        }
        known->haveOthersOutput = known->haveOthersOutput || evidence.haveOthersOutput;
    }
}

void PromptQuarantine::recordCrash(const std::vector<PromptPart> &parts, CrashKey endpoint, MonotonicTime now)
{
    const std::vector<std::uint64_t> hashes = partHashes(parts);
    for (const std::uint64_t part : hashes) {
        Suspect &suspect = this->suspectFor(part);
        suspect.lastMentioned = now;
        this->crashCount += suspect.crashes.emplace(endpoint, Crash {hashes.back(), now}).second ? 1 : 0;
    }
}

void PromptQuarantine::recordOutput(const std::vector<PromptPart> &parts, MonotonicTime now)
{
    const std::vector<std::uint64_t> hashes = partHashes(parts);
    for (const std::uint64_t part : hashes) {
        this->outputs[part] = now;
    }
    for (auto &[part, suspect] : this->suspects) {
        if (std::find(hashes.begin(), hashes.end(), part) == hashes.end()) {
            suspect.lastOtherOutput = now;
        } else {
            this->clearIfSound(part, suspect);
        }
    }
}

void PromptQuarantine::merge(const std::vector<PromptPartEvidence> &evidence, MonotonicTime now)
{
    for (const PromptPartEvidence &entry : evidence) {
        if (!this->suspects.contains(entry.part) && entry.crashes.empty()) {
            continue;
        }
        Suspect &suspect = this->suspectFor(entry.part);
        if (!entry.crashes.empty()) {
            suspect.lastMentioned = now;
        }
        for (const EndpointCrash &crash : entry.crashes) {
            const auto known = suspect.crashes.emplace(crash.endpoint, Crash {crash.prompt, now - crash.age}).first;
            known->second.time = std::min(known->second.time, now - crash.age);
        }
        if (entry.sinceOutput) {
            suspect.lastPeerOutput = std::max(suspect.lastPeerOutput, now - *entry.sinceOutput);
        }
        if (entry.haveOthersOutput) {
            suspect.lastOtherOutput = now;
        }
        this->clearIfSound(entry.part, suspect);
    }
}

std::vector<PromptPartEvidence> PromptQuarantine::report(MonotonicTime now) const
{
    std::vector<std::tuple<std::size_t, MonotonicTime, PromptPartEvidence>> entries;
    for (const auto &[part, suspect] : this->suspects) {
        if (suspect.crashes.empty() && now - suspect.lastMentioned > mentionTime) {
            continue;
        }
        PromptPartEvidence evidence {part, {}, std::nullopt, false};
        for (const auto &[endpoint, crash] : suspect.crashes) {
            evidence.crashes.push_back({endpoint, crash.prompt, now - crash.time});
        }
        const auto output = this->outputs.find(part);
        if (output != this->outputs.end()) {
            evidence.sinceOutput = now - output->second;
        }
        evidence.haveOthersOutput = !suspect.crashes.empty() && suspect.lastOtherOutput > firstCrash(suspect);
        entries.emplace_back(suspect.crashes.size(), suspect.lastMentioned, std::move(evidence));
    }
    std::sort(entries.begin(), entries.end(), std::greater<>());
    entries.resize(std::min(entries.size(), maxReportedParts));
    std::vector<PromptPartEvidence> report;
    report.reserve(entries.size());
    for (auto &[crashes, time, evidence] : entries) {
        report.push_back(std::move(evidence));
    }
    return report;
}

// When an endpoint crashes, all requests that wait there are lost, each with parts of its own. They must not displace a part with several crashes.
PromptQuarantine::Suspect &PromptQuarantine::suspectFor(std::uint64_t part)
{
    if (!this->suspects.contains(part) && this->suspects.size() >= maxSuspects) {
        const auto weakest = std::min_element(this->suspects.begin(), this->suspects.end(), [](const auto &left, const auto &right) {
            return std::pair(left.second.crashes.size(), left.second.lastMentioned) < std::pair(right.second.crashes.size(), right.second.lastMentioned);
        });
        this->suspects.erase(weakest);
    }
    return this->suspects[part];
}

MonotonicTime PromptQuarantine::lastOutput(std::uint64_t part, const Suspect &suspect) const
{
    const auto own = this->outputs.find(part);
    return own == this->outputs.end() ? suspect.lastPeerOutput : std::max(own->second, suspect.lastPeerOutput);
}

void PromptQuarantine::clearIfSound(std::uint64_t part, Suspect &suspect) const
{
    const MonotonicTime output = this->lastOutput(part, suspect);
    std::erase_if(suspect.crashes, [output](const auto &crash) { return crash.second.time <= output; });
    while (suspect.crashes.size() > maxCrashesOfPart) {
        const MonotonicTime oldest = firstCrash(suspect);
        std::erase_if(suspect.crashes, [oldest](const auto &crash) { return crash.second.time == oldest; });
    }
}

// If the endpoints fail under all requests, the parts of none of them are the cause. A part that has had output until now is probably shared by
// sound requests, whose newest outputs other instances may not have reported yet.
int PromptQuarantine::provenCrashes(std::uint64_t part, const Suspect &suspect, MonotonicTime now) const
{
    if (suspect.crashes.empty() || suspect.lastOtherOutput <= firstCrash(suspect)) {
        return 0;
    }
    const bool hadOutput = this->lastOutput(part, suspect) != MonotonicTime();
    const auto known =
        std::count_if(suspect.crashes.begin(), suspect.crashes.end(), [&](const auto &crash) { return !hadOutput || now - crash.second.time >= exchangeTime; });
    return static_cast<int>(known);
}

// A prompt that is repeated crashes several endpoints by itself; its other parts may be sound.
bool PromptQuarantine::isSingledOut(std::uint64_t part, const Suspect &suspect)
{
    return suspect.crashes.begin()->second.prompt == part || promptCount(suspect) >= minPrompts;
}

std::size_t PromptQuarantine::promptCount(const Suspect &suspect)
{
    std::set<std::uint64_t> prompts;
    for (const auto &[endpoint, crash] : suspect.crashes) {
        prompts.insert(crash.prompt);
    }
    return prompts.size();
}

// Sound parts that came with the faulty one a few times have some of its crashes. Their few other requests may not clear them in time.
bool PromptQuarantine::isCoveredByOther(std::uint64_t part, const Suspect &suspect, Cover cover, MonotonicTime now) const
{
    return std::any_of(this->suspects.begin(), this->suspects.end(), [&](const auto &entry) {
        const Suspect &other = entry.second;
        const bool isLarger = other.crashes.size() > suspect.crashes.size();
        const bool isComparable = cover == Cover::Larger ? isLarger : other.crashes.size() == suspect.crashes.size();
        if (entry.first == part || !isComparable || !this->isProven(entry.first, other, now)) {
            return false;
        }
        const MonotonicTime remembered = firstCrash(other);
        return std::all_of(suspect.crashes.begin(), suspect.crashes.end(), [&](const auto &crash) {
            return crash.second.time < remembered || other.crashes.contains(crash.first);
        });
    });
}

bool PromptQuarantine::isProven(std::uint64_t part, const Suspect &suspect, MonotonicTime now) const
{
    return this->provenCrashes(part, suspect, now) >= minCrashes && isSingledOut(part, suspect);
}

Duration PromptQuarantine::quarantineTime(std::uint64_t part, const Suspect &suspect, MonotonicTime now) const
{
    const std::size_t prompts = promptCount(suspect);
    const std::size_t repeats = prompts < minPrompts ? suspect.crashes.size() - minCrashes : prompts - minPrompts;
    const Duration time = firstQuarantine * (1 << std::min(repeats, maxDoublings));
    const bool isPartOfSeveral = prompts >= minPrompts && this->isCoveredByOther(part, suspect, Cover::Equal, now);
    return (isPartOfSeveral ? time / ambiguityDivisor : time) + trialDelay * this->trialRank;
}

MonotonicTime PromptQuarantine::firstCrash(const Suspect &suspect)
{
    MonotonicTime first = MonotonicTime::max();
    for (const auto &[endpoint, crash] : suspect.crashes) {
        first = std::min(first, crash.time);
    }
    return first;
}

MonotonicTime PromptQuarantine::lastCrash(const Suspect &suspect)
{
    MonotonicTime last;
    for (const auto &[endpoint, crash] : suspect.crashes) {
        last = std::max(last, crash.time);
    }
    return last;
}

std::optional<QuarantinedPart> PromptQuarantine::refusalFor(std::uint64_t part, Suspect &suspect, MonotonicTime now) const
{
    if (!this->isProven(part, suspect, now) || this->isCoveredByOther(part, suspect, Cover::Larger, now)) {
        return std::nullopt;
    }
    const MonotonicTime newest = lastCrash(suspect);
    MonotonicTime end = newest + this->quarantineTime(part, suspect, now);
    if (suspect.trialStartedAt && *suspect.trialStartedAt > newest) {
        end = std::max(end, *suspect.trialStartedAt + trialTime);
    }
    if (now >= end) {
        suspect.trialStartedAt = now;
        return std::nullopt;
    }
    return QuarantinedPart {part, this->provenCrashes(part, suspect, now), now - newest, end - now};
}

std::optional<QuarantinedPart> PromptQuarantine::refusal(const std::vector<PromptPart> &parts, MonotonicTime now)
{
    if (this->suspects.empty()) {
        return std::nullopt;
    }
    for (const std::uint64_t part : partHashes(parts)) {
        const auto known = this->suspects.find(part);
        const auto quarantined = known == this->suspects.end() ? std::nullopt : this->refusalFor(part, known->second, now);
        if (quarantined) {
            return quarantined;
        }
    }
    return std::nullopt;
}

bool PromptQuarantine::isSuspect(const std::vector<PromptPart> &parts, MonotonicTime now) const
{
    const std::vector<std::uint64_t> hashes = partHashes(parts);
    return std::any_of(hashes.begin(), hashes.end(), [&](std::uint64_t part) {
        const auto known = this->suspects.find(part);
        return known != this->suspects.end() && this->provenCrashes(part, known->second, now) >= minSuspectCrashes;
    });
}

std::optional<SuspectedPart> PromptQuarantine::mostSuspect(const std::vector<PromptPart> &parts, MonotonicTime now) const
{
    std::optional<SuspectedPart> most;
    for (const std::uint64_t part : partHashes(parts)) {
        const auto known = this->suspects.find(part);
        const int crashes = known == this->suspects.end() ? 0 : static_cast<int>(known->second.crashes.size());
        if (crashes > (most ? most->crashes : 0)) {
            most = SuspectedPart {part, crashes, this->provenCrashes(part, known->second, now), static_cast<int>(promptCount(known->second))};
        }
    }
    return most;
}

std::uint64_t PromptQuarantine::recordedCrashes() const
{
    return this->crashCount;
}

void PromptQuarantine::setTrialRank(int rank)
{
    this->trialRank = rank;
}

void PromptQuarantine::prune(MonotonicTime now)
{
    if (now < this->nextPrune) {
        return;
    }
    this->nextPrune = now + pruneInterval;
    std::erase_if(this->outputs, [now](const auto &output) { return now - output.second > outputMemory; });
    for (auto &[part, suspect] : this->suspects) {
        const Duration memory = suspect.crashes.size() < minSuspectCrashes ? outputMemory : crashMemory;
        std::erase_if(suspect.crashes, [now, memory](const auto &crash) { return now - crash.second.time > memory; });
    }
    std::erase_if(this->suspects, [now](const auto &entry) { return entry.second.crashes.empty() && now - entry.second.lastMentioned > outputMemory; });
}

} // namespace Godwitfork
