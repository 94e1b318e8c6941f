#pragma once

#include "LibAdministration/AdministrationMessages.h"
#include "LibHttp/HttpServer.h"

#include <functional>
#include <string>
#include <vector>

namespace Godwitfork
{

/// What the administration API needs from the process that serves it.
struct AdministrationContext {
    ObjectStoreOperations objects;
    /// SHA-256 of every operator key that is valid now.
    std::function<std::vector<std::string>()> operatorKeyHashes;
    /// The instances that this one knows, itself first.
    std::function<std::vector<InstanceState>()> instances;
    std::function<WallTime()> now;
};

/// First digits of the key's hash, which name the operator in the history; empty if the key is not valid. Takes the same
/// time for every key.
std::string operatorOf(std::string_view key, const std::vector<std::string> &keyHashes);

/// Administration HTTP API, as in docs/administration-api.md. It has a listener of its own, apart from the callers'.
class AdministrationApi
{
public:
    explicit AdministrationApi(AdministrationContext context);

    boost::asio::awaitable<void> handle(HttpExchange &exchange);
    /// Answer to a request that the HTTP server refuses before `handle`.
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
    ApplyNote makeNote(std::string token, std::string comment, ObjectVersion basedOn, const std::string &operatorId) const;

    AdministrationContext context;
};

} // namespace Godwitfork
