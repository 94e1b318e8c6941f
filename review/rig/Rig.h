// Stand-ins of the platform (store, replicas, clients) for the review cases, after PROTOCOL.md. Loopback only.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace Rig
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

inline const Clock::time_point programStart = Clock::now();

inline std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts) {
        text += part;
    }
    return text;
}

inline double now()
{
    return std::chrono::duration<double>(Clock::now() - programStart).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

inline void sleepUntil(double time)
{
    sleepFor(time - now());
}

/// Writes record.txt: one line for each thing that was sent, answered or run.
class Record
{
public:
    explicit Record(const std::string &path) : file(path)
    {
    }

    void line(const char *format, ...)
    {
        char text[1024];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        char stamp[32];
        std::snprintf(stamp, sizeof stamp, "%9.3f ", now());
        const std::lock_guard lock(this->mutex);
        this->file << stamp << text << "\n" << std::flush;
    }

    /// A line that also goes to standard output.
    void say(const std::string &text)
    {
        this->line("%s", text.c_str());
        std::cout << text << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
};

/// Loopback address of this run, so that runs at the same time do not take each other's ports.
inline std::string ownHost()
{
    const int pid = static_cast<int>(::getpid());
    return "127." + std::to_string(1 + pid / 62500 % 250) + "." + std::to_string(pid / 250 % 250) + "." + std::to_string(1 + pid % 250);
}

struct Address {
    std::string host = ownHost();
    int port = 0;

    std::string text() const
    {
        return this->host + ":" + std::to_string(this->port);
    }
};

inline sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(address.port));
    inet_pton(AF_INET, address.host.c_str(), &result.sin_addr);
    return result;
}

inline int listenOn(Address &address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in socketAddress = toSocketAddress(address);
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&socketAddress), sizeof socketAddress) != 0 || ::listen(descriptor, 512) != 0) {
        ::close(descriptor);
        return -1;
    }
    socklen_t length = sizeof socketAddress;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&socketAddress), &length);
    address.port = ntohs(socketAddress.sin_port);
    return descriptor;
}

inline int freePort()
{
    Address address;
    const int descriptor = listenOn(address);
    ::close(descriptor);
    return address.port;
}

struct Message {
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Whether the end of the body was marked and reached.
    bool isWhole = false;

