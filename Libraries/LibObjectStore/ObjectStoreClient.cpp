#include "LibObjectStore/ObjectStoreClient.h"

#include <nlohmann/json.hpp>

namespace Godwitfork
{

namespace Asio = boost::asio;

namespace
{
/// The store sends a heartbeat each second during a watch; after three missing ones the connection is considered lost.
constexpr Duration heartbeatTimeout = std::chrono::seconds(3);
constexpr char heartbeatByte = '\n';

StoreError toStoreError(const HttpClientError &error)
{
    const bool notSent = error.phase == SendPhase::NotSent;
    return {notSent ? StoreFailure::Unavailable : StoreFailure::Unknown, error.message, 0};
}

StoreError toStoreError(const HttpResponse &response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    StoreError error;
    error.message = "the object store responded with status " + std::to_string(response.status);
    if (body.is_object()) {
        error.message = body.value("message", error.message);
        error.currentVersion = body.value("current_version", ObjectVersion {0});
    }
    switch (response.status) {
    case 404:
        error.failure = StoreFailure::NotFound;
        break;
    case 412:
        error.failure = StoreFailure::Conflict;
        break;
    case 503:
        error.failure = StoreFailure::Unavailable;
        break;
    default:
        error.failure = StoreFailure::Rejected;
    }
    return error;
}

std::string objectTarget(const std::string &name)
{
    return "/v1/objects/" + percentEncode(name);
}

void addCondition(HttpRequest &request, const WriteCondition &condition)
{
    if (condition.kind == WriteConditionKind::CreateOnly) {
        request.headers.push_back({"If-None-Match", "*"});
    } else if (condition.kind == WriteConditionKind::VersionMatches) {
        request.headers.push_back({"If-Match", std::to_string(condition.version)});
    }
}

StoreOutcome<StoredObject> parseObject(const nlohmann::json &json)
{
    if (!json.is_object() || !json.contains("name") || !json.contains("version")) {
        return StoreError {StoreFailure::Rejected, "the response of the object store is not a JSON object with name and version", 0};
    }
    StoredObject object;
    object.name = json.at("name").get<std::string>();
    object.version = json.at("version").get<ObjectVersion>();
    if (json.contains("value")) {
        object.value = json.at("value").dump();
    }
    return object;
}

StoreOutcome<std::vector<StoredObject>> parseObjects(const nlohmann::json &json, const char *key)
{
    std::vector<StoredObject> objects;
    if (!json.is_object() || !json.contains(key) || !json.at(key).is_array()) {
        return StoreError {StoreFailure::Rejected, "the response of the object store has no list of objects", 0};
    }
    for (const auto &entry : json.at(key)) {
        objects.push_back(TRY(parseObject(entry)));
    }
    return objects;
}

StoreOutcome<ObjectVersion> parseVersion(const HttpResponse &response)
{
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    if (!body.is_object() || !body.contains("version")) {
        return StoreError {StoreFailure::Unknown, "the response of the object store has no version", 0};
    }
    return body.at("version").get<ObjectVersion>();
}
} // namespace

WriteCondition createOnly()
{
    return {WriteConditionKind::CreateOnly, 0};
}

WriteCondition ifVersion(ObjectVersion version)
{
    return {WriteConditionKind::VersionMatches, version};
}

ObjectStoreClient::ObjectStoreClient(HttpClient &client, HttpAddress address, Duration timeout) : client(client), address(std::move(address))
{
    this->options.connectTimeout = timeout;
    this->options.responseTimeout = timeout;
    this->options.idleTimeout = timeout;
}

Asio::awaitable<StoreOutcome<HttpResponse>> ObjectStoreClient::call(HttpRequest request)
{
    auto response = co_await this->client.call(this->address, std::move(request), this->options);
    if (!response) {
        co_return toStoreError(response.error());
    }
    if (response.value().status != 200) {
        co_return toStoreError(response.value());
    }
    co_return std::move(response).value();
}

Asio::awaitable<StoreOutcome<StoredObject>> ObjectStoreClient::read(std::string name)
{
    CO_TRY(response, co_await this->call(makeRequest("GET", objectTarget(name))));
    co_return parseObject(nlohmann::json::parse(response.body, nullptr, false));
}

Asio::awaitable<StoreOutcome<ObjectVersion>> ObjectStoreClient::write(std::string name, std::string value, WriteCondition condition)
{
    HttpRequest request = makeRequest("PUT", objectTarget(name), std::move(value));
    addCondition(request, condition);
    CO_TRY(response, co_await this->call(std::move(request)));
    co_return parseVersion(response);
}

Asio::awaitable<StoreOutcome<ObjectVersion>> ObjectStoreClient::remove(std::string name, WriteCondition condition)
{
    HttpRequest request = makeRequest("DELETE", objectTarget(name));
    addCondition(request, condition);
    CO_TRY(response, co_await this->call(std::move(request)));
    co_return parseVersion(response);
}

Asio::awaitable<StoreOutcome<std::vector<StoredObject>>> ObjectStoreClient::list(std::string prefix)
{
    std::vector<StoredObject> objects;
    std::string after;
    while (true) {
        CO_TRY(response, co_await this->call(makeRequest("GET", "/v1/list?prefix=" + percentEncode(prefix) + "&after=" + percentEncode(after))));
        const auto body = nlohmann::json::parse(response.body, nullptr, false);
        CO_TRY(page, parseObjects(body, "objects"));
        objects.insert(objects.end(), page.begin(), page.end());
        after = body.value("next", "");
        if (after.empty()) {
            co_return objects;
        }
    }
}

Asio::awaitable<StoreOutcome<std::vector<StoredObject>>>
ObjectStoreClient::watch(std::string prefix, ObjectVersion after, Duration wait, std::function<void()> onHeartbeat)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    const std::string target =
        "/v1/watch?prefix=" + percentEncode(prefix) + "&after_version=" + std::to_string(after) + "&timeout_ms=" + std::to_string(milliseconds);
    HttpCallOptions watchOptions = this->options;
    watchOptions.idleTimeout = heartbeatTimeout;
    auto stream = co_await this->client.open(this->address, makeRequest("GET", target), watchOptions);
    if (!stream) {
        co_return toStoreError(stream.error());
    }
    std::string body;
    bool onlyHeartbeats = true;
    while (true) {
        auto bytes = co_await stream.value()->readSome();
        if (!bytes) {
            co_return toStoreError(bytes.error());
        }
        if (bytes.value().empty()) {
            break;
        }
        body += bytes.value();
        // Callers count heartbeats, so each heartbeat byte counts once even if several arrive together, and bytes of the
        // response document never count.
        for (const char byte : bytes.value()) {
            onlyHeartbeats = onlyHeartbeats && byte == heartbeatByte;
            if (onlyHeartbeats) {
                onHeartbeat();
            }
        }
    }
    if (stream.value()->status() != 200) {
        co_return toStoreError(HttpResponse {stream.value()->status(), {}, body});
    }
    co_return parseObjects(nlohmann::json::parse(body, nullptr, false), "events");
}

} // namespace Godwitfork
