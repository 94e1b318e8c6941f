#include "Rig.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <utility>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace Rig
{

namespace
{
const Clock::time_point startTime = Clock::now();
std::mutex recordMutex;
std::ofstream recordFile;

constexpr int pollMilliseconds = 20;
constexpr int notFound = 404;
constexpr int conflict = 409;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const std::size_t begin = text.find_first_not_of(" \t\r");
    return begin == std::string::npos ? std::string() : text.substr(begin, text.find_last_not_of(" \t\r") - begin + 1);
}

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

std::uint16_t portOf(int descriptor)
{
    sockaddr_in address {};
    socklen_t length = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &length);
    return ntohs(address.sin_port);
}

int bindTo(std::uint16_t port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = loopback(port);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const std::size_t question = target.find('?');
    if (question == std::string::npos) {
        return {};
    }
    const std::string query = "&" + target.substr(question + 1) + "&";
    const std::size_t at = query.find("&" + name + "=");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 2;
    return query.substr(begin, query.find('&', begin) - begin);
}

const char *reasonPhrase(int status)
{
    switch (status) {
    case notFound:
        return "Not Found";
    case conflict:
        return "Conflict";
    default:
        return "OK";
    }
}
} // namespace

double secondsSinceStart()
{
    return std::chrono::duration<double>(Clock::now() - startTime).count();
}

void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(std::max(0.0, seconds)));
}

void sleepUntil(double seconds)
{
    sleepFor(seconds - secondsSinceStart());
}

void openRecord(const std::string &file)
{
    const std::lock_guard lock(recordMutex);
    recordFile.open(file, std::ios::trunc);
}