    std::string header(const std::string &name) const
    {
        for (const auto &[known, value] : this->headers) {
            if (strcasecmp(known.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    int status() const
    {
        return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0;
    }

    std::string method() const
    {
        return this->start.substr(0, this->start.find(' '));
    }

    std::string target() const
    {
        const std::size_t first = this->start.find(' ');
        return this->start.substr(first + 1, this->start.find(' ', first + 1) - first - 1);
    }
};

/// Blocking connection with a buffer. All reads end at a deadline.
class Connection
{
public:
    explicit Connection(int descriptor) : descriptor(descriptor)
    {
        const int one = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }

    ~Connection()
    {
        if (this->descriptor >= 0) {
            ::close(this->descriptor);
        }
    }

    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    static std::unique_ptr<Connection> open(const Address &address, double seconds)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
        sockaddr_in socketAddress = toSocketAddress(address);
        if (::connect(descriptor, reinterpret_cast<sockaddr *>(&socketAddress), sizeof socketAddress) != 0) {
            pollfd state {descriptor, POLLOUT, 0};
            int error = errno;
            socklen_t length = sizeof error;
            if (error == EINPROGRESS && ::poll(&state, 1, static_cast<int>(seconds * 1000)) == 1) {
                ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
            }
            if (error != 0) {
                ::close(descriptor);
                return nullptr;
            }
        }
        ::fcntl(descriptor, F_SETFL, 0);
        return std::make_unique<Connection>(descriptor);
    }

    bool write(const std::string &bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t count = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads more bytes into the buffer. Returns false at the end, after an error, or at the deadline.
    bool fill(double deadline)
    {
        pollfd state {this->descriptor, POLLIN, 0};
        const int wait = static_cast<int>(std::max(0.0, deadline - now()) * 1000) + 1;
        if (::poll(&state, 1, wait) != 1) {
            return false;
        }
        char bytes[65536];
        const ssize_t count = ::recv(this->descriptor, bytes, sizeof bytes, 0);
        if (count <= 0) {
            this->isClosed = true;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool hasBytes() const
    {
        return !this->buffer.empty();
    }

    /// Reads one request or answer. Returns nothing if not even its head arrived.
    std::optional<Message> read(double deadline)
    {
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill(deadline)) {
                return std::nullopt;
            }
        }
        Message message;
        std::istringstream head(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        std::string text;
        std::getline(head, text);
        message.start = text.substr(0, text.find('\r'));
        while (std::getline(head, text)) {
            text = text.substr(0, text.find('\r'));
            const std::size_t colon = text.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = text.find_first_not_of(' ', colon + 1);
                message.headers.emplace_back(text.substr(0, colon), value == std::string::npos ? "" : text.substr(value));
            }
        }
        if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            this->readChunks(message, deadline);
            return message;
        }
        if (this->onHead) {
            this->onHead(message);
        }
        const std::size_t length = std::strtoul(message.header("Content-Length").c_str(), nullptr, 10);
        while (this->buffer.size() < length && this->fill(deadline)) { }
        message.isWhole = this->buffer.size() >= length;
        message.body = this->buffer.substr(0, length);
        this->buffer.erase(0, std::min(length, this->buffer.size()));
        return message;
    }

    void shutdown()
    {
        ::shutdown(this->descriptor, SHUT_RDWR);
    }

    int descriptor;
    bool isClosed = false;
    /// Called when the head of a message without chunks has arrived.
    std::function<void(const Message &)> onHead;

private:
    void readChunks(Message &message, double deadline)
    {
        while (true) {
            std::size_t lineEnd = 0;
            while ((lineEnd = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill(deadline)) {
                    return;
                }
            }
            const std::size_t length = std::strtoul(this->buffer.c_str(), nullptr, 16);
            while (this->buffer.size() < lineEnd + 2 + length + 2) {
                if (!this->fill(deadline)) {
                    return;
                }
            }
            message.body += this->buffer.substr(lineEnd + 2, length);
            this->buffer.erase(0, lineEnd + 2 + length + 2);
            if (length == 0) {
                message.isWhole = true;
                return;
            }
        }
    }

    std::string buffer;
};

inline std::string answerText(int status, const std::vector<std::pair<std::string, std::string>> &headers, const std::string &body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto &[name, value] : headers) {
        text += joined({name, ": ", value, "\r\n"});
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Server with one thread for each connection.
class Server
{
public:
    using Handler = std::function<void(Connection &)>;

    ~Server()
    {
        this->stop();
    }

    bool start(Handler newHandler, Address wanted = {})
    {
        this->address = std::move(wanted);
        this->handler = std::move(newHandler);
        this->listener = listenOn(this->address);
        if (this->listener < 0) {
            return false;
        }
        this->acceptor = std::thread([this] { this->acceptLoop(); });
        return true;
    }

    void stop()
    {
        if (this->listener < 0) {
            return;
        }
        this->stopping = true;
        ::shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        ::close(this->listener);
        this->listener = -1;
        {
            const std::lock_guard lock(this->mutex);
            for (const auto &connection : this->connections) {
                connection->shutdown();
            }
        }
        while (this->running > 0) {
            sleepFor(0.005);
        }
    }

    Address address;
    std::atomic<bool> stopping = false;

private:
    void acceptLoop()
    {
        while (!this->stopping) {
            const int descriptor = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                if (this->stopping) {
                    return;
                }
                sleepFor(0.01);
                continue;
            }
            auto connection = std::make_shared<Connection>(descriptor);
            const std::lock_guard lock(this->mutex);
            this->connections.insert(connection);
            ++this->running;
            std::thread([this, connection] {
                this->handler(*connection);
                const std::lock_guard inner(this->mutex);
                this->connections.erase(connection);
                --this->running;
            }).detach();
        }
    }

    Handler handler;
    int listener = -1;
    std::thread acceptor;
    std::mutex mutex;
    std::set<std::shared_ptr<Connection>> connections;
    std::atomic<int> running = 0;
};

/// The platform's store in the form `objects`. Specs are kept as the bytes that were written.
class Store
{
public:
    bool start()
    {
        return this->server.start([this](Connection &connection) { this->serve(connection); });
    }

    void stop()
    {
        this->isStopping = true;
        this->changed.notify_all();
        this->server.stop();
    }

    Address address() const
    {
        return this->server.address;
    }

    /// Writes an object; the return is the store's ack. A write that changes nothing makes no event.
    void put(const std::string &kind, const std::string &name, const std::string &spec)
    {
        const std::lock_guard lock(this->mutex);
        Object &object = this->objects[kind][name];
        if (object.revision != 0 && object.spec == spec) {
            return;
        }
        object.spec = spec;
        object.created = object.revision == 0 ? this->revision + 1 : object.created;
        object.revision = ++this->revision;
        this->record(kind, name, object, false);
    }

    void remove(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->objects[kind].find(name);
        if (found == this->objects[kind].end()) {
            return;
        }
        found->second.revision = ++this->revision;
        this->record(kind, name, found->second, true);
        this->objects[kind].erase(found);
    }

    std::string status(const std::string &kind, const std::string &name)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->objects[kind].find(name);
        return found == this->objects[kind].end() ? std::string() : found->second.status;
    }

    std::atomic<long> calls = 0;

private:
    struct Object {
        std::string spec;
        std::string status = "{}";
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
        double time = 0;
    };

    static constexpr double historySeconds = 20;
    static constexpr std::size_t pageEntries = 500;

    static std::string objectText(const std::string &name, const Object &object)
    {
        return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision) + R"(,"created":)" + std::to_string(object.created)
            + R"(,"finalizers":[],"deletionPending":false},"spec":)" + object.spec + R"(,"status":)" + object.status + "}";
    }

    void record(const std::string &kind, const std::string &name, const Object &object, bool deleted)
    {
        this->events.push_back(
            {this->revision, kind, R"({"object":)" + objectText(name, object) + R"(,"deleted":)" + (deleted ? "true" : "false") + "}", now()});
        while (!this->events.empty() && this->events.front().time < now() - historySeconds) {
            this->forgotten = this->events.front().revision;
            this->events.pop_front();
        }
        this->changed.notify_all();
    }

    static std::string queryValue(const std::string &target, const std::string &name)
    {
        std::size_t at = target.find("?" + name + "=");
        at = at == std::string::npos ? target.find("&" + name + "=") : at;
        if (at == std::string::npos) {
            return {};
        }
        at += name.size() + 2;
        return target.substr(at, target.find('&', at) - at);
    }

    std::string list(const std::string &kind, const std::string &after)
    {
        const std::lock_guard lock(this->mutex);
        std::string entries;
        std::size_t count = 0;
        bool hasMore = false;
        for (const auto &[name, object] : this->objects[kind]) {
            if (!after.empty() && name <= after) {
                continue;
            }
            if (count == pageEntries) {
                hasMore = true;
                break;
            }
            entries += (count++ ? "," : "") + objectText(name, object);
        }
        return R"({"entries":[)" + entries + R"(],"hasMore":)" + (hasMore ? "true" : "false") + R"(,"at":)" + std::to_string(this->revision) + "}";
    }

    std::pair<int, std::string> watch(const std::string &kind, std::uint64_t from, double seconds)
    {
        std::unique_lock lock(this->mutex);
        const double deadline = now() + seconds;
        while (true) {
            if (from < this->forgotten) {
                return {410, "{}"};
            }
            std::string text;
            for (const Event &event : this->events) {
                if (event.revision > from && event.kind == kind) {
                    text += (text.empty() ? "" : ",") + event.text;
                }
            }
            const double left = deadline - now();
            if (!text.empty() || left <= 0 || this->isStopping) {
                return {200, R"({"events":[)" + text + R"(],"at":)" + std::to_string(this->revision) + "}"};
            }
            this->changed.wait_for(lock, std::chrono::duration<double>(left));
        }
    }

    void serve(Connection &connection)
    {
        while (!this->server.stopping) {
            const auto request = connection.read(now() + 60);
            if (!request || !request->isWhole) {
                return;
            }
            ++this->calls;
            sleepFor(0.004);
            const std::string target = request->target();
            std::string path = target.substr(0, target.find('?'));
            constexpr std::string_view prefix = "/objects/";
            std::pair<int, std::string> answer {404, "{}"};
            if (path.rfind(prefix, 0) == 0) {
                path = path.substr(prefix.size());
                const std::string kind = path.substr(0, path.find('/'));
                const bool isObject = path.find('/') != std::string::npos;
                if (request->method() == "GET" && !isObject && !queryValue(target, "watch").empty()) {
                    answer = this->watch(
                        kind, std::strtoull(queryValue(target, "watch").c_str(), nullptr, 10), std::atof(queryValue(target, "waitMs").c_str()) / 1000);
                } else if (request->method() == "GET" && !isObject) {
                    answer = {200, this->list(kind, queryValue(target, "after"))};
                } else if (request->method() == "PUT" && isObject) {
                    answer = this->putStatus(kind, path.substr(path.find('/') + 1), request->body);
                }
            }
            if (!connection.write(answerText(answer.first, {{"Content-Type", "application/json"}}, answer.second))) {
                return;
            }
        }
    }

    std::pair<int, std::string> putStatus(const std::string &kind, const std::string &path, const std::string &body)
    {
        const std::string name = path.substr(0, path.find('/'));
        const Json json = Json::parse(body, nullptr, false);
        const std::lock_guard lock(this->mutex);
        const auto found = this->objects[kind].find(name);
        if (path.find("/status") == std::string::npos || found == this->objects[kind].end() || !json.is_object()) {
            return {404, "{}"};
        }
        if (json.contains("metadata") && json["metadata"].contains("revision") && json["metadata"]["revision"] != found->second.revision) {
            return {409, objectText(name, found->second)};
        }
        found->second.status = json.value("status", Json::object()).dump();
        found->second.revision = ++this->revision;
        this->record(kind, name, found->second, false);
        return {200, objectText(name, found->second)};
    }

    Server server;
    std::mutex mutex;
    std::condition_variable changed;
    std::atomic<bool> isStopping = false;
    std::uint64_t revision = 100;
    std::uint64_t forgotten = 0;
    std::map<std::string, std::map<std::string, Object>> objects;
    std::deque<Event> events;
};

struct Run {
    double time = 0;
    std::string replica;
    std::string request;
    bool hasRun = false;
};

/// What all replicas saw.
class Runs
{
public:
    void add(Run run)
    {
        const std::lock_guard lock(this->mutex);
        this->all.push_back(std::move(run));
    }

