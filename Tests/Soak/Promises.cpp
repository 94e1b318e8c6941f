#include "Promises.h"

namespace Godwitfork
{

void Promises::ran(const std::string &id, bool mayRepeat)
{
    ++this->runs[id];
    if (!mayRepeat) {
        this->onceOnly.insert(id);
    }
}

void Promises::answered(const std::string &id, int status, const std::string &body, const std::string &expected)
{
    ++this->totalCount;
    switch (status) {
    case 200:
        ++this->servedCount;
        if (body != expected) {
            this->findings.push_back(id + ": the answer is not the endpoint's: '" + body.substr(0, 200) + "'");
        }
        break;
    case 408:
    case 421:
    case 429:
    case 503:
        this->refused.insert(id);
        break;
    case 401:
    case 403:
    case 404:
        this->findings.push_back(id + ": denied with " + std::to_string(status));
        break;
    default:
        break;
    }
}

void Promises::lost()
{
    ++this->totalCount;
}

std::vector<std::string> Promises::broken() const
{
    std::vector<std::string> result = this->findings;
    for (const std::string &id : this->onceOnly) {
        if (this->runs.at(id) > 1) {
            result.push_back(id + ": ran " + std::to_string(this->runs.at(id)) + " times");
        }
        if (this->refused.contains(id)) {
            result.push_back(id + ": refused as not run, and ran");
        }
    }
    return result;
}

int Promises::served() const
{
    return this->servedCount;
}

int Promises::total() const
{
    return this->totalCount;
}

} // namespace Godwitfork
