#include "InstanceList.h"

#include "LibStandIn/StandInProcess.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
const std::string listPath = "/instances";
}

InstanceList::InstanceList(Duration lag) : lag(lag)
{
}

Asio::awaitable<void> InstanceList::handle(HttpExchange &exchange)
{
    const HttpRequest &request = exchange.request();
    const std::string path = targetPath(request.target);
    if (path == listPath && request.method == "GET") {
        co_await exchange.respond(this->laggingList());
    } else if (path.rfind(listPath + "/", 0) == 0) {
        co_await exchange.respond(this->change(request, percentDecode(path.substr(listPath.size() + 1))));
    } else {
        co_await exchange.respond(standInRefusal(404, "not_found", "no such route"));
    }
}

HttpResponse InstanceList::change(const HttpRequest &request, const std::string &address)
{
    const MonotonicTime now = monotonicNow();
    States states = this->versions.empty() ? States {} : this->versions.back().states;
    if (request.method == "DELETE") {
        states.erase(address);
    } else {
        const auto body = nlohmann::json::parse(request.body, nullptr, false);
        const std::string state = body.is_object() ? body.value("state", "") : "";
        if (request.method != "PUT" || (state != "live" && state != "leaving")) {
            return standInRefusal(400, "invalid_state", "the state must be live or leaving");
        }
        states[address] = state;
    }
    this->versions.push_back({now, std::move(states)});
    // The newest version older than the lag is the one that readers see.
    while (this->versions.size() > 1 && now - this->versions[1].at > this->lag) {
        this->versions.pop_front();
    }
    return jsonResponse(200, "{}");
}

HttpResponse InstanceList::laggingList() const
{
    const MonotonicTime visible = monotonicNow() - this->lag;
    nlohmann::json instances = nlohmann::json::array();
    for (auto version = this->versions.rbegin(); version != this->versions.rend(); ++version) {
        if (version->at > visible) {
            continue;
        }
        for (const auto &[address, state] : version->states) {
            instances.push_back({{"address", address}, {"state", state}});
        }
        break;
    }
    return jsonResponse(200, nlohmann::json {{"instances", instances}}.dump());
}

} // namespace Godwitfork
