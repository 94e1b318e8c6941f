#pragma once

#include "LibChecker/Checker.h"
#include "LibCore/Time.h"
#include "Schedule.h"

#include <string>
#include <string_view>
#include <vector>

namespace Godwitfork
{

/// Result of one request. Latencies count from the intended send time, so that a tool or a target that falls behind does
/// not hide waiting time.
struct RequestResult {
    CallerRecord caller;
    std::size_t variant = 0;
    int repetition = 0;
    PlannedRequest planned;
    /// HTTP status; 0 if no response head arrived.
    int status = 0;
    /// `ok`, the error's stable code, or `connect`, `timeout`, `connection_lost`, `malformed_response`, `truncated`.
    std::string code;
    /// How late the request was sent.
    Duration sendDelay = {};
    /// Time to the first byte of the body; negative if there was none.
    Duration firstByte = Duration(-1);
    Duration end = {};
    /// Times between the tokens of a streamed response.
    std::vector<Duration> tokenGaps;
};

/// Body of the chat request for a planned request.
std::string chatRequestBody(const PlannedRequest &planned, const std::string &model);

/// Collects the parts of one response, whole or streamed.
class ResponseReader
{
public:
    explicit ResponseReader(RequestResult &result);

    /// Takes the data of one server-sent event. Returns true if it held a token.
    bool takeEvent(const std::string &data);
    /// Takes a whole JSON body and finishes.
    void takeBody(const std::string &body);
    /// Finishes a streamed response after its last byte.
    void finishStream();

private:
    void takeError(const std::string &code, const std::string &ran, const std::string &requestId);
    void readMarks();

    RequestResult &result;
    std::string text;
    bool hasEndEvent = false;
    bool hasError = false;
};

} // namespace Godwitfork
