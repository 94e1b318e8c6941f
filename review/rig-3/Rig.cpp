#include "Rig.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace Rig
{

namespace
{
constexpr int backlog = 512;
constexpr std::size_t readSize = 16384;
/// Event before which a run may be preempted.
constexpr int preemptedEvent = 5;
/// Time limits of the sheet's clients.
constexpr int streamDeadlineMs = 12000;
constexpr int plainDeadlineMs = 1500;

sockaddr_in loopback(int port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int bindFree(int &port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof address;
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0
        || ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        std::perror("bind");
        std::_Exit(2);
    }
    port = ntohs(address.sin_port);
    return descriptor;
}

std::string reasonPhrase(int status)
{
    return status < 300 ? "OK" : "Error";
}

std::string queryValue(const std::string &query, const std::string &name)
{
    std::size_t position = 0;
    while (position < query.size()) {
        const std::size_t end = std::min(query.find('&', position), query.size());
        const std::string pair = query.substr(position, end - position);
        if (pair.compare(0, name.size() + 1, name + "=") == 0) {
            return pair.substr(name.size() + 1);
        }
        position = end + 1;
    }
    return {};
}
} // namespace

void pause(Milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

std::string header(const Headers &headers, const std::string &name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const auto &entry) { return strcasecmp(entry.first.c_str(), name.c_str()) == 0; });
    return found == headers.end() ? std::string() : found->second;
}

Record::Record(const std::string &path) : file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
}

void Record::write(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    const auto elapsed = std::chrono::duration_cast<Milliseconds>(Clock::now() - this->start).count();
    const std::string whole = std::to_string(elapsed) + " ms " + text + "\n";
    if (::write(this->file, whole.data(), whole.size()) < 0 || ::write(STDOUT_FILENO, whole.data(), whole.size()) < 0) {
        std::perror("record");
    }
}

Connection::Connection(int descriptor) : descriptor(descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
    }
}

std::unique_ptr<Connection> Connection::open(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return std::make_unique<Connection>(-1);
    }
    return std::make_unique<Connection>(descriptor);
}

bool Connection::isOpen() const
{
    return this->descriptor >= 0;
}

bool Connection::send(const std::string &bytes)
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

bool Connection::receive()
{
    char bytes[readSize];
    const ssize_t count = ::recv(this->descriptor, bytes, sizeof bytes, 0);
    if (count <= 0) {
        this->isEnded = count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        return false;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return true;
}

bool Connection::readHead(std::string &first, Headers &headers)
{
    std::size_t end = this->buffer.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!this->receive()) {
            return false;
        }
        end = this->buffer.find("\r\n\r\n");
    }
    std::string head = this->buffer.substr(0, end + 2);
    this->buffer.erase(0, end + 4);
    std::size_t position = head.find("\r\n");
    first = head.substr(0, position);
    position += 2;
    while (position < head.size()) {
        const std::size_t lineEnd = head.find("\r\n", position);
        const std::string line = head.substr(position, lineEnd - position);
        const std::size_t colon = line.find(':');
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        headers.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        position = lineEnd + 2;
    }
    return true;
}

bool Connection::readBytes(std::size_t count, std::string &body)
{
    while (this->buffer.size() < count) {
        if (!this->receive()) {
            return false;
        }
    }
    body += this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return true;
}

bool Connection::readChunks(std::string &body)
{
    while (true) {
        std::size_t end = this->buffer.find("\r\n");
        while (end == std::string::npos) {
            if (!this->receive()) {
                return false;
            }
            end = this->buffer.find("\r\n");
        }
        const std::size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
        this->buffer.erase(0, end + 2);
        std::string lineEnd;
        if (!this->readBytes(size, body) || !this->readBytes(2, lineEnd)) {
            return false;
        }
        if (size == 0) {
            return true;
        }
    }
}