    std::vector<Run> copy()
    {
        const std::lock_guard lock(this->mutex);
        return this->all;
    }

private:
    std::mutex mutex;
    std::vector<Run> all;
};

/// A replica of a plain service. It registers itself in the store and works on each request for `work` seconds.
class Replica
{
public:
    struct Answer {
        int status = 200;
        bool hasRun = true;
        /// Whether the connection ends without the answer, after the request has run.
        bool isLost = false;
        std::vector<std::pair<std::string, std::string>> headers;
    };

    Replica(Store &store, Runs &runs, Record &record, std::string id, std::string service, std::string zone)
        : id(std::move(id)), service(std::move(service)), zone(std::move(zone)), store(store), runs(runs), record(record)
    {
    }

    bool start(Address wanted = {})
    {
        this->born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        if (!this->server.start([this](Connection &connection) { this->serve(connection); }, std::move(wanted))) {
            return false;
        }
        this->write("ready");
        return true;
    }

    /// Returns once the store has acknowledged the state.
    void write(const std::string &state)
    {
        const Json spec = {{"service", this->service},
                           {"address", this->server.address.text()},
                           {"zone", this->zone},
                           {"version", this->version},
                           {"slots", 6},
                           {"state", state},
                           {"coldRemainingMs", 0},
                           {"born", this->born},
                           {"sequence", 1}};
        this->store.put("servers", this->id, spec.dump());
        this->record.line("store has acknowledged %s as %s at %s", this->id.c_str(), state.c_str(), this->server.address.text().c_str());
    }

