#include "Support.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace Review {
namespace {

constexpr std::int64_t HeartbeatMs = 1200;
constexpr std::int64_t CallMs = 1000;
const Clock::time_point Started = Clock::now();

sockaddr_in parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    return parsed;
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

bool waitFor(int socket, short events, std::int64_t untilMs)
{
    pollfd watched{.fd = socket, .events = events, .revents = 0};
    const std::int64_t left = untilMs - nowMs();
    return left > 0 && poll(&watched, 1, static_cast<int>(left)) > 0;
}

bool sendAll(int socket, const std::string &bytes, std::int64_t untilMs)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        if (!waitFor(socket, POLLOUT, untilMs)) {
            return false;
        }
        const ssize_t count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** Reads one HTTP message: its first line, its header fields and its body. */
class Reader
{
public:
    explicit Reader(int readSocket, std::int64_t readRate = 0) : socket(readSocket), bytesPerSecond(readRate)
    { }

    bool read(std::string &firstLine, Headers &headers, std::string &body, std::int64_t untilMs, bool isResponse)
    {
        std::size_t end = std::string::npos;
        while ((end = this->bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!this->more(untilMs)) {
                return false;
            }
        }
        this->parseHead(this->bytes.substr(0, end), firstLine, headers);
        this->bytes.erase(0, end + 4);
        if (headers.contains("transfer-encoding")) {
            return this->readChunks(body, untilMs);
        }
        if (headers.contains("content-length")) {
            return this->take(std::stoul(headers["content-length"]), body, untilMs);
        }
        while (isResponse && this->more(untilMs)) { }
        body = isResponse ? std::exchange(this->bytes, {}) : std::string();
        return true;
    }

private:
    bool more(std::int64_t untilMs)
    {
        constexpr std::int64_t MsPerSecond = 1000;
        constexpr std::int64_t SliceMs = 20;
        char buffer[65536];
        if (!waitFor(this->socket, POLLIN, untilMs)) {
            return false;
        }
        std::size_t size = sizeof(buffer);
        if (this->bytesPerSecond > 0) {
            sleepMs(SliceMs);
            size = std::min(size, static_cast<std::size_t>(this->bytesPerSecond * SliceMs / MsPerSecond));
        }
        const ssize_t count = recv(this->socket, buffer, size, 0);
        if (count <= 0) {
            return false;
        }
        this->bytes.append(buffer, static_cast<std::size_t>(count));
        return true;
    }

    static void parseHead(const std::string &head, std::string &firstLine, Headers &headers)
    {
        std::size_t start = head.find("\r\n");
        firstLine = head.substr(0, start);
        while (start != std::string::npos) {
            const std::size_t end = head.find("\r\n", start + 2);
            const std::string line = head.substr(start + 2, end == std::string::npos ? end : end - start - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                headers[lowerCase(line.substr(0, colon))] = value == std::string::npos ? std::string() : line.substr(value);
            }
            start = end;
        }
    }

    bool take(std::size_t size, std::string &body, std::int64_t untilMs)
    {
        while (this->bytes.size() < size) {
            if (!this->more(untilMs)) {
                return false;
            }
        }
        body.append(this->bytes, 0, size);
        this->bytes.erase(0, size);
        return true;
    }

    bool readChunks(std::string &body, std::int64_t untilMs)
    {
        while (true) {
            std::size_t end = std::string::npos;
            while ((end = this->bytes.find("\r\n")) == std::string::npos) {
                if (!this->more(untilMs)) {
                    return false;
                }
            }
            const std::size_t size = std::stoul(this->bytes.substr(0, end), nullptr, 16);
            this->bytes.erase(0, end + 2);
            std::string mark;
            if (!this->take(size, body, untilMs) || !this->take(2, mark, untilMs)) {
                return false;
            }
            if (size == 0) {
                return true;
            }
        }
    }

