#pragma once

#include "LibCore/Time.h"
#include "LibHttp/HttpServer.h"

#include <deque>
#include <map>
#include <string>

namespace Godwitfork
{

/// HTTP face of the platform's list of live and leaving instances. `PUT /instances/<address>` with `{"state": "live"}` or
/// `{"state": "leaving"}` and `DELETE /instances/<address>` change the list; `GET /instances` answers with the list as it
/// was one lag ago.
class InstanceList
{
public:
    explicit InstanceList(Duration lag);
    boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    /// State by address.
    using States = std::map<std::string, std::string>;
    struct Version {
        MonotonicTime at;
        States states;
    };

    HttpResponse change(const HttpRequest &request, const std::string &address);
    HttpResponse laggingList() const;

    Duration lag;
    std::deque<Version> versions;
};

} // namespace Godwitfork
