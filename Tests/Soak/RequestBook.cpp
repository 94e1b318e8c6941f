#include "RequestBook.h"

namespace Godwitfork
{

void RequestBook::arrived(const std::string &id, const std::string &endpoint, const std::string &manner, bool mayRepeat)
{
    this->promises.ran(id, mayRepeat);
    const MonotonicTime now = monotonicNow();
    this->reads.push_back({id, endpoint, {}, now});
    Runs &of = this->runs.try_emplace(id, Runs {now, std::nullopt, false, {}}).first->second;
    of.left.reset();
    of.isBrokenOff = false;
    of.notes.emplace_back(now, "at " + endpoint + " (" + manner + ")");
}

void RequestBook::left(const std::string &id, const std::string &endpoint, const std::string &how, bool isBrokenOff)
{
    Runs &of = this->runs.at(id);
    of.left = monotonicNow();
    of.isBrokenOff = isBrokenOff;
    of.notes.emplace_back(*of.left, endpoint + " " + how);
}

void RequestBook::ended(RequestRecord record)
{
    this->ends.push_back(std::move(record));
}

void RequestBook::answered(const std::string &id, int status, const std::string &body, const std::string &expected)
{
    this->promises.answered(id, status, body, expected);
}

std::vector<std::string> RequestBook::broken() const
{
    return this->promises.broken();
}

int RequestBook::served() const
{
    return this->promises.served();
}

const std::vector<Arrival> &RequestBook::arrivals() const
{
    return this->reads;
}

std::vector<RequestRecord> RequestBook::records() const
{
    std::vector<RequestRecord> result = this->ends;
    for (RequestRecord &record : result) {
        const auto found = this->runs.find(record.id);
        if (found == this->runs.end()) {
            continue;
        }
        record.passedOn = found->second.first;
        record.lastWork = std::min(found->second.left.value_or(record.ended), record.ended);
        record.isBrokenOff = found->second.isBrokenOff;
        for (const auto &[at, note] : found->second.notes) {
            record.notes.push_back(note + " " + std::to_string(toMilliseconds(at - record.sent)) + " ms after its last byte");
        }
    }
    return result;
}

} // namespace Godwitfork
