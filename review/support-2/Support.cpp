#include "Support.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <thread>
#include <utility>

namespace Review {
namespace {

constexpr unsigned StatusOk = 200;
constexpr std::uint64_t BeatIntervalMs = 1200;
constexpr std::uint64_t BeatTimeoutMs = 1000;
constexpr std::uint64_t StartBoundMs = 30'000;
constexpr std::uint64_t LongWaitMs = 120'000;
constexpr std::size_t BlockBytes = 65'536;
constexpr std::size_t AnswerBytes = 800;
constexpr int Backlog = 512;

sockaddr_in parse(const std::string &address)
{
    const std::size_t colon = address.find(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr);
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::strtoul(address.substr(colon + 1).c_str(), nullptr, 10)));
    return parsed;
}

std::string trimmed(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    return first == std::string::npos ? std::string() : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return text;
}

std::string field(const Message &message, const std::string &name)
{
    const auto found = message.fields.find(name);
    return found == message.fields.end() ? std::string() : found->second;
}

Message parseHead(const std::string &head)
{
    Message message;
    std::size_t start = head.find("\r\n");
    message.firstLine = head.substr(0, start);
    while (start != std::string::npos && start + 2 < head.size()) {
        const std::size_t end = std::min(head.find("\r\n", start + 2), head.size());
        const std::string line = head.substr(start + 2, end - start - 2);
        const std::size_t colon = std::min(line.find(':'), line.size());
        message.fields[lowerCase(line.substr(0, colon))] = trimmed(line.substr(std::min(colon + 1, line.size())));
        start = end == head.size() ? std::string::npos : end;
    }
    return message;
}

/** Reads one message with a length. \returns false when it did not come whole in time */
bool readMessage(const Socket &connection, std::string &buffer, Message &message, std::uint64_t timeoutMs)
{
    const std::uint64_t endMs = nowMs() + timeoutMs;
    const auto more = [&] {
        const std::uint64_t current = nowMs();
        return current < endMs && connection.receive(buffer, endMs - current) > 0;
    };
    std::size_t head = buffer.find("\r\n\r\n");
    while (head == std::string::npos) {
        if (!more()) {
            return false;
        }
        head = buffer.find("\r\n\r\n");
    }
    message = parseHead(buffer.substr(0, head));
    buffer.erase(0, head + 4);
    const std::size_t length = std::strtoul(field(message, "content-length").c_str(), nullptr, 10);
    while (buffer.size() < length) {
        if (!more()) {
            return false;
        }
    }
    message.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return true;
}

} // namespace

std::uint64_t nowMs()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count());
}

void sleepMs(std::uint64_t durationMs)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(durationMs));
}

Socket::Socket(int descriptor) : file(descriptor)
{ }

Socket::~Socket()
{
    if (this->file >= 0) {
        ::close(this->file);
    }
}

Socket::Socket(Socket &&other) noexcept : file(std::exchange(other.file, -1))
{ }

Socket &Socket::operator=(Socket &&other) noexcept
{
    std::swap(this->file, other.file);
    return *this;
}

Socket Socket::connectTo(const std::string &address, std::uint64_t timeoutMs)
{
    Socket made(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in peer = parse(address);
    if (::connect(made.file, reinterpret_cast<const sockaddr *>(&peer), sizeof(peer)) != 0 && errno != EINPROGRESS) {
        return Socket();
    }
    pollfd writable{.fd = made.file, .events = POLLOUT, .revents = 0};
    int fault = 0;
    socklen_t size = sizeof(fault);
    const bool isReady = ::poll(&writable, 1, static_cast<int>(timeoutMs)) > 0 && ::getsockopt(made.file, SOL_SOCKET, SO_ERROR, &fault, &size) == 0;
    return isReady && fault == 0 ? std::move(made) : Socket();
}

bool Socket::isOpen() const
{
    return this->file >= 0;
}

int Socket::descriptor() const
{
    return this->file;
}

bool Socket::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(this->file, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        if (errno != EAGAIN && errno != EINTR) {
            return false;
        }
        pollfd writable{.fd = this->file, .events = POLLOUT, .revents = 0};
        ::poll(&writable, 1, static_cast<int>(BeatTimeoutMs));
    }
    return true;
}

