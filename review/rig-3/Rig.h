#pragma once

#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

/// Stand-ins for the store, the replicas and the clients of godwitfork-entry, with a thread for each connection.
namespace Rig
{

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Json = nlohmann::json;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// Joins the parts to one text.
template<typename... Parts>
std::string joined(const Parts &...parts)
{
    std::ostringstream text;
    (text << ... << parts);
    return text.str();
}

void pause(Milliseconds duration);
std::string header(const Headers &headers, const std::string &name);

/// Writes record.txt: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path);
    template<typename... Parts>
    void line(const Parts &...parts)
    {
        this->write(joined(parts...));
    }

private:
    void write(const std::string &text);

    std::mutex mutex;
    int file;
    Clock::time_point start = Clock::now();
};

struct Request {
    std::string method;
    std::string target;
    Headers headers;
    std::string body;
};

/// Answer as a client got it; status 0 if the connection ended before a whole head, or if that is none.
struct Answer {
    int status = 0;
    std::string statusLine;
    Headers headers;
    std::string body;
    bool isComplete = false;
    /// Whether the peer closed or reset the connection before the answer was complete.
    bool isClosed = false;
};

/// One TCP connection, with the bytes that were received and not used yet.
class Connection
{
public:
    explicit Connection(int descriptor);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Opens a connection to a loopback port; the result is not open if that fails.
    static std::unique_ptr<Connection> open(int port);
    bool isOpen() const;
    bool send(const std::string &bytes);
    bool readRequest(Request &request);
    /// Reads one answer to a request with the given method. `limit` is the longest silence.
    Answer readAnswer(Milliseconds limit, const std::string &method = "GET");
    /// Waits until the peer has closed the connection, at most `limit`.
    void waitForEnd(Milliseconds limit);

private:
    bool readHead(std::string &first, Headers &headers);
    bool readBytes(std::size_t count, std::string &body);
    bool readChunks(std::string &body);
    bool receive();

    int descriptor;
    std::string buffer;
    bool isEnded = false;
};

/// Listener on a free loopback port that serves each connection on a thread of its own.
class Listener
{
public:
    explicit Listener(std::function<void(Connection &)> serve);
    int port() const;

private:
    std::function<void(Connection &)> serve;
    int boundPort = 0;
    int descriptor;
};

int freePort();

/// The platform's store: lists, watches, conditional writes of a status, and the restore from a copy.
class Store
{
public:
    Store();
    int port() const;
    /// Writes an object as the operator or a replica does. Returns the revision, or 0 while the store is away.
    std::uint64_t put(const std::string &kind, const std::string &name, const Json &spec);
    /// Keeps a copy of what the store holds now.
    void copy();
    /// The store is away: it accepts connections and answers nothing.
    void leave();
    /// Returns from the kept copy. Connections from before stay silent.
    void restore();
    std::uint64_t revision();
    int era();

private:
    struct State {
        std::uint64_t revision = 100;
        std::map<std::string, std::map<std::string, Json>> objects;
    };
    struct Event {
        std::uint64_t revision;
        std::string kind;
        Json event;
    };

    void serve(Connection &connection);
    std::string answer(const Request &request, std::uint64_t generation, int &status);
    std::string watch(const std::string &kind, const std::string &query, std::uint64_t generation, int &status);
    Json change(const std::string &kind, const std::string &name, const std::function<void(Json &)> &edit);

    std::mutex mutex;
    std::condition_variable changed;
    State state;
    State kept;
    std::deque<Event> events;
    /// Watches from an older revision get 410.
    std::uint64_t oldest = 0;
    int storeEra = 1;
    bool isAway = false;
    /// Rises when the store leaves, so that calls from before are never answered.
    std::uint64_t generation = 1;
    std::unique_ptr<Listener> listener;
};

/// What a replica got.
struct Run {
    std::string id;
    std::string replica;
    std::string method;
    std::string target;
    std::string account;
    std::string body;
    Clock::time_point begun;
    /// End of the work; not set while the replica works.
    Clock::time_point ended;
};

/// Runs of all replicas.
class RunBook
{
public:
    explicit RunBook(Record &record);
    /// Records that a replica begins to work. Returns the run's number.
    std::size_t add(const Run &run);
    void end(std::size_t number);
    std::vector<Run> of(const std::string &id);

private:
    std::mutex mutex;
    Record &record;
    std::vector<Run> runs;
};

struct ReplicaSettings {
    std::string id;
    std::string service;
    std::string zone;
    Milliseconds work = Milliseconds(60);
    /// Events of a stream, with the same pause before each of them.
    int events = 3;
    /// Pause before the fifth event of a run, given the request's id and the number of runs that it had before; none if not set.
    std::function<Milliseconds(const std::string &, std::size_t)> preemption;
    /// Whether a run goes on when its connection is closed.
    bool ignoresClose = false;
};

/// A replica. It runs each request that names it, with a short stream of events as the answer on paths below /draft/, and reports to the store.
class Replica
{
public:
    Replica(ReplicaSettings settings, Store &store, RunBook &book);
    int port() const;
    /// Writes the replica's entry. Returns whether the store took it.
    bool report();
    /// Reports at intervals until the process ends.
    void startReports(Milliseconds interval);

private:
    void serve(Connection &connection);
    bool sendStream(Connection &connection, const Request &request, const std::string &common, std::size_t runsBefore) const;

    ReplicaSettings settings;
    Store &store;
    RunBook &book;
    std::int64_t sequence = 0;
    std::int64_t born;
    std::mutex mutex;
    std::unique_ptr<Listener> listener;
};

/// A process of godwitfork-entry, started with the command of the deploy file.
class Entry
{
public:
    /// `seeds` are ports of peers, as the settings name them.
    Entry(const std::string &program,
          const std::string &folder,
          const std::string &name,
          const std::string &zone,
          int peerPort,
          const std::vector<int> &seeds,
          int storePort);
    ~Entry();
    Entry(const Entry &) = delete;
    Entry &operator=(const Entry &) = delete;

    int port() const;
    bool isRunning();
    /// How the process ended, as text.
    std::string end() const;
    bool waitUntilReady(Milliseconds limit) const;

private:
    int callers;
    int readiness;
    pid_t process;
    int status = 0;
    bool hasEnded = false;
};

/// Request with the headers of a client of the platform.
std::string requestText(const std::string &method,
                        const std::string &target,
                        const std::string &id,
                        const std::string &key,
                        const std::string &body,
                        const std::string &more = "");

/// One route of a configuration with a service of the same name as the route.
Json route(const std::string &name, const std::string &type, int timeoutMs, int maxAttempts);
Json configuration(std::int64_t version, const std::vector<Json> &routes, const std::vector<std::string> &services, const Json &tenants);

constexpr const char *host = "ficu95.example";

} // namespace Rig
