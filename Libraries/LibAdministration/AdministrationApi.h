#pragma once

#include "LibAdministration/AdministrationMessages.h"
#include "LibHttp/HttpServer.h"

#include <functional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// Functions that the administration API calls in the process that serves it.
struct AdministrationContext {
    ObjectStoreOperations objects;
    /// SHA-256 of every operator key that is valid at the time of the call.
    std::function<std::vector<std::string>()> operatorKeyHashes;
    /// State of this instance, followed by the other known instances.
    std::function<std::vector<InstanceState>()> instances;
    std::function<WallTime()> now;
};

/// Identifier of the operator in the history: the first digits of the key's hash, or empty if the key is not valid. Takes
/// the same time for every key.
std::string operatorIdForKey(std::string_view key, const std::vector<std::string> &keyHashes);

/// Administration HTTP API, as in docs/administration-api.md. Served on its own listener, separate from the
/// callers'.
class AdministrationApi
{
public:
    explicit AdministrationApi(AdministrationContext context);

    boost::asio::awaitable<void> handle(HttpExchange &exchange);
    /// Response to a request that the HTTP server rejects before it calls `handle`.
    static HttpResponse refuse(int status, const std::string &code, const std::string &message);

private:
    boost::asio::awaitable<HttpResponse> route(const HttpRequest &request, const std::string &operatorId);
    boost::asio::awaitable<HttpResponse> read(const HttpRequest &request, const std::string &path);
    boost::asio::awaitable<HttpResponse> apply(const HttpRequest &request, const std::string &operatorId);
    boost::asio::awaitable<HttpResponse> changeVersion(const HttpRequest &request, const std::string &operatorId);
    boost::asio::awaitable<HttpResponse> changeEndpoint(const HttpRequest &request, const std::string &operatorId);
    boost::asio::awaitable<HttpResponse> history(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> revision(const std::string &text);
    boost::asio::awaitable<HttpResponse> renderedSite(const HttpRequest &request, const std::string &site);
    boost::asio::awaitable<HttpResponse> status();
    boost::asio::awaitable<HttpResponse> bill(const HttpRequest &request);
    boost::asio::awaitable<HttpResponse> spend();
    ApplyMetadata makeMetadata(std::string token, std::string comment, ObjectVersion basedOn, const std::string &operatorId) const;

    AdministrationContext context;
};

} // namespace Godwitfork