void Socket::sendSome(std::string_view bytes) const
{
    ::send(this->file, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
}

long Socket::receive(std::string &buffer, std::uint64_t timeoutMs) const
{
    pollfd readable{.fd = this->file, .events = POLLIN, .revents = 0};
    if (::poll(&readable, 1, static_cast<int>(timeoutMs)) <= 0) {
        return -1;
    }
    std::string block(BlockBytes, '\0');
    const ssize_t got = ::recv(this->file, block.data(), block.size(), MSG_DONTWAIT);
    if (got > 0) {
        buffer.append(block, 0, static_cast<std::size_t>(got));
    }
    return got;
}

Answer
call(const std::string &address, const std::string &method, const std::string &target, const Fields &fields, const std::string &body, std::uint64_t timeoutMs)
{
    const std::uint64_t startedMs = nowMs();
    const Socket connection = Socket::connectTo(address, timeoutMs);
    std::string bytes = method + " " + target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : fields) {
        bytes.append(name).append(": ").append(value).append("\r\n");
    }
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    Answer answer;
    Message message;
    std::string buffer;
    const std::uint64_t spentMs = nowMs() - startedMs;
    if (connection.isOpen() && connection.send(bytes) && readMessage(connection, buffer, message, timeoutMs - std::min(timeoutMs, spentMs))) {
        constexpr std::size_t StatusAt = 9;
        answer.status = static_cast<unsigned>(std::strtoul(message.firstLine.substr(std::min(StatusAt, message.firstLine.size())).c_str(), nullptr, 10));
        answer.body = message.body;
    }
    answer.tookMs = nowMs() - startedMs;
    return answer;
}

Record::Record(const std::string &path) : file(path, std::ios::app), startedMs(nowMs())
{ }

void Record::line(const std::string &text)
{
    const std::lock_guard lock(this->mutex);
    this->file << nowMs() - this->startedMs << " ms: " << text << std::endl;
}

Worker::Worker(std::string givenId, std::string givenService, unsigned givenSlots, std::vector<std::string> givenControls, Handler givenHandler)
    : id(std::move(givenId)), service(std::move(givenService)), slots(givenSlots), controls(std::move(givenControls)), handler(std::move(givenHandler))
{
    this->listen();
    std::thread([this] {
        this->accept();
    }).detach();
    std::thread([this] {
        this->beat();
    }).detach();
}

std::vector<Run> Worker::runs()
{
    const std::lock_guard lock(this->mutex);
    return this->seen;
}

const std::string &Worker::address() const
{
    return this->ownAddress;
}

unsigned Worker::acknowledgedBeats() const
{
    return this->acknowledged;
}

void Worker::listen()
{
    this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in own = parse("127.0.0.1:0");
    socklen_t size = sizeof(own);
    const bool isListening = ::bind(this->listener, reinterpret_cast<const sockaddr *>(&own), sizeof(own)) == 0 && ::listen(this->listener, Backlog) == 0
        && ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&own), &size) == 0;
    if (!isListening) {
        endWith(2);
    }
    this->ownAddress = "127.0.0.1:" + std::to_string(ntohs(own.sin_port));
}

void Worker::accept()
{
    while (true) {
        const int accepted = ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0) {
            continue;
        }
        std::thread([this, accepted] {
            this->serve(Socket(accepted));
        }).detach();
    }
}