    void leave()
    {
        this->store.remove("servers", this->id);
        this->record.line("store has removed %s", this->id.c_str());
    }

    void stop()
    {
        this->server.stop();
        this->record.line("replica %s has ended", this->id.c_str());
    }

    std::string id;
    std::string service;
    std::string zone;
    std::string version = "v1";
    double work = 0.06;
    std::size_t answerBytes = 800;
    int keepAliveSeconds = 15;
    /// Requests whose head has arrived.
    Runs heads;
    std::function<Answer(const Message &)> decide = [](const Message &) { return Answer(); };

private:
    void serve(Connection &connection)
    {
        connection.onHead = [this](const Message &message) { this->heads.add({now(), this->id, message.header("X-Attempt-Id"), false}); };
        while (!this->server.stopping) {
            const auto request = connection.read(now() + this->keepAliveSeconds);
            if (!request || !request->isWhole) {
                return;
            }
            const std::string attempt = request->header("X-Attempt-Id");
            std::vector<std::pair<std::string, std::string>> headers = {{"X-Attempt-Id", attempt}, {"X-Replica-Id", this->id}};
            const std::string target = request->header("X-Target-Replica");
            if (!target.empty() && target != this->id) {
                this->runs.add({now(), this->id, attempt, false});
                headers.emplace_back("X-Not-Executed", "1");
                connection.write(answerText(421, headers, ""));
                continue;
            }
            const Answer answer = this->decide(*request);
            this->runs.add({now(), this->id, attempt, answer.hasRun});
            this->record.line(
                "reaches %s: request %s, %zu body bytes, %s", this->id.c_str(), attempt.c_str(), request->body.size(), answer.hasRun ? "runs" : "not run");
            if (answer.hasRun) {
                sleepFor(this->work);
            }
            if (answer.isLost) {
                return;
            }
            headers.insert(headers.end(), answer.headers.begin(), answer.headers.end());
            headers.emplace_back("X-Response-Signature", "sig." + this->id + "." + attempt);
            headers.emplace_back("Keep-Alive", "timeout=" + std::to_string(this->keepAliveSeconds));
            if (!connection.write(answerText(answer.status, headers, std::string(this->answerBytes, 'x')))) {
                return;
            }
        }
    }