    int socket;
    /** 0: as fast as it comes. */
    std::int64_t bytesPerSecond;
    std::string bytes;
};

std::string headText(const std::string &firstLine, const Headers &headers, std::size_t bodySize)
{
    std::string text = firstLine + "\r\n";
    for (const auto &[name, value] : headers) {
        text.append(name).append(": ").append(value).append("\r\n");
    }
    return text + "content-length: " + std::to_string(bodySize) + "\r\n\r\n";
}

unsigned freePort()
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = parseAddress("127.0.0.1:0");
    socklen_t size = sizeof(address);
    const bool isBound
        = bind(socket, reinterpret_cast<sockaddr *>(&address), size) == 0 && getsockname(socket, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    close(socket);
    if (!isBound) {
        throw std::runtime_error("no free port");
    }
    return ntohs(address.sin_port);
}

} // namespace

std::int64_t nowMs()
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - Started).count();
}

void sleepMs(std::int64_t ms)
{
    std::this_thread::sleep_for(Milliseconds(ms));
}

// ---- record ----

Record::Record(const std::string &path) : file(path, std::ios::trunc)
{ }

void Record::line(const std::string &text)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->file << nowMs() << " ms  " << text << std::endl;
}

// ---- HTTP ----

std::string Request::header(const std::string &name) const
{
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? std::string() : found->second;
}

struct Channel::Private {
    Private(const std::string &peerAddress, std::int64_t readRate)
        : address(peerAddress), connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)), reader(connection, readRate)
    {
        constexpr int SmallWindow = 64 * 1024;
        if (readRate > 0) {
            setsockopt(this->connection, SOL_SOCKET, SO_RCVBUF, &SmallWindow, sizeof(SmallWindow));
        }
    }

    ~Private()
    {
        close(this->connection);
    }

    Private(const Private &) = delete;
    Private &operator=(const Private &) = delete;

    bool connectUntil(std::int64_t untilMs)
    {
        if (this->isConnected) {
            return true;
        }
        const sockaddr_in peer = parseAddress(this->address);
        const bool isStarted = connect(this->connection, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) == 0 || errno == EINPROGRESS;
        int failure = 0;
        socklen_t size = sizeof(failure);
        this->isConnected = isStarted && waitFor(this->connection, POLLOUT, untilMs) && getsockopt(this->connection, SOL_SOCKET, SO_ERROR, &failure, &size) == 0
            && failure == 0;
        return this->isConnected;
    }

    Response call(const Request &request, std::int64_t timeoutMs)
    {
        const std::int64_t untilMs = nowMs() + timeoutMs;
        Response response;
        Headers headers = request.headers;
        headers.try_emplace("host", this->address);
        const std::string bytes = headText(request.method + " " + request.path + " HTTP/1.1", headers, request.body.size()) + request.body;
        std::string firstLine;
        if (!this->connectUntil(untilMs)) {
            response.error = "no connection";
        } else if (!sendAll(this->connection, bytes, untilMs) || !this->reader.read(firstLine, response.headers, response.body, untilMs, true)) {
            response.error = nowMs() >= untilMs ? "no answer in time" : "connection closed";
        } else {
            response.status = std::stoi(firstLine.substr(firstLine.find(' ') + 1));
        }
        return response;
    }

    std::string address;
    int connection;
    Reader reader;
    bool isConnected = false;
};

Channel::Channel(const std::string &address) : d(std::make_unique<Private>(address, 0))
{ }

Channel::~Channel() = default;

Response Channel::call(const Request &request, std::int64_t timeoutMs)
{
    return this->d->call(request, timeoutMs);
}

Response callSlowly(const std::string &address, const Request &request, std::int64_t timeoutMs, std::int64_t bytesPerSecond)
{
    return Channel::Private(address, bytesPerSecond).call(request, timeoutMs);
}

Response call(const std::string &address, const Request &request, std::int64_t timeoutMs)
{
    return callSlowly(address, request, timeoutMs, 0);
}

Server::Server(std::string address, Handler serverHandler, Taker serverTaker)
    : listenAddress(std::move(address)), handler(std::move(serverHandler)), taker(std::move(serverTaker))
{
    constexpr int Backlog = 128;
    const int on = 1;
    this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in own = parseAddress(this->listenAddress);
    if (bind(this->listener, reinterpret_cast<const sockaddr *>(&own), sizeof(own)) != 0 || listen(this->listener, Backlog) != 0) {
        throw std::runtime_error("cannot listen on " + this->listenAddress);
    }
    this->acceptor = std::thread([this] {
        this->accept();
    });
}

