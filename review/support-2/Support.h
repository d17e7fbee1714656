#pragma once

#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

/** Stand-ins for the scripts of this review: consumers, workers and the operator, over plain sockets of the loopback. */
namespace Review {

/** \returns the steady clock in ms */
std::uint64_t nowMs();
void sleepMs(std::uint64_t durationMs);

/** \class Socket
 * \brief A TCP connection of the loopback; closed with the object.
 */
class Socket
{
public:
    explicit Socket(int descriptor = -1);
    ~Socket();
    Socket(Socket &&other) noexcept;
    Socket &operator=(Socket &&other) noexcept;
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /** \returns a connection to \a address, or one that is not open after \a timeoutMs */
    static Socket connectTo(const std::string &address, std::uint64_t timeoutMs);

    bool isOpen() const;
    int descriptor() const;
    /** Sends all of \a bytes, waiting for the peer. \returns false when the connection ended */
    bool send(std::string_view bytes) const;
    /** Sends what is taken at once. */
    void sendSome(std::string_view bytes) const;
    /** Appends what arrives within \a timeoutMs to \a buffer. \returns the number of bytes, 0 at the end, -1 at a time-out or an error */
    long receive(std::string &buffer, std::uint64_t timeoutMs) const;

private:
    int file;
};

/** Header fields by lower-case name. */
using Fields = std::map<std::string, std::string>;

/** \class Message
 * \brief A request or an answer, as read from a connection.
 */
struct Message {
    std::string firstLine;
    Fields fields;
    std::string body;
};

/** \class Answer
 * \brief What a call got. The status is 0 when there was no whole answer in time.
 */
struct Answer {
    unsigned status = 0;
    std::string body;
    std::uint64_t tookMs = 0;
};

/** Makes one call on a new connection. */
Answer
call(const std::string &address, const std::string &method, const std::string &target, const Fields &fields, const std::string &body, std::uint64_t timeoutMs);

/** \class Record
 * \brief The record.txt of a script.
 */
class Record
{
public:
    explicit Record(const std::string &path);
    void line(const std::string &text);

private:
    std::mutex mutex;
    std::ofstream file;
    const std::uint64_t startedMs;
};

/** \class Run
 * \brief A request that a worker has begun to work on.
 */
struct Run {
    std::string id;
    std::string requestLine;
    std::size_t bodyBytes = 0;
};

/** \class Worker
 * \brief A worker of a service: registers with the system and answers on a thread for each connection.
 */
class Worker
{
public:
    /** Answers a request other than a status check. \returns whether the connection stays open */
    using Handler = std::function<bool(const Socket &connection, const Message &request)>;

    Worker(std::string id, std::string service, unsigned slots, std::vector<std::string> controls, Handler handler);

    std::vector<Run> runs();
    const std::string &address() const;
    /** \returns how many of its reports were answered with 200 */
    unsigned acknowledgedBeats() const;

private:
    void listen();
    void accept();
    void serve(const Socket &connection);
    void beat();

    const std::string id;
    const std::string service;
    const unsigned slots;
    const std::vector<std::string> controls;
    const Handler handler;
    std::string ownAddress;
    int listener = -1;
    std::atomic<unsigned> acknowledged = 0;
    std::mutex mutex;
    std::vector<Run> seen;
};

/** Answers with 800 bytes, the receipt and the request's id. */
bool answerWhole(const Socket &connection, const Message &request);

/** \class Options
 * \brief What run.sh tells a program.
 */
struct Options {
    std::vector<std::string> controls;
    std::string gateway;
    std::string ready;
    int gatewayProcess = 0;
    /** 0 when there is one gateway only. */
    int otherGatewayProcess = 0;
    std::string record;
    bool hasTrouble = true;
};

/** Reads: CONTROL,CONTROL,... GATEWAY READY PID[,PID] RECORD TROUBLE. Ends the program with code 2 when there are others. */
Options readOptions(int argc, char **argv);

/** \returns the config of all scripts: a stream, an order that runs once at most and a lookup that may be repeated */
std::string config();

/** \returns the fields of a consumer's request with a new id */
Fields consumerFields(const std::string &id, std::uint64_t deadlineMs);

/** Sends the config until it is acknowledged, and waits until a lookup is served. Ends the program with code 2 when that takes too long. */
void waitUntilServing(const Options &options, Record &record);

/** \returns the figure in kB that the system gives for \a process under \a name, as VmRSS */
long memoryKb(int process, const std::string &name);

/** Ends the program; threads are not waited for. */
[[noreturn]] void endWith(int code);

} // namespace Review