    std::int64_t born = 0;
    Store &store;
    Runs &runs;
    Record &record;
    Server server;
};

/// One process of the role `entry` of the deploy file.
class Entry
{
public:
    Entry(Record &record, std::string name, std::string zone, std::string folder)
        : name(std::move(name)), zone(std::move(zone)), folder(std::move(folder)), record(record)
    {
        this->frontend.port = freePort();
        this->ready.port = freePort();
        this->control.port = freePort();
        this->metrics.port = freePort();
    }

    ~Entry()
    {
        this->kill(SIGKILL);
    }

    /// Fills the template of the deploy file in, as the platform does. Bounds are those of kwh-godwit.
    bool writeSettings(const Address &store, const std::vector<Address> &seeds) const
    {
        std::ifstream source("platform/entry.yaml.template");
        std::string text((std::istreambuf_iterator<char>(source)), std::istreambuf_iterator<char>());
        Json seedNodes = Json::array();
        for (const Address &seed : seeds) {
            seedNodes.push_back(seed.text());
        }
        const std::map<std::string, std::string> values = {{"nodeName", this->name},
                                                           {"zone", this->zone},
                                                           {"listenAddrs.frontend", this->frontend.text()},
                                                           {"listenAddrs.ready", this->ready.text()},
                                                           {"listenAddrs.controlPlane", this->control.text()},
                                                           {"ip", this->metrics.host},
                                                           {"internalPortRange.0", std::to_string(this->metrics.port)},
                                                           {"platform.address", store.text()},
                                                           {"seedNodes|json", seedNodes.dump()},
                                                           {"limits.cpuQuota", "0.25"},
                                                           {"bounds.gracePeriodS", "8"},
                                                           {"bounds.retryBudgetRatio", "0.9"},
                                                           {"bounds.retrySlack", "58"},
                                                           {"bounds.retryWindowS", "10"},
                                                           {"bounds.exposureShare", "0.15"},
                                                           {"bounds.exposureTolerance", "30"},
                                                           {"bounds.rollbackMs", "5000"},
                                                           {"bounds.drainMs", "2000"},
                                                           {"bounds.configApplyMs", "2000"},
                                                           {"bounds.sessionTtlS", "5"}};
        for (const auto &[key, value] : values) {
            const std::string placeholder = "{{" + key + "}}";
            for (std::size_t at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
                text.replace(at, placeholder.size(), value);
            }
        }
        std::ofstream(this->settingsFile()) << text;
        return !text.empty() && text.find("{{") == std::string::npos;
    }

