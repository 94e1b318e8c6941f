#pragma once

#include "LibCore/Time.h"

#include <memory>
#include <string>

namespace Godwitfork
{

/// Metrics of one router process, exported in the Prometheus text format. Thread-safe.
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void countRequest(const std::string &route, const std::string &code);
    void observeFirstByte(Duration elapsed);
    void observeCompletion(Duration elapsed);
    void setRevision(double revision);
    std::string toText() const;

private:
    struct State;
    std::unique_ptr<State> state;
};

} // namespace Godwitfork