bool Connection::readRequest(Request &request)
{
    std::string line;
    if (!this->readHead(line, request.headers)) {
        return false;
    }
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', first + 1);
    request.method = line.substr(0, first);
    request.target = line.substr(first + 1, second - first - 1);
    if (!header(request.headers, "Transfer-Encoding").empty()) {
        return this->readChunks(request.body);
    }
    return this->readBytes(std::strtoul(header(request.headers, "Content-Length").c_str(), nullptr, 10), request.body);
}

Answer Connection::readAnswer(Milliseconds limit, const std::string &method)
{
    timeval time {};
    time.tv_sec = limit.count() / 1000;
    time.tv_usec = (limit.count() % 1000) * 1000;
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &time, sizeof time);
    Answer answer;
    if (!this->readHead(answer.statusLine, answer.headers) || answer.statusLine.compare(0, 9, "HTTP/1.1 ") != 0) {
        answer.isClosed = this->isEnded;
        return answer;
    }
    answer.status = std::atoi(answer.statusLine.c_str() + 9);
    if (method == "HEAD") {
        answer.isComplete = true;
    } else if (!header(answer.headers, "Transfer-Encoding").empty()) {
        answer.isComplete = this->readChunks(answer.body);
    } else {
        answer.isComplete = this->readBytes(std::strtoul(header(answer.headers, "Content-Length").c_str(), nullptr, 10), answer.body);
    }
    answer.isClosed = !answer.isComplete && this->isEnded;
    return answer;
}

void Connection::waitForEnd(Milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
        pollfd entry {this->descriptor, POLLRDHUP, 0};
        if (::poll(&entry, 1, 100) > 0) {
            return;
        }
    }
}

Listener::Listener(std::function<void(Connection &)> serve) : serve(std::move(serve)), descriptor(bindFree(this->boundPort))
{
    ::listen(this->descriptor, backlog);
    std::thread([this] {
        while (true) {
            const int accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted >= 0) {
                std::thread([this, accepted] {
                    Connection connection(accepted);
                    this->serve(connection);
                }).detach();
            }
        }
    }).detach();
}

int Listener::port() const
{
    return this->boundPort;
}

int freePort()
{
    int port = 0;
    ::close(bindFree(port));
    return port;
}

Store::Store() : listener(std::make_unique<Listener>([this](Connection &connection) { this->serve(connection); }))
{
}

int Store::port() const
{
    return this->listener->port();
}

Json Store::change(const std::string &kind, const std::string &name, const std::function<void(Json &)> &edit)
{
    ++this->state.revision;
    Json &object = this->state.objects[kind][name];
    if (object.is_null()) {
        object = {{"metadata", {{"name", name}, {"created", this->state.revision}, {"finalizers", Json::array()}, {"deletionPending", false}}},
                  {"spec", nullptr},
                  {"status", nullptr}};
    }
    edit(object);
    object["metadata"]["revision"] = this->state.revision;
    this->events.push_back({this->state.revision, kind, {{"deleted", false}, {"object", object}}});
    this->changed.notify_all();
    return object;
}

std::uint64_t Store::put(const std::string &kind, const std::string &name, const Json &spec)
{
    const std::lock_guard lock(this->mutex);
    if (this->isAway) {
        return 0;
    }
    this->change(kind, name, [&](Json &object) { object["spec"] = spec; });
    return this->state.revision;
}

void Store::copy()
{
    const std::lock_guard lock(this->mutex);
    this->kept = this->state;
}

void Store::leave()
{
    const std::lock_guard lock(this->mutex);
    this->isAway = true;
    ++this->generation;
    this->changed.notify_all();
}

void Store::restore()
{
    const std::lock_guard lock(this->mutex);
    this->state = this->kept;
    // The copy has the history up to its own revision.
    while (!this->events.empty() && this->events.back().revision > this->state.revision) {
        this->events.pop_back();
    }
    ++this->storeEra;
    this->isAway = false;
    this->changed.notify_all();
}

std::uint64_t Store::revision()
{
    const std::lock_guard lock(this->mutex);
    return this->state.revision;
}

int Store::era()
{
    const std::lock_guard lock(this->mutex);
    return this->storeEra;
}