    std::string settingsFile() const
    {
        return this->folder + "/" + this->name + ".yaml";
    }

    void start()
    {
        const std::string log = this->folder + "/" + this->name + ".log";
        this->pid = ::fork();
        if (this->pid == 0) {
            const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(output, 1);
            ::dup2(output, 2);
            ::setenv("GODWITFORK_CONFIG", this->settingsFile().c_str(), 1);
            ::execl("target/bin/godwitfork-entry", "target/bin/godwitfork-entry", nullptr);
            ::_exit(127);
        }
        this->record.line("started %s as process %d, callers at %s", this->name.c_str(), static_cast<int>(this->pid), this->frontend.text().c_str());
    }

    void kill(int signal)
    {
        if (this->pid <= 0) {
            return;
        }
        ::kill(this->pid, signal);
        this->record.line("signal %d to %s", signal, this->name.c_str());
        if (signal == SIGKILL) {
            ::waitpid(this->pid, nullptr, 0);
            this->pid = 0;
        }
    }

    /// Whether the process has ended by itself.
    bool hasEnded()
    {
        if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
            this->pid = 0;
        }
        return this->pid <= 0;
    }

    bool isReady() const
    {
        const auto connection = Connection::open(this->ready, 0.5);
        if (!connection || !connection->write("GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")) {
            return false;
        }
        const auto answer = connection->read(now() + 0.5);
        return answer && answer->status() == 200;
    }

    bool waitReady(double seconds) const
    {
        for (const double end = now() + seconds; now() < end; sleepFor(0.1)) {
            if (this->isReady()) {
                return true;
            }
        }
        return false;
    }

    /// Resident memory in MB.
    double memoryMb() const
    {
        std::ifstream file("/proc/" + std::to_string(this->pid) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.rfind("VmRSS:", 0) == 0) {
                return std::atof(line.c_str() + 6) / 1024;
            }
        }
        return 0;
    }

    std::string name;
    std::string zone;
    std::string folder;
    Address frontend;
    Address ready;
    Address control;
    Address metrics;
    pid_t pid = 0;