Server::~Server()
{
    this->ended = true;
    shutdown(this->listener, SHUT_RDWR);
    this->acceptor.join();
    {
        const std::lock_guard<std::mutex> lock(this->mutex);
        for (const int connection : this->connections) {
            shutdown(connection, SHUT_RDWR);
        }
    }
    for (std::thread &thread : this->threads) {
        thread.join();
    }
    close(this->listener);
}

const std::string &Server::address() const
{
    return this->listenAddress;
}

void Server::accept()
{
    while (!this->ended) {
        const int connection = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0) {
            continue;
        }
        const int on = 1;
        setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->connections.push_back(connection);
        this->threads.emplace_back([this, connection] {
            this->serve(connection);
        });
    }
}

void Server::serve(int connection)
{
    constexpr std::int64_t IdleMs = 60'000;
    Reader reader(connection);
    while (!this->ended) {
        Request request;
        std::string firstLine;
        if (!reader.read(firstLine, request.headers, request.body, nowMs() + IdleMs, false)) {
            break;
        }
        const std::size_t first = firstLine.find(' ');
        request.method = firstLine.substr(0, first);
        request.path = firstLine.substr(first + 1, firstLine.rfind(' ') - first - 1);
        if (this->taker && this->taker(connection, request)) {
            break;
        }
        Response response = this->handler(request);
        if (response.status == 0
            || !sendAll(connection,
                        headText("HTTP/1.1 " + std::to_string(response.status) + " -", response.headers, response.body.size()) + response.body,
                        nowMs() + IdleMs)) {
            break;
        }
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::erase(this->connections, connection);
    close(connection);
}

// ---- processes ----

Process::Process(const std::vector<std::string> &words, const std::string &logFile)
{
    constexpr mode_t LogMode = 0644;
    std::vector<std::string> copies = words;
    std::vector<char *> arguments;
    arguments.reserve(copies.size() + 1);
    for (std::string &word : copies) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, LogMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failed = posix_spawn(&this->pid, words.front().c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0) {
        throw std::runtime_error("cannot start " + words.front());
    }
}

Process::~Process()
{
    if (!this->ended) {
        kill(this->pid, SIGKILL);
        waitpid(this->pid, nullptr, 0);
    }
}

void Process::signal(int number) const
{
    if (!this->ended) {
        kill(this->pid, number);
    }
}

std::int64_t Process::memoryKb() const
{
    std::ifstream status("/proc/" + std::to_string(this->pid) + "/status");
    const std::string name = "VmRSS:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name)) {
            return std::stol(line.substr(name.size()));
        }
    }
    return 0;
}

bool Process::waitEnd(std::int64_t boundMs)
{
    constexpr std::int64_t IntervalMs = 10;
    const std::int64_t untilMs = nowMs() + boundMs;
    while (!this->ended && nowMs() < untilMs) {
        this->ended = waitpid(this->pid, nullptr, WNOHANG) == this->pid;
        if (!this->ended) {
            sleepMs(IntervalMs);
        }
    }
    return this->ended;
}

// ---- deployment ----

Deployment::Deployment()
{
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        throw std::runtime_error("no temporary folder");
    }
    this->path = name;
    for (unsigned *port :
         {&this->freePorts.link, &this->freePorts.control, &this->freePorts.front, &this->freePorts.ready, &this->freePorts.worker, &this->freePorts.metrics}) {
        *port = freePort();
    }
}

Deployment::~Deployment()
{
    this->processes.clear();
    std::error_code failure;
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(this->path, failure);
    }
}

std::string Deployment::replicaIp(unsigned number)
{
    return "127.1.0." + std::to_string(number);
}

std::string Deployment::gatewayIp(unsigned number)
{
    return "127.2.0." + std::to_string(number);
}

std::string Deployment::control(unsigned replica) const
{
    return Deployment::replicaIp(replica) + ":" + std::to_string(this->freePorts.control);
}

std::string Deployment::front(unsigned gateway) const
{
    return Deployment::gatewayIp(gateway) + ":" + std::to_string(this->freePorts.front);
}