void Store::serve(Connection &connection)
{
    std::uint64_t opened = 0;
    {
        const std::lock_guard lock(this->mutex);
        opened = this->generation;
        if (this->isAway) {
            opened = 0;
        }
    }
    while (true) {
        Request request;
        if (!connection.readRequest(request)) {
            return;
        }
        int status = 200;
        const std::string body = this->answer(request, opened, status);
        if (status == 0) {
            // A connection on which an answer is lost returns nothing further.
            connection.waitForEnd(std::chrono::seconds(30));
            return;
        }
        const std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status) + "\r\nContent-Type: application/json\r\nStore-Era: "
            + std::to_string(this->era()) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        if (!connection.send(text)) {
            return;
        }
    }
}

std::string Store::watch(const std::string &kind, const std::string &query, std::uint64_t opened, int &status)
{
    std::unique_lock lock(this->mutex);
    const std::uint64_t after = std::strtoull(queryValue(query, "watch").c_str(), nullptr, 10);
    const auto end = Clock::now() + Milliseconds(std::atoi(queryValue(query, "waitMs").c_str()));
    while (true) {
        if (opened != this->generation) {
            status = 0;
            return {};
        }
        if (after < this->oldest || after > this->state.revision) {
            status = 410;
            return "{}";
        }
        Json found = Json::array();
        for (const Event &event : this->events) {
            if (event.kind == kind && event.revision > after) {
                found.push_back(event.event);
            }
        }
        if (!found.empty() || Clock::now() >= end) {
            return Json {{"events", found}, {"at", this->state.revision}}.dump();
        }
        this->changed.wait_until(lock, end);
    }
}

std::string Store::answer(const Request &request, std::uint64_t opened, int &status)
{
    static const std::string prefix = "/objects/";
    const std::size_t question = std::min(request.target.find('?'), request.target.size());
    const std::string query = question < request.target.size() ? request.target.substr(question + 1) : std::string();
    const std::string path = request.target.substr(prefix.size(), question - prefix.size());
    if (!queryValue(query, "watch").empty()) {
        return this->watch(path, query, opened, status);
    }
    const std::lock_guard lock(this->mutex);
    if (opened != this->generation) {
        status = 0;
        return {};
    }
    if (request.method == "GET") {
        Json entries = Json::array();
        for (const auto &[name, object] : this->state.objects[path]) {
            entries.push_back(object);
        }
        return Json {{"entries", entries}, {"hasMore", false}, {"at", this->state.revision}}.dump();
    }
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name = path.substr(slash + 1, path.rfind('/') - slash - 1);
    const Json body = Json::parse(request.body, nullptr, false);
    const auto known = this->state.objects[kind].find(name);
    if (known == this->state.objects[kind].end() || body.is_discarded()) {
        status = 404;
        return "{}";
    }
    if (body.at("metadata").at("revision") != known->second.at("metadata").at("revision")) {
        status = 409;
        return known->second.dump();
    }
    return this->change(kind, name, [&](Json &object) { object["status"] = body.at("status"); }).dump();
}

RunBook::RunBook(Record &record) : record(record)
{
}

std::size_t RunBook::add(const Run &run)
{
    const std::lock_guard lock(this->mutex);
    this->runs.push_back(run);
    this->runs.back().begun = Clock::now();
    this->record.line(
        "run at ", run.replica, ": id ", run.id, " ", run.method, " ", run.target, " tenant '", run.account, "' body ", run.body.size(), " bytes");
    return this->runs.size() - 1;
}

void RunBook::end(std::size_t number)
{
    const std::lock_guard lock(this->mutex);
    this->runs[number].ended = Clock::now();
    this->record.line("run at ", this->runs[number].replica, " ended: id ", this->runs[number].id);
}

std::vector<Run> RunBook::of(const std::string &id)
{
    const std::lock_guard lock(this->mutex);
    std::vector<Run> found;
    std::copy_if(this->runs.begin(), this->runs.end(), std::back_inserter(found), [&](const Run &run) { return run.id == id; });
    return found;
}