private:
    Record &record;
};

struct Result {
    double sent = 0;
    double ended = 0;
    std::string id;
    std::string route;
    /// 0 if there was no complete answer.
    int status = 0;
    bool isSigned = false;
    bool isConnected = false;
};

inline std::string newId()
{
    static std::atomic<unsigned> count = 0;
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(::getpid()), ++count);
    return text;
}

inline std::string requestText(const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nAuthorization: Bearer key-one\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Sends one client attempt. An open connection is reused if `kept` holds one.
inline Result send(Record &record,
                   const Address &entry,
                   const std::string &method,
                   const std::string &path,
                   int deadlineMs,
                   const std::string &body,
                   std::unique_ptr<Connection> &kept)
{
    Result result;
    result.id = newId();
    result.route = path;
    result.sent = now();
    if (!kept) {
        kept = Connection::open(entry, 1);
    }
    result.isConnected = kept != nullptr;
    std::optional<Message> answer;
    if (kept && kept->write(requestText(method, path, result.id, deadlineMs, body))) {
        answer = kept->read(result.sent + deadlineMs / 1000.0);
    }
    result.ended = now();
    if (answer && answer->isWhole) {
        result.status = answer->status();
        result.isSigned = !answer->header("X-Response-Signature").empty();
    }
    if (!answer || !answer->isWhole || answer->header("Connection") == "close") {
        kept.reset();
    }
    record.line("%s %s to %s, sent %.3f: %s%d%s",
                path.c_str(),
                result.id.c_str(),
                entry.text().c_str(),
                result.sent,
                result.isConnected ? "" : "no connection, ",
                result.status,
                result.isSigned ? " signed" : "");
    return result;
}

/// Configuration with a print-release route (runs once at most) and an order-lookup route (may be repeated), and one tenant.
inline std::string configuration(int version, const std::string &service, long maxBodyBytes = 4194304)
{
    const Json spec = {{"version", version},
                       {"routes",
                        {{{"name", "r-release"},
                          {"host", "desk.example"},
                          {"pathPrefix", "/release/"},
                          {"type", "non_idempotent"},
                          {"timeoutMs", 1500},
                          {"targetLatencyMs", 300},
                          {"priority", 2},
                          {"service", service},
                          {"maxAttempts", 1},
                          {"public", false}},
                         {{"name", "r-lookup"},
                          {"host", "desk.example"},
                          {"pathPrefix", "/lookup/"},
                          {"type", "idempotent"},
                          {"timeoutMs", 1500},
                          {"targetLatencyMs", 300},
                          {"priority", 2},
                          {"service", service},
                          {"maxAttempts", 2},
                          {"public", false}}}},
                       {"services", {{{"name", service}, {"healthPath", "/healthz"}, {"maxConns", 110}}}},
                       {"tenants", {{{"name", "tenant-one"}, {"apiKeys", {"key-one"}}}}},
                       {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", maxBodyBytes}, {"headerTimeoutMs", 10000}, {"idleTimeoutMs", 15000}}}};
    return spec.dump();
}

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

/// A new temporary folder, removed at the end unless KEEP is set.
class Folder
{
public:
    Folder()
    {
        char path[] = "/tmp/review-XXXXXX";
        this->path = ::mkdtemp(path);
    }

    ~Folder()
    {
        if (!std::getenv("KEEP")) {
            for (const char *suffix : {".yaml", ".log"}) {
                for (const char *name : {"entry-a", "entry-b", "entry-c", "entry-d"}) {
                    ::unlink((this->path + "/" + name + suffix).c_str());
                }
            }
            ::rmdir(this->path.c_str());
        }
    }

    std::string path;
};

constexpr int held = 0;
constexpr int broken = 1;
constexpr int couldNotRun = 2;

} // namespace Rig