std::string Deployment::ready(unsigned gateway) const
{
    return Deployment::gatewayIp(gateway) + ":" + std::to_string(this->freePorts.ready);
}

const Ports &Deployment::ports() const
{
    return this->freePorts;
}

const std::string &Deployment::folder() const
{
    return this->path;
}

std::string Deployment::seedList(const std::vector<unsigned> &seeds) const
{
    std::string list;
    for (const unsigned seed : seeds) {
        list += (list.empty() ? "\"" : ", \"") + this->control(seed) + "\"";
    }
    return list;
}

void Deployment::startReplica(unsigned number, const std::vector<unsigned> &seeds, bool isBootstrap)
{
    const std::string name = "replica-" + std::to_string(number);
    const std::string ip = Deployment::replicaIp(number);
    const std::string data = this->path + "/" + name;
    std::filesystem::create_directories(data);
    // As deploy/replica.json.tmpl.
    this->start(name,
                "{\"process\": \"" + name + R"(", "region": "r", "availabilityZone": "z-a", "seeds": [)" + this->seedList(seeds) + R"(], "metricsAddress": ")"
                    + ip + ":" + std::to_string(this->freePorts.metrics) + R"(", "seedPort": )" + std::to_string(this->freePorts.link)
                    + R"(, "timing": {"shutdownMs": 7800}, "replica": {"address": ")" + ip + ":" + std::to_string(this->freePorts.link)
                    + R"(", "dataFolder": ")" + data + R"(", "bootstrap": )" + (isBootstrap ? "true" : "false")
                    + R"(, "snapshotEvery": 64}, "control": {"address": ")" + this->control(number) + "\"}}");
}

void Deployment::startGateway(unsigned number, const std::vector<unsigned> &seeds)
{
    const std::string name = "gateway-" + std::to_string(number);
    // As deploy/gateway.json.tmpl, with the bounds of the small sites.
    this->start(name,
                "{\"process\": \"" + name + R"(", "region": "r", "availabilityZone": "z-a", "seeds": [)" + this->seedList(seeds) + R"(], "metricsAddress": ")"
                    + Deployment::gatewayIp(number) + ":" + std::to_string(this->freePorts.metrics) + R"(", "seedPort": )"
                    + std::to_string(this->freePorts.link) + R"(, "timing": {"shutdownMs": 7800, "linkHeartbeatMs": 500}, "gateway": {"callerAddress": ")"
                    + this->front(number) + R"(", "readyAddress": ")" + this->ready(number)
                    + R"(", "revocationMs": 5000, "sessionSeconds": 5, "retryRatio": 0.9, "retryWindowSeconds": 10, "retrySlack": 56, "graceSeconds": 8}})");
}

void Deployment::start(const std::string &name, const std::string &settings)
{
    std::ofstream(this->path + "/" + name + ".json") << settings << '\n';
    this->restart(name);
}

void Deployment::restart(const std::string &name)
{
    // The run line of deploy/system.toml.
    this->processes[name] = std::make_unique<Process>(
        std::vector<std::string>{"target/app/apricothead", "serve", "--settings=" + this->path + "/" + name + ".json"}, this->path + "/" + name + ".log");
}

Process &Deployment::process(const std::string &name)
{
    return *this->processes.at(name);
}

// ---- control ----

Control::Control(Record &caseRecord, std::vector<std::string> controlAddresses) : record(caseRecord), addresses(std::move(controlAddresses))
{ }

void Control::setAddresses(std::vector<std::string> controlAddresses)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->addresses = std::move(controlAddresses);
}

Response Control::call(const Request &request, std::int64_t boundMs, bool isRecorded)
{
    constexpr std::int64_t PauseMs = 100;
    constexpr int Timeout = 408;
    constexpr int TooMany = 429;
    constexpr int ServerError = 500;
    const std::int64_t untilMs = nowMs() + boundMs;
    Response response;
    do {
        std::string address;
        {
            const std::lock_guard<std::mutex> lock(this->mutex);
            address = this->addresses[this->next++ % this->addresses.size()];
        }
        response = Review::call(address, request, CallMs);
        if (isRecorded) {
            this->record.line(request.method + " " + request.path + " at " + address + " -> " + std::to_string(response.status) + " " + response.error);
        }
        if (response.status != 0 && response.status != Timeout && response.status != TooMany && response.status < ServerError) {
            return response;
        }
        sleepMs(PauseMs);
    } while (nowMs() < untilMs);
    return response;
}

