#pragma once

#include "LibEntry/CatalogRelay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Godwitfork
{

using Names = std::set<std::string>;

/// Time within which an evacuation must be in force.
constexpr Duration evacuationLimit = std::chrono::seconds(2);
constexpr Duration storeStep = std::chrono::milliseconds(10);

inline EntrySettings settingsWithEvacuations()
{
    EntrySettings settings;
    settings.evacuationLimit = evacuationLimit;
    return settings;
}

inline boost::asio::awaitable<void> pause(Duration duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

inline HttpResponse refuseConnection(int status, const std::string &, const std::string &)
{
    HttpResponse response;
    response.status = status;
    return response;
}

/// Store with a configuration and evacuations; the lists of the other kinds are empty.
class EvacuationStore
{
public:
    explicit EvacuationStore(boost::asio::io_context &context)
        : server(
            context,
            HttpAddress {"127.0.0.1", 0},
            {},
            [this](HttpExchange &exchange) { return this->serve(exchange); },
            refuseConnection)
    {
        this->server.start();
    }

    HttpAddress address() const
    {
        return this->server.address();
    }

    void evacuate(const std::string &domain)
    {
        this->put(domain, objectText(domain, this->revision + 1, "{}"));
    }

    void put(const std::string &domain, const std::string &object)
    {
        ++this->revision;
        this->objects[domain] = object;
        this->events.push_back({this->revision, R"({"deleted":false,"object":)" + object + "}"});
    }

    void end(const std::string &domain)
    {
        ++this->revision;
        this->objects.erase(domain);
        this->events.push_back({this->revision, R"({"deleted":true,"object":)" + objectText(domain, this->revision, "{}") + "}"});
    }

    /// Forgets the changes so far without telling anyone; watches from before are answered 410.
    void loseHistory()
    {
        ++this->revision;
        this->oldest = this->revision;
        this->events.clear();
    }

    static std::string objectText(const std::string &domain, CatalogRevision revision, const std::string &spec)
    {
        return R"({"metadata":{"name":")" + domain + R"(","revision":)" + std::to_string(revision) + R"(},"spec":)" + spec + "}";
    }

    std::string eventsAfter(CatalogRevision after) const
    {
        std::string text;
        for (const auto &[revision, event] : this->events) {
            text += revision > after ? (text.empty() ? "" : ",") + event : "";
        }
        return R"({"events":[)" + text + R"(],"at":)" + std::to_string(this->revision) + "}";
    }

    CatalogRevision revision = 5;
    std::map<std::string, std::string> objects;
    /// Whether lists of evacuations are accepted without an answer.
    bool isListHeld = false;
    int evacuationCalls = 0;
    int evacuationLists = 0;

private:
    boost::asio::awaitable<void> serve(HttpExchange &exchange)
    {
        const std::string &target = exchange.request().target;
        const bool isEvacuations = target.starts_with("/objects/evacuations");
        this->evacuationCalls += isEvacuations ? 1 : 0;
        const std::string wait = queryValue(target, "waitMs");
        if (wait.empty()) {
            co_await this->serveList(exchange, isEvacuations);
            co_return;
        }
        const CatalogRevision after = std::stoull(queryValue(target, "watch"));
        const MonotonicTime latest = monotonicNow() + std::chrono::milliseconds(std::stoi(wait));
        const auto hasNews = [&] { return isEvacuations && !this->events.empty() && this->events.back().first > after; };
        while (monotonicNow() < latest && !hasNews() && after >= this->oldest) {
            co_await pause(storeStep);
        }
        if (after < this->oldest) {
            HttpResponse response = jsonResponse(410, "{}");
            co_await exchange.respond(std::move(response));
            co_return;
        }
        // The list of events has none of the other kinds.
        HttpResponse response = jsonResponse(200, this->eventsAfter(isEvacuations ? after : this->revision));
        co_await exchange.respond(std::move(response));
    }

    boost::asio::awaitable<void> serveList(HttpExchange &exchange, bool isEvacuations)
    {
        std::string entries;
        if (isEvacuations) {
            ++this->evacuationLists;
            while (this->isListHeld) {
                co_await pause(storeStep);
            }
            for (const auto &[name, object] : this->objects) {
                entries += (entries.empty() ? "" : ",") + object;
            }
        } else if (exchange.request().target.starts_with("/objects/config")) {
            entries = R"({"metadata":{"name":"main","revision":2},"spec":{"version":1,"routes":[]}})";
        }
        HttpResponse response = jsonResponse(200, R"({"entries":[)" + entries + R"(],"hasMore":false,"at":)" + std::to_string(this->revision) + "}");
        co_await exchange.respond(std::move(response));
    }

    HttpServer server;
    CatalogRevision oldest = 0;
    std::vector<std::pair<CatalogRevision, std::string>> events;
};

/// Followers of the store and the relay of one instance.
class RelayedInstance
{
public:
    RelayedInstance(boost::asio::io_context &context,
                    HttpClient &client,
                    HttpAddress store,
                    EntrySettings settings,
                    std::function<std::optional<HttpAddress>()> chooseHub)
        : state(std::move(settings))
        , catalog(client, std::move(store), std::chrono::milliseconds(1500))
        , ownRelay(
              context,
              HttpAddress {"127.0.0.1", 0},
              {},
              [this](HttpExchange &exchange) { return this->relay->serve(exchange); },
              refuseConnection)
    {
        std::vector<CatalogFollower *> relayed;
        for (const CatalogKind kind : this->state.followedKinds()) {
            this->followers.push_back(std::make_unique<CatalogFollower>(context, this->catalog, this->state, kind));
            relayed.push_back(this->followers.back().get());
            boost::asio::co_spawn(
                context, [follower = relayed.back()] { return follower->run(); }, boost::asio::detached);
        }
        this->relay = std::make_unique<CatalogRelay>(context, client, relayed, std::move(chooseHub), [this](const HttpAddress &) { ++this->lostHubs; });
        boost::asio::co_spawn(
            context, [this] { return this->relay->run(); }, boost::asio::detached);
        this->ownRelay.start();
    }

    HttpAddress relayAddress() const
    {
        return this->ownRelay.address();
    }

    const Names &evacuated() const
    {
        return this->state.failureDomains.evacuated;
    }

    EntryState state;
    Platform::CatalogClient catalog;
    int lostHubs = 0;

private:
    HttpServer ownRelay;
    std::vector<std::unique_ptr<CatalogFollower>> followers;
    std::unique_ptr<CatalogRelay> relay;
};

/// A store and an instance that follows a scripted hub.
class EvacuationFixture
{
public:
    explicit EvacuationFixture(HttpHandler hubScript, EntrySettings settings = settingsWithEvacuations())
        : client(this->context)
        , store(this->context)
        , hub(this->context, HttpAddress {"127.0.0.1", 0}, {}, std::move(hubScript), refuseConnection)
        , instance(this->context, this->client, this->store.address(), std::move(settings), [this] {
            return this->hasHub ? std::optional(this->hub.address()) : std::nullopt;
        })
    {
        this->hub.start();
    }

    void run(Duration time)
    {
        this->context.run_for(time);
    }

    /// Returns the time until the instance's evacuated failure domains are the given ones, or `limit` if that takes longer.
    Duration timeUntil(const Names &domains, Duration limit = 2 * evacuationLimit)
    {
        const MonotonicTime start = monotonicNow();
        while (this->instance.evacuated() != domains && monotonicNow() - start < limit) {
            this->run(storeStep);
        }
        return monotonicNow() - start;
    }

    boost::asio::io_context context;
    HttpClient client;
    EvacuationStore store;
    HttpServer hub;
    bool hasHub = true;
    RelayedInstance instance;
};

} // namespace Godwitfork
