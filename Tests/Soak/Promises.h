#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

/// What callers and endpoints saw of each request, and the promises that it must fulfil.
class Promises
{
public:
    void ran(const std::string &id, bool mayRepeat);
    /// A caller got an answer; `body` is complete.
    void answered(const std::string &id, int status, const std::string &body, const std::string &expected);
    void lost();
    /// Broken promises, one text each; complete once all requests have ended.
    std::vector<std::string> broken() const;
    int served() const;
    int total() const;

private:
    std::map<std::string, int> runs;
    std::set<std::string> onceOnly;
    std::set<std::string> refused;
    std::vector<std::string> findings;
    int servedCount = 0;
    int totalCount = 0;
};

} // namespace Godwitfork