// ---- workers ----

void Runs::add(Run run)
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->runs.push_back(std::move(run));
}

std::vector<Run> Runs::all() const
{
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->runs;
}

std::vector<Run> Runs::of(const std::string &request) const
{
    std::vector<Run> found;
    for (const Run &run : this->all()) {
        if (run.request == request) {
            found.push_back(run);
        }
    }
    return found;
}

Worker::Worker(Control &workerControl, Record &caseRecord, Runs &caseRuns, WorkerOptions options)
    : control(workerControl)
    , record(caseRecord)
    , runs(caseRuns)
    , given(std::move(options))
    , bornMs(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , server(std::make_unique<Server>(
          this->given.address,
          [this](const Request &request) {
              return this->handle(request);
          },
          this->given.take))
    , beats([this] {
        this->beatAlways();
    })
{ }

Worker::~Worker()
{
    this->ended = true;
    this->beats.join();
    this->server.reset();
}

const WorkerOptions &Worker::options() const
{
    return this->given;
}

bool Worker::drain()
{
    this->isDraining = true;
    return this->beat();
}

bool Worker::beat()
{
    const std::lock_guard<std::mutex> lock(this->beatMutex);
    const std::string body = R"({"service":")" + this->given.service + R"(","address":")" + this->given.address + R"(","zone":"z-a","version":")"
        + this->given.version + R"(","slots":)" + std::to_string(this->given.slots) + R"(,"state":")" + (this->isDraining ? "draining" : "ready")
        + R"(","cold_remaining_ms":0,"sequence":)" + std::to_string(++this->sequence) + R"(,"born":)" + std::to_string(this->bornMs) + "}";
    const Response response = this->control.call(
        {.method = "PUT", .path = "/-/instances/" + this->given.id, .headers = {{"content-type", "application/json"}}, .body = body}, CallMs, false);
    return response.status == 200;
}

void Worker::beatAlways()
{
    constexpr std::int64_t SliceMs = 50;
    while (!this->ended) {
        const bool isHeard = this->beat();
        const std::int64_t untilMs = nowMs() + (isHeard ? HeartbeatMs : SliceMs);
        while (!this->ended && nowMs() < untilMs) {
            sleepMs(SliceMs);
        }
    }
}

Response Worker::handle(const Request &request)
{
    if (request.path == "/health") {
        return {.status = 200, .headers = {{"apricothead-instance-id", this->given.id}}};
    }
    const std::string id = request.header("apricothead-request-id");
    const std::string target = request.header("apricothead-target-instance");
    Headers headers{{"apricothead-request-id", id}};
    if (!target.empty() && target != this->given.id) {
        headers["apricothead-not-executed"] = "1";
        return {.status = 421, .headers = headers};
    }
    const std::int64_t atMs = nowMs();
    Response response{.status = 200, .body = this->given.id};
    sleepMs(this->given.workMs);
    if (this->given.answer) {
        response = this->given.answer(request);
    }
    this->runs.add(
        {.atMs = atMs, .request = id, .worker = this->given.id, .service = this->given.service, .version = this->given.version, .status = response.status});
    this->record.line("run: " + id + " by " + this->given.id + " (" + this->given.service + " " + this->given.version + ") from " + std::to_string(atMs)
                      + " ms, its answer " + std::to_string(response.status));
    response.headers.merge(headers);
    response.headers["apricothead-response-seal"] = this->given.id + "." + id;
    return response;
}

Request consumerRequest(const std::string &id, const std::string &path, const std::string &key, std::int64_t deadlineMs)
{
    Request request{.method = "POST",
                    .path = path,
                    .headers = {{"host", "shop.example"}, {"apricothead-request-id", id}, {"apricothead-deadline-ms", std::to_string(deadlineMs)}},
                    .body = "order " + id};
    if (!key.empty()) {
        request.headers["authorization"] = "Bearer " + key;
    }
    return request;
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace Review