Replica::Replica(ReplicaSettings settings, Store &store, RunBook &book)
    : settings(std::move(settings))
    , store(store)
    , book(book)
    , born(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , listener(std::make_unique<Listener>([this](Connection &connection) { this->serve(connection); }))
{
}

int Replica::port() const
{
    return this->listener->port();
}

bool Replica::report()
{
    const std::lock_guard lock(this->mutex);
    const Json spec = {{"service", this->settings.service},
                       {"address", "127.0.0.1:" + std::to_string(this->port())},
                       {"zone", this->settings.zone},
                       {"version", "v1"},
                       {"slots", 6},
                       {"state", "ready"},
                       {"coldRemainingMs", 0},
                       {"born", this->born},
                       {"sequence", ++this->sequence}};
    return this->store.put("servers", this->settings.id, spec) != 0;
}

void Replica::startReports(Milliseconds interval)
{
    std::thread([this, interval] {
        while (true) {
            pause(interval);
            this->report();
        }
    }).detach();
}

bool Replica::sendStream(Connection &connection, const Request &request, const std::string &common, std::size_t runsBefore) const
{
    const std::string id = header(request.headers, "X-Attempt-Id");
    const int after = std::atoi(header(request.headers, "Last-Event-Id").c_str());
    std::string text =
        joined("HTTP/1.1 200 OK\r\n", common, "X-Response-Signature: signed-", id, "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
    bool isOpen = true;
    for (int number = after + 1; number <= this->settings.events; ++number) {
        pause(this->settings.work / this->settings.events);
        if (number == preemptedEvent && this->settings.preemption) {
            pause(this->settings.preemption(id, runsBefore));
        }
        const std::string event = joined("id: ", number, "\ndata: ", id, "\n\n");
        text += joined(std::hex, event.size(), "\r\n", event, "\r\n");
        isOpen = isOpen && connection.send(text);
        text.clear();
        if (!isOpen && !this->settings.ignoresClose) {
            return false;
        }
    }
    return isOpen && connection.send(text + "0\r\n\r\n");
}

void Replica::serve(Connection &connection)
{
    while (true) {
        Request request;
        if (!connection.readRequest(request)) {
            return;
        }
        const std::string id = header(request.headers, "X-Attempt-Id");
        const std::string wanted = header(request.headers, "X-Target-Replica");
        const std::string common = "X-Attempt-Id: " + id + "\r\nX-Replica-Id: " + this->settings.id + "\r\n";
        if (!wanted.empty() && wanted != this->settings.id) {
            connection.send("HTTP/1.1 421 Misdirected Request\r\n" + common + "Content-Length: 0\r\n\r\n");
            continue;
        }
        if (id.empty()) {
            connection.send("HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        const std::size_t runsBefore = this->book.of(id).size();
        const std::size_t run =
            this->book.add({id, this->settings.id, request.method, request.target, header(request.headers, "X-Tenant"), request.body, {}, {}});
        if (request.target.compare(0, 7, "/draft/") == 0) {
            const bool isOpen = this->sendStream(connection, request, common, runsBefore);
            this->book.end(run);
            if (!isOpen) {
                return;
            }
            continue;
        }
        pause(this->settings.work);
        this->book.end(run);
        const std::string body = "answer to " + id + "\n";
        const std::string sent = request.method == "HEAD" ? std::string() : body;
        const std::string text =
            joined("HTTP/1.1 200 OK\r\n", common, "X-Response-Signature: signed-", id, "\r\nContent-Length: ", body.size(), "\r\n\r\n", sent);
        if (!connection.send(text)) {
            return;
        }
    }
}

Entry::Entry(const std::string &program,
             const std::string &folder,
             const std::string &name,
             const std::string &zone,
             int peerPort,
             const std::vector<int> &seeds,
             int storePort)
    : callers(freePort()), readiness(freePort())
{
    const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    const std::string file = folder + "/" + name + ".yaml";
    Json seedList = Json::array();
    for (const int seed : seeds) {
        seedList.push_back(address(seed));
    }
    std::ofstream(file)
        << "instance: " << name << "\nfailure_domain: " << zone << "\nlisten: " << address(this->callers) << "\nreadiness_listen: " << address(this->readiness)
        << "\npeer_listen: " << address(peerPort) << "\nmetrics_listen: " << address(freePort()) << "\nstore: " << address(storePort)
        << "\nseeds: " << seedList.dump()
        << "\ncore_share: 0.25\nstop_limit_s: 8\nretry_ratio: 0.9\nretry_allowance: 58\nretry_window_s: 10\nexposure_share: 0.15\n"
           "exposure_tolerance: 30\nrollback_limit_ms: 5000\ndrain_limit_ms: 2000\nconfiguration_limit_ms: 2000\nsession_lifetime_s: 5\n"
           "contracts: [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"rollout\"]\n"
           "domain_regions: [\"at-west-a=at-west\",\"at-west-b=at-west\",\"at-west-c=at-west\"]\n";
    const std::string log = folder + "/" + name + ".log";
    const pid_t parent = ::getpid();
    this->process = ::fork();
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (::getppid() != parent) {
            std::_Exit(2);
        }
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::setenv("GODWITFORK_CONFIG", file.c_str(), 1);
        ::execl(program.c_str(), program.c_str(), "--memory-limit-mb", "110", static_cast<char *>(nullptr));
        std::_Exit(2);
    }
}

Entry::~Entry()
{
    if (this->isRunning()) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, &this->status, 0);
    }
}

int Entry::port() const
{
    return this->callers;
}

bool Entry::isRunning()
{
    if (!this->hasEnded) {
        this->hasEnded = ::waitpid(this->process, &this->status, WNOHANG) == this->process;
    }
    return !this->hasEnded;
}

std::string Entry::end() const
{
    if (!this->hasEnded) {
        return "runs";
    }
    return WIFSIGNALED(this->status) ? "ended by signal " + std::to_string(WTERMSIG(this->status)) : "exited with " + std::to_string(WEXITSTATUS(this->status));
}

bool Entry::waitUntilReady(Milliseconds limit) const
{
    const auto end = Clock::now() + limit;
    while (Clock::now() < end) {
        const auto connection = Connection::open(this->readiness);
        if (connection->isOpen() && connection->send("GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")
            && connection->readAnswer(Milliseconds(1000)).status == 200) {
            return true;
        }
        pause(Milliseconds(50));
    }
    return false;
}

std::string requestText(const std::string &method,
                        const std::string &target,
                        const std::string &id,
                        const std::string &key,
                        const std::string &body,
                        const std::string &more)
{
    const int deadline = target.compare(0, 7, "/draft/") == 0 ? streamDeadlineMs : plainDeadlineMs;
    std::string text = joined(method, " ", target, " HTTP/1.1\r\nHost: ", host, "\r\nX-Attempt-Id: ", id, "\r\nX-Deadline-Ms: ", deadline, "\r\n");
    if (!key.empty()) {
        text += "Authorization: Bearer " + key + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + more + "\r\n" + body;
}

Json route(const std::string &name, const std::string &type, int timeoutMs, int maxAttempts)
{
    return {{"name", "r-" + name},
            {"host", host},
            {"pathPrefix", "/" + name + "/"},
            {"type", type},
            {"timeoutMs", timeoutMs},
            {"targetLatencyMs", 300},
            {"priority", 2},
            {"service", "order-desk"},
            {"maxAttempts", maxAttempts},
            {"public", false},
            {"sticky", false},
            {"resumable", false}};
}

Json configuration(std::int64_t version, const std::vector<Json> &routes, const std::vector<std::string> &services, const Json &tenants)
{
    Json list = Json::array();
    for (const std::string &service : services) {
        list.push_back({{"name", service}, {"healthPath", "/healthz"}, {"maxConns", 110}, {"protocol", "h1"}, {"tls", false}});
    }
    return {{"version", version},
            {"routes", routes},
            {"services", list},
            {"limits", {{"maxHeaderBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}}},
            {"tenants", tenants}};
}

} // namespace Rig