void record(const std::string &line)
{
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f ", secondsSinceStart());
    const std::lock_guard lock(recordMutex);
    recordFile << time << line << std::endl;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

std::string findHeader(const Headers &headers, const std::string &name)
{
    for (const auto &[key, value] : headers) {
        if (lower(key) == lower(name)) {
            return value;
        }
    }
    return {};
}

std::string Message::method() const
{
    return this->start.substr(0, this->start.find(' '));
}

std::string Message::target() const
{
    const std::size_t begin = this->start.find(' ');
    return begin == std::string::npos ? std::string() : this->start.substr(begin + 1, this->start.find(' ', begin + 1) - begin - 1);
}

int Message::status() const
{
    const std::size_t begin = this->start.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(this->start.c_str() + begin + 1);
}

Connection::Connection(int descriptor) : descriptor(descriptor)
{
    const int on = 1;
    ::setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Connection::~Connection()
{
    this->close();
}

bool Connection::write(const std::string &bytes)
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

bool Connection::fill(double seconds)
{
    const double end = secondsSinceStart() + seconds;
    while (!this->ended && secondsSinceStart() < end) {
        pollfd waiting {this->descriptor, POLLIN, 0};
        if (::poll(&waiting, 1, pollMilliseconds) <= 0) {
            continue;
        }
        char bytes[16 * 1024];
        const ssize_t count = ::recv(this->descriptor, bytes, sizeof bytes, 0);
        if (count <= 0) {
            this->ended = true;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }
    return false;
}

std::string Connection::readThrough(const std::string &end, double seconds)
{
    const double latest = secondsSinceStart() + seconds;
    while (true) {
        const std::size_t at = this->buffer.find(end);
        if (at != std::string::npos) {
            std::string bytes = this->buffer.substr(0, at + end.size());
            this->buffer.erase(0, at + end.size());
            return bytes;
        }
        if (!this->fill(latest - secondsSinceStart())) {
            return {};
        }
    }
}

std::string Connection::readBytes(std::size_t count, double seconds)
{
    const double latest = secondsSinceStart() + seconds;
    while (this->buffer.size() < count) {
        if (!this->fill(latest - secondsSinceStart())) {
            return {};
        }
    }
    std::string bytes = this->buffer.substr(0, count);
    this->buffer.erase(0, count);
    return bytes;
}

std::string Connection::readSome(double seconds)
{
    if (this->buffer.empty()) {
        this->fill(seconds);
    }
    return std::exchange(this->buffer, {});
}

bool Connection::readHead(Message &message, double seconds)
{
    const std::string head = this->readThrough("\r\n\r\n", seconds);
    if (head.empty()) {
        return false;
    }
    message = Message();
    std::size_t begin = 0;
    while (begin + 2 < head.size()) {
        const std::size_t end = head.find("\r\n", begin);
        const std::string line = head.substr(begin, end - begin);
        begin = end + 2;
        if (message.start.empty()) {
            message.start = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            message.headers.emplace_back(line.substr(0, colon), trimmed(line.substr(colon + 1)));
        }
    }
    return true;
}

bool Connection::readRequest(Message &message, double seconds)
{
    if (!this->readHead(message, seconds)) {
        return false;
    }
    const std::string length = findHeader(message.headers, "Content-Length");
    if (!length.empty()) {
        const auto count = static_cast<std::size_t>(std::stoull(length));
        message.body = this->readBytes(count, seconds);
        return message.body.size() == count;
    }
    if (lower(findHeader(message.headers, "Transfer-Encoding")) == "chunked") {
        while (true) {
            const std::string line = this->readThrough("\r\n", seconds);
            if (line.empty()) {
                return false;
            }
            const auto count = static_cast<std::size_t>(std::stoull(line, nullptr, 16));
            const std::string chunk = this->readBytes(count + 2, seconds);
            if (chunk.size() != count + 2) {
                return false;
            }
            if (count == 0) {
                return true;
            }
            message.body += chunk.substr(0, count);
        }
    }
    return true;
}

bool Connection::isClosed() const
{
    pollfd waiting {this->descriptor, POLLIN | POLLRDHUP, 0};
    ::poll(&waiting, 1, 0);
    return (waiting.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Connection::shutDown() const
{
    ::shutdown(this->descriptor, SHUT_RDWR);
}

void Connection::reset()
{
    const linger now {1, 0};
    ::setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    this->close();
}

void Connection::close()
{
    if (this->descriptor >= 0) {
        ::close(this->descriptor);
        this->descriptor = -1;
        this->ended = true;
    }
}

bool Connection::hasEnded() const
{
    return this->ended;
}

std::unique_ptr<Connection> connectTo(std::uint16_t port, int receiveBuffer)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof receiveBuffer);
    }
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<Connection>(descriptor);
}

std::uint16_t freePort()
{
    const int descriptor = bindTo(0);
    const std::uint16_t port = portOf(descriptor);
    ::close(descriptor);
    return port;
}

Listener::Listener(std::function<void(Connection &)> serve) : descriptor(bindTo(0)), number(portOf(this->descriptor)), serve(std::move(serve))
{
    ::listen(this->descriptor, 256);
    std::thread([this] {
        while (true) {
            const int accepted = ::accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            std::thread([this, accepted] {
                Connection connection(accepted);
                this->serve(connection);
            }).detach();
        }
    }).detach();
}

// The case ends its process without unwinding, so listeners are never destroyed while their threads run.
Listener::~Listener() = default;

std::uint16_t Listener::port() const
{
    return this->number;
}

Store::Store()
{
    this->listener = std::make_unique<Listener>([this](Connection &connection) { this->serve(connection); });
}

std::uint16_t Store::port() const
{
    return this->listener->port();
}

std::string Store::objectText(const std::string &name, const Object &object)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision)
        + R"(,"created":1,"finalizers":[],"deletionPending":false},)" + R"("spec":)" + object.spec + R"(,"status":)"
        + (object.status.empty() ? "null" : object.status) + "}";
}

void Store::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(this->mutex);
    Object &object = this->objects[kind][name];
    object.revision = ++this->revision;
    object.spec = spec;
    this->events.push_back({this->revision, kind, R"({"deleted":false,"object":)" + objectText(name, object) + "}"});
}

void Store::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(this->mutex);
    Object &object = this->objects[kind][name];
    object.revision = ++this->revision;
    this->events.push_back({this->revision, kind, R"({"deleted":true,"object":)" + objectText(name, object) + "}"});
    this->objects[kind].erase(name);
}

std::string Store::list(const std::string &kind)
{
    const std::lock_guard lock(this->mutex);
    std::string entries;
    for (const auto &[name, object] : this->objects[kind]) {
        entries += (entries.empty() ? "" : ",") + objectText(name, object);
    }
    return R"({"entries":[)" + entries + R"(],"hasMore":false,"at":)" + std::to_string(this->revision) + "}";
}