void Worker::serve(const Socket &connection)
{
    std::string buffer;
    Message request;
    while (readMessage(connection, buffer, request, LongWaitMs)) {
        const std::string target = field(request, "apricothead-target-instance");
        if (request.firstLine.starts_with("GET /health ")) {
            connection.send("HTTP/1.1 200 OK\r\nApricothead-Instance-Id: " + this->id + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        const std::string requestId = field(request, "apricothead-request-id");
        if (!target.empty() && target != this->id) {
            connection.send("HTTP/1.1 421 Misdirected\r\nApricothead-Request-Id: " + requestId + "\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        {
            const std::lock_guard lock(this->mutex);
            this->seen.push_back({.id = requestId, .requestLine = request.firstLine, .bodyBytes = request.body.size()});
        }
        if (!this->handler(connection, request)) {
            return;
        }
    }
}

void Worker::beat()
{
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    for (std::uint64_t sequence = 1;; ++sequence) {
        const std::string body = R"({"service":")" + this->service + R"(","address":")" + this->ownAddress + R"(","zone":"zone-a","version":"v1","slots":)"
            + std::to_string(this->slots) + R"(,"state":"ready","cold_remaining_ms":0,"sequence":)" + std::to_string(sequence) + R"(,"born":)"
            + std::to_string(born) + "}";
        for (const std::string &control : this->controls) {
            const Fields fields{{"Host", control}, {"Content-Type", "application/json"}};
            if (call(control, "PUT", "/-/instances/" + this->id, fields, body, BeatTimeoutMs).status == StatusOk) {
                ++this->acknowledged;
                break;
            }
        }
        sleepMs(BeatIntervalMs);
    }
}

bool answerWhole(const Socket &connection, const Message &request)
{
    const std::string id = field(request, "apricothead-request-id");
    return connection.send("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(AnswerBytes) + "\r\nApricothead-Request-Id: " + id
                           + "\r\nApricothead-Response-Seal: seal." + id + "\r\n\r\n" + std::string(AnswerBytes, 'a'));
}

Options readOptions(int argc, char **argv)
{
    constexpr int Words = 7;
    if (argc != Words) {
        std::cerr << "use: PROGRAM CONTROL,... GATEWAY READY PID RECORD TROUBLE\n";
        endWith(2);
    }
    const std::vector<std::string> words(argv + 1, argv + argc);
    Options options;
    for (std::size_t start = 0; start < words[0].size();) {
        const std::size_t end = std::min(words[0].find(',', start), words[0].size());
        options.controls.push_back(words[0].substr(start, end - start));
        start = end + 1;
    }
    options.gateway = words[1];
    options.ready = words[2];
    options.gatewayProcess = static_cast<int>(std::strtol(words[3].c_str(), nullptr, 10));
    const std::size_t comma = words[3].find(',');
    options.otherGatewayProcess = comma == std::string::npos ? 0 : static_cast<int>(std::strtol(words[3].c_str() + comma + 1, nullptr, 10));
    options.record = words[4];
    options.hasTrouble = words[5] != "0";
    return options;
}

std::string config()
{
    return R"({"version":7,"routes":[)"
           R"({"name":"r-question","host":"desk.example","path_prefix":"/question/","route_type":"streaming","timeout_ms":20000,"target_latency_ms":2000,)"
           R"("priority":2,"service":"fleet","max_attempts":3,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":1500},)"
           R"({"name":"r-booking","host":"desk.example","path_prefix":"/booking/","route_type":"unsafe","timeout_ms":1500,"target_latency_ms":100,)"
           R"("priority":2,"service":"desk","max_attempts":1,"public":false},)"
           R"({"name":"r-status","host":"desk.example","path_prefix":"/status/","route_type":"safe","timeout_ms":1500,"target_latency_ms":100,)"
           R"("priority":2,"service":"desk","max_attempts":2,"public":false}],)"
           R"("services":[{"name":"fleet","health_path":"/health","max_connections":370,"protocol":"h1","tls":false},)"
           R"({"name":"desk","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"crew","api_keys":["key-of-the-crew"],"priority":1}]})";
}

Fields consumerFields(const std::string &id, std::uint64_t deadlineMs)
{
    return {{"Host", "desk.example"},
            {"Apricothead-Request-Id", id},
            {"Apricothead-Deadline-Ms", std::to_string(deadlineMs)},
            {"Authorization", "Bearer key-of-the-crew"}};
}

void waitUntilServing(const Options &options, Record &record)
{
    const std::uint64_t endMs = nowMs() + StartBoundMs;
    unsigned tries = 0;
    bool isAcknowledged = false;
    while (nowMs() < endMs) {
        const std::string &control = options.controls[tries++ % options.controls.size()];
        const Fields fields{{"Host", control}, {"Content-Type", "application/json"}};
        isAcknowledged = isAcknowledged || call(control, "PUT", "/-/config", fields, config(), BeatTimeoutMs).status == StatusOk;
        const std::string id = "start-" + std::to_string(tries);
        if (isAcknowledged && call(options.gateway, "GET", "/status/start", consumerFields(id, BeatTimeoutMs), {}, BeatTimeoutMs).status == StatusOk) {
            record.line("the config is acknowledged and a lookup is served");
            return;
        }
        constexpr std::uint64_t PauseMs = 200;
        sleepMs(PauseMs);
    }
    record.line("the system did not start to serve");
    endWith(2);
}

long memoryKb(int process, const std::string &name)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":")) {
            return std::strtol(line.c_str() + name.size() + 1, nullptr, 10);
        }
    }
    return 0;
}

void endWith(int code)
{
    std::cout.flush();
    std::_Exit(code);
}

} // namespace Review
