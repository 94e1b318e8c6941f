#pragma once

#include "LibHttp/HttpClient.h"

#include <memory>
#include <set>

namespace Godwitfork
{

/// State of a request in progress that other code than its own changes: the callback that runs when the caller disconnects, and the
/// stop of the process.
struct CallerConnection {
    bool gone = false;
    /// Whether an answer to the caller has begun.
    bool hasAnswer = false;
    /// Whether the request was ended because the process stops.
    bool interrupted = false;
    std::shared_ptr<HttpCallCanceller> canceller;
};

/// Requests in progress of one entry process. Not thread-safe.
class RequestsInProgress
{
public:
    /// Adds a request, which counts as in progress until the result's last copy is gone.
    std::shared_ptr<CallerConnection> add();
    int count() const;
    /// Cancels the attempts of all requests whose answer has not begun, or of all others as well, and returns their number.
    int interrupt(bool isWithAnswer);

private:
    /// Shared with the requests, which may outlive this object.
    std::shared_ptr<std::set<CallerConnection *>> requests = std::make_shared<std::set<CallerConnection *>>();
};

} // namespace Godwitfork