std::string Store::watch(const std::string &kind, std::uint64_t after, int waitMilliseconds)
{
    const double end = secondsSinceStart() + waitMilliseconds / 1000.0;
    while (true) {
        {
            const std::lock_guard lock(this->mutex);
            std::string found;
            for (const Event &event : this->events) {
                if (event.kind == kind && event.revision > after) {
                    found += (found.empty() ? "" : ",") + event.text;
                }
            }
            if (!found.empty() || secondsSinceStart() >= end) {
                return R"({"events":[)" + found + R"(],"at":)" + std::to_string(this->revision) + "}";
            }
        }
        sleepFor(0.01);
    }
}

std::string Store::writeStatus(const std::string &kind, const std::string &name, const std::string &body, int &status)
{
    const std::lock_guard lock(this->mutex);
    const auto known = this->objects[kind].find(name);
    if (known == this->objects[kind].end()) {
        status = notFound;
        return "{}";
    }
    const std::size_t revisionAt = body.find("\"revision\":");
    const std::size_t statusAt = body.find("\"status\":");
    if (revisionAt != std::string::npos && std::stoull(body.substr(revisionAt + 11)) != known->second.revision) {
        status = conflict;
        return objectText(name, known->second);
    }
    if (statusAt != std::string::npos) {
        known->second.status = body.substr(statusAt + 9, body.find('}', statusAt) - statusAt - 8);
        known->second.revision = ++this->revision;
        this->events.push_back({this->revision, kind, R"({"deleted":false,"object":)" + objectText(name, known->second) + "}"});
        record("store: status of " + kind + "/" + name + " = " + known->second.status);
    }
    return objectText(name, known->second);
}

std::string Store::answer(const Message &request, int &status)
{
    const std::string target = request.target();
    const std::string path = target.substr(0, target.find('?'));
    static const std::string prefix = "/objects/";
    if (path.rfind(prefix, 0) != 0) {
        status = notFound;
        return "{}";
    }
    const std::string rest = path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    if (request.method() == "PUT" && slash != std::string::npos) {
        const std::string name = rest.substr(slash + 1, rest.find('/', slash + 1) - slash - 1);
        return this->writeStatus(kind, name, request.body, status);
    }
    const std::string after = queryValue(target, "watch");
    return after.empty() ? this->list(kind) : this->watch(kind, std::stoull(after), std::stoi(queryValue(target, "waitMs")));
}

void Store::serve(Connection &connection)
{
    Message request;
    while (connection.readRequest(request, 60)) {
        int status = 200;
        const std::string body = this->answer(request, status);
        const std::string head = "HTTP/1.1 " + std::to_string(status) + " " + reasonPhrase(status)
            + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        if (!connection.write(head + body)) {
            return;
        }
    }
}

std::string endpointSpec(const std::string &service, std::uint16_t port, const std::string &state, const std::string &version)
{
    return R"({"service":")" + service + R"(","address":"127.0.0.1:)" + std::to_string(port) + R"(","zone":"zone-a","version":")" + version
        + R"(","slots":6,"state":")" + state + R"(","coldRemainingMs":0,"sequence":1,"born":1700000000000})";
}

EntrySettings makeEntrySettings(const std::string &name, const Store &store)
{
    EntrySettings settings;
    settings.name = name;
    settings.callers = freePort();
    settings.readiness = freePort();
    settings.peers = freePort();
    settings.metrics = freePort();
    settings.store = store.port();
    settings.seeds = {settings.peers};
    return settings;
}

Entry::Entry(EntrySettings settings, std::string folder) : settings(std::move(settings)), folder(std::move(folder))
{
}

Entry::~Entry()
{
    if (this->isRunning()) {
        ::kill(this->process, SIGKILL);
        ::waitpid(this->process, nullptr, 0);
    }
}

