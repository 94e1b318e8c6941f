#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

/// Stand-ins for the clients, the replicas, the store and the supervisor of godwitfork-entry. Each connection has a thread of its own.
namespace Rig
{

using Clock = std::chrono::steady_clock;

double secondsSinceStart();
void sleepFor(double seconds);
void sleepUntil(double secondsSinceStart);

/// Writes a line with the time since the start to record.txt.
void record(const std::string &line);
void openRecord(const std::string &file);

/// Whether the run includes the disruption.
bool hasTrouble();

using Headers = std::vector<std::pair<std::string, std::string>>;

std::string findHeader(const Headers &headers, const std::string &name);

struct Message {
    /// Request line or status line.
    std::string start;
    Headers headers;
    std::string body;

    std::string method() const;
    std::string target() const;
    int status() const;
};

/// A TCP connection that is read through a buffer.
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool write(const std::string &bytes);
    /// Reads up to and including `end`; empty if the connection ends or `seconds` pass first.
    std::string readThrough(const std::string &end, double seconds);
    std::string readBytes(std::size_t count, double seconds);
    /// Reads what is there; empty at the end of the connection or after `seconds`.
    std::string readSome(double seconds);
    bool readHead(Message &message, double seconds);
    /// Reads a request with a body that has a length or chunks.
    bool readRequest(Message &message, double seconds);
    /// Whether the peer has closed or reset the connection. Unread bytes do not count.
    bool isClosed() const;
    /// Ends the connection from another thread; the thread that serves it closes it.
    void shutDown() const;
    /// Closes with a reset instead of a regular end.
    void reset();
    void close();
    bool hasEnded() const;

private:
    bool fill(double seconds);

    int descriptor;
    std::string buffer;
    bool ended = false;
};

/// Connects to a loopback address; null if it is refused.
std::unique_ptr<Connection> connectTo(std::uint16_t port, int receiveBuffer = 0);

std::uint16_t freePort();

/// Accepts connections and serves each one on a thread.
class Listener
{
public:
    explicit Listener(std::function<void(Connection &)> serve);
    ~Listener();
    std::uint16_t port() const;

private:
    int descriptor;
    std::uint16_t number;
    std::function<void(Connection &)> serve;
};

/// The platform's store: lists, watches and status writes.
class Store
{
public:
    Store();
    std::uint16_t port() const;
    /// `spec` is JSON text.
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void remove(const std::string &kind, const std::string &name);

private:
    struct Object {
        std::uint64_t revision = 0;
        std::string spec;
        std::string status;
    };
    struct Event {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };

    void serve(Connection &connection);
    std::string answer(const Message &request, int &status);
    static std::string objectText(const std::string &name, const Object &object);
    std::string list(const std::string &kind);
    std::string watch(const std::string &kind, std::uint64_t after, int waitMilliseconds);
    std::string writeStatus(const std::string &kind, const std::string &name, const std::string &body, int &status);

    std::mutex mutex;
    std::uint64_t revision = 10;
    std::map<std::string, std::map<std::string, Object>> objects;
    std::vector<Event> events;
    std::unique_ptr<Listener> listener;
};

std::string endpointSpec(const std::string &service, std::uint16_t port, const std::string &state = "ready", const std::string &version = "1");

/// Settings that the platform's template takes from the deployment.
struct EntrySettings {
    std::string name = "edge-1";
    std::uint16_t callers = 0;
    std::uint16_t readiness = 0;
    std::uint16_t peers = 0;
    std::uint16_t metrics = 0;
    std::uint16_t store = 0;
    std::vector<std::uint16_t> seeds;
    int memoryLimitMb = 260;
};

EntrySettings makeEntrySettings(const std::string &name, const Store &store);

/// One process of the deploy file's role.
class Entry
{
public:
    Entry(EntrySettings settings, std::string folder);
    ~Entry();

    void start();
    bool waitUntilReady(double seconds) const;
    bool isReady() const;
    void signal(int number) const;
    bool isRunning();
    /// Resident memory of the process, in units of 1,000,000 bytes; 0 if it has ended.
    double residentMb() const;
    /// Waits for the end of the process; empty if it still runs after `seconds`. Otherwise the status of waitpid.
    std::optional<int> waitForEnd(double seconds);
    const EntrySettings &values() const;

private:
    EntrySettings settings;
    std::string folder;
    pid_t process = 0;
    std::optional<int> endStatus;
};

/// A temporary folder that is removed at the end.
class Folder
{
public:
    Folder();
    ~Folder();
    const std::string &path() const;

private:
    std::string name;
};

/// Head of a replica's answer with its signature; `framing` is the header that says how the body ends.
std::string answerHead(const std::string &id, const std::string &framing);
std::string chunk(const std::string &bytes);

std::string requestText(const std::string &method, const std::string &path, const Headers &headers, const std::string &body);

enum Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Runs the case and returns the exit status of the process: `CouldNotRun` if it throws.
int runCase(int argc, char **argv, const std::function<Verdict()> &body);

} // namespace Rig
