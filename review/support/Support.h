#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/** Stand-ins and helpers of the review's scripts: HTTP over loopback, workers, the operator, and the project's processes. */
namespace Review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
/** By lower-case name. */
using Headers = std::map<std::string, std::string>;

/** \returns the ms since the program started */
std::int64_t nowMs();
void sleepMs(std::int64_t ms);

/** Writes the record of a case, a line an event. */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex mutex;
    std::ofstream file;
};

struct Request {
    std::string method;
    std::string path;
    Headers headers;
    std::string body;

    std::string header(const std::string &name) const;
};

struct Response {
    /** 0 when no whole answer came. */
    int status = 0;
    Headers headers;
    std::string body;
    std::string error;
};

/** Makes one HTTP call on a new connection. \a address: IP:PORT. */
Response call(const std::string &address, const Request &request, std::int64_t timeoutMs);
/** As call(), over a link that brings \a bytesPerSecond. */
Response callSlowly(const std::string &address, const Request &request, std::int64_t timeoutMs, std::int64_t bytesPerSecond);

/** A channel of a consumer, kept for several requests. */
class Channel
{
public:
    explicit Channel(const std::string &address);
    ~Channel();
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;

    Response call(const Request &request, std::int64_t timeoutMs);

    struct Private;

private:
    std::unique_ptr<Private> d;
};

/** An HTTP server, one thread a connection. */
class Server
{
public:
    using Handler = std::function<Response(const Request &)>;
    using Taker = std::function<bool(int connection, const Request &)>;

    /** \a taker: asked first; true when it has answered by itself, after which the connection is closed. */
    Server(std::string address, Handler handler, Taker taker = {});
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    const std::string &address() const;

private:
    void accept();
    void serve(int connection);

    std::string listenAddress;
    Handler handler;
    Taker taker;
    int listener = -1;
    std::atomic<bool> ended = false;
    std::mutex mutex;
    std::vector<int> connections;
    std::vector<std::thread> threads;
    std::thread acceptor;
};

/** A process of the project; killed when it goes out of scope. */
class Process
{
public:
    Process(const std::vector<std::string> &words, const std::string &logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    /** \returns the memory that the process uses, in KB */
    std::int64_t memoryKb() const;
    /** \returns whether the process ended in time */
    bool waitEnd(std::int64_t boundMs);

private:
    pid_t pid = 0;
    bool ended = false;
};

/** Free ports of a run, the same at all of its loopback addresses. */
struct Ports {
    unsigned link = 0;
    unsigned control = 0;
    unsigned front = 0;
    unsigned ready = 0;
    unsigned worker = 0;
    unsigned metrics = 0;
};

/** A small deployment: replicas and gateways as the deploy file starts them, with settings made like its templates. */
class Deployment
{
public:
    Deployment();
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    struct Node {
        std::string ip;
        std::unique_ptr<Process> process;
    };

    /** Starts replica number \a number; \a seeds: numbers of the replicas that its settings name. */
    void startReplica(unsigned number, const std::vector<unsigned> &seeds, bool isBootstrap);
    void startGateway(unsigned number, const std::vector<unsigned> &seeds);
    /** Starts the process of a replica or gateway again, with the settings that it has. */
    void restart(const std::string &name);
    Process &process(const std::string &name);
    static std::string replicaIp(unsigned number);
    static std::string gatewayIp(unsigned number);
    std::string control(unsigned replica) const;
    std::string front(unsigned gateway) const;
    std::string ready(unsigned gateway) const;
    const Ports &ports() const;
    const std::string &folder() const;

private:
    std::string seedList(const std::vector<unsigned> &seeds) const;
    void start(const std::string &name, const std::string &settings);

    std::string path;
    Ports freePorts;
    std::map<std::string, std::unique_ptr<Process>> processes;
};

/** The operator, and the calls of workers to the control addresses: tries one after the other until one gives a clear answer. */
class Control
{
public:
    Control(Record &caseRecord, std::vector<std::string> controlAddresses);

    void setAddresses(std::vector<std::string> controlAddresses);
    /** \returns the first answer that is not 5xx, 408 or 429; the last one when there is none within \a boundMs */
    Response call(const Request &request, std::int64_t boundMs, bool isRecorded = true);

private:
    Record &record;
    std::mutex mutex;
    std::vector<std::string> addresses;
    std::size_t next = 0;
};

struct WorkerOptions {
    std::string id;
    std::string service;
    std::string address;
    std::string version = "v1";
    unsigned slots = 8;
    /** How long a request runs. */
    std::int64_t workMs = 5;
    /** Answers a request that runs; empty: 200 with the worker's name. */
    std::function<Response(const Request &)> answer;
    /** Answers a request on its connection by itself; false leaves it to the worker. Empty: never. */
    std::function<bool(int connection, const Request &)> take;
};

/** A request that a worker began to work on. */
struct Run {
    std::int64_t atMs = 0;
    std::string request;
    std::string worker;
    std::string service;
    std::string version;
    int status = 0;
};

/** What all workers of a case have run. */
class Runs
{
public:
    void add(Run run);
    std::vector<Run> all() const;
    std::vector<Run> of(const std::string &request) const;

private:
    mutable std::mutex mutex;
    std::vector<Run> runs;
};

/** A sound worker: registers, refuses what is meant for another one, echoes the id of a request and seals its answers. */
class Worker
{
public:
    Worker(Control &workerControl, Record &caseRecord, Runs &caseRuns, WorkerOptions given);
    ~Worker();
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    const WorkerOptions &options() const;
    /** Says with the next heartbeat, at once, that the worker leaves. \returns whether that was acknowledged */
    bool drain();

private:
    Response handle(const Request &request);
    bool beat();
    void beatAlways();

    Control &control;
    Record &record;
    Runs &runs;
    WorkerOptions given;
    std::int64_t bornMs = 0;
    std::mutex beatMutex;
    std::uint64_t sequence = 0;
    std::atomic<bool> isDraining = false;
    std::atomic<bool> ended = false;
    std::unique_ptr<Server> server;
    std::thread beats;
};

/** \returns a request of a consumer, with its own id */
Request consumerRequest(const std::string &id, const std::string &path, const std::string &key, std::int64_t deadlineMs);

/** \returns whether the disruption of the case is wanted */
bool hasTrouble();

/** Exit codes of a case. */
constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

} // namespace Review