// The values of bounds are those of the sheets' small installations.
void Entry::start()
{
    const std::string file = this->folder + "/" + this->settings.name + ".yaml";
    std::ofstream out(file);
    const auto address = [](std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); };
    out << "instance: " << this->settings.name << "\nfailure_domain: zone-a\nlisten: " << address(this->settings.callers)
        << "\nreadiness_listen: " << address(this->settings.readiness) << "\npeer_listen: " << address(this->settings.peers)
        << "\nmetrics_listen: " << address(this->settings.metrics) << "\nstore: " << address(this->settings.store) << "\nseeds: [";
    for (std::size_t i = 0; i < this->settings.seeds.size(); ++i) {
        out << (i == 0 ? "\"" : ", \"") << address(this->settings.seeds[i]) << "\"";
    }
    out << "]\ncore_share: 0.25\nstop_limit_s: 8\nretry_ratio: 0.9\nretry_allowance: 56\nretry_window_s: 10\nexposure_share: 0.15\n"
        << "exposure_tolerance: 30\nrollback_limit_ms: 5000\ndrain_limit_ms: 2000\nconfiguration_limit_ms: 2000\nsession_lifetime_s: 5\n"
        << "contracts: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \"tenants\", \"platform\", \"rollout\"]\n"
        << "domain_regions: [\"zone-a=region-a\"]\n";
    out.close();
    const std::string log = this->folder + "/" + this->settings.name + ".log";
    const std::string limit = std::to_string(this->settings.memoryLimitMb);
    this->endStatus.reset();
    this->process = ::fork();
    if (this->process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::setenv("GODWITFORK_CONFIG", file.c_str(), 1);
        ::execl("target/bin/godwitfork-entry", "target/bin/godwitfork-entry", "--memory-limit-mb", limit.c_str(), nullptr);
        ::_exit(127);
    }
}

bool Entry::isReady() const
{
    const auto connection = connectTo(this->settings.readiness);
    Message answer;
    return connection && connection->write("GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n") && connection->readHead(answer, 1)
        && answer.status() == 200;
}

bool Entry::waitUntilReady(double seconds) const
{
    const double end = secondsSinceStart() + seconds;
    while (secondsSinceStart() < end) {
        if (this->isReady()) {
            return true;
        }
        sleepFor(0.05);
    }
    return false;
}

void Entry::signal(int number) const
{
    ::kill(this->process, number);
}

bool Entry::isRunning()
{
    return this->process > 0 && !this->waitForEnd(0);
}

double Entry::residentMb() const
{
    std::ifstream file("/proc/" + std::to_string(this->process) + "/statm");
    double whole = 0;
    double resident = 0;
    file >> whole >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

std::optional<int> Entry::waitForEnd(double seconds)
{
    const double end = secondsSinceStart() + seconds;
    while (!this->endStatus) {
        int status = 0;
        if (::waitpid(this->process, &status, WNOHANG) == this->process) {
            this->endStatus = status;
            break;
        }
        if (secondsSinceStart() >= end) {
            return std::nullopt;
        }
        sleepFor(0.02);
    }
    return this->endStatus;
}

const EntrySettings &Entry::values() const
{
    return this->settings;
}

Folder::Folder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "godwitfork-case-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->name = pattern;
}

Folder::~Folder()
{
    if (std::getenv("KEEP") == nullptr) {
        std::error_code ignored;
        std::filesystem::remove_all(this->name, ignored);
    } else {
        std::cerr << this->name << "\n";
    }
}

const std::string &Folder::path() const
{
    return this->name;
}

std::string answerHead(const std::string &id, const std::string &framing)
{
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: ";
    head.append(id).append("\r\nX-Response-Signature: s1.").append(id).append("\r\n").append(framing).append("\r\n\r\n");
    return head;
}

std::string chunk(const std::string &bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return std::string(size).append(bytes).append("\r\n");
}

std::string requestText(const std::string &method, const std::string &path, const Headers &headers, const std::string &body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    if (!body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

int runCase(int argc, char **argv, const std::function<Verdict()> &body)
{
    std::signal(SIGPIPE, SIG_IGN);
    openRecord(argc > 1 ? argv[1] : "record.txt");
    Verdict verdict = CouldNotRun;
    try {
        record(hasTrouble() ? "run with the disruption" : "run without the disruption");
        verdict = body();
    } catch (const std::exception &error) {
        record(std::string("the case could not run: ") + error.what());
    }
    record(verdict == Held ? "the rule held" : verdict == Broken ? "the rule was broken" : "the case could not run");
    return verdict;
}

} // namespace Rig
