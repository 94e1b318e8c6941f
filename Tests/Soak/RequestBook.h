#pragma once

#include "EvacuationRules.h"
#include "LossRules.h"
#include "Promises.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Joins what clients and endpoints saw of each request.
class RequestBook
{
public:
    /// An endpoint has read the request and works on it.
    void arrived(const std::string &id, const std::string &endpoint, const std::string &manner, bool mayRepeat);
    /// The endpoint's run ended; `isBrokenOff` if the endpoint did it by itself.
    void left(const std::string &id, const std::string &endpoint, const std::string &how, bool isBrokenOff);
    /// The request ended at its client.
    void ended(RequestRecord record);

    /// The request got a complete answer with this status and body; `expected` is the endpoint's whole body.
    void answered(const std::string &id, int status, const std::string &body, const std::string &expected);
    /// Promises about answers and runs that were broken, one text each.
    std::vector<std::string> broken() const;
    /// Requests that got an endpoint's answer with status 200.
    int served() const;

    /// Requests that endpoints have read, without the failure domains of the endpoints.
    const std::vector<Arrival> &arrivals() const;

    /// All requests that ended at their clients, with what the endpoints saw.
    std::vector<RequestRecord> records() const;

private:
    struct Runs {
        MonotonicTime first;
        /// When the last run ended; none while an endpoint works on it.
        std::optional<MonotonicTime> left;
        bool isBrokenOff = false;
        std::vector<std::pair<MonotonicTime, std::string>> notes;
    };

    std::map<std::string, Runs> runs;
    std::vector<RequestRecord> ends;
    std::vector<Arrival> reads;
    Promises promises;
};

} // namespace Godwitfork
