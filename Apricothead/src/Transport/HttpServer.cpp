#include "HttpServer.h"

#include "EventLoop.h"
#include "HttpExchange.h"
#include "Timer.h"

#include <microhttpd.h>

#include <algorithm>
#include <arpa/inet.h>
#include <ev++.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <unistd.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Apricothead {
namespace {

constexpr std::chrono::milliseconds ReadCheckInterval{500};
/** Memory of a connection beside the header fields: parsing, and the answer's head. */
constexpr std::size_t ConnectionMemoryBytes = 64 * 1024;
/** A body over the limit is read and dropped up to this many times the limit, so that the caller gets to see the refusal. */
constexpr std::size_t OversizeFactor = 4;
/** A request has to be whole within this many idle times. */
constexpr int WholeRequestIdleTimes = 2;
/** From this fraction of the connection limit on, each answer closes its connection. */
constexpr double MaxPersistentFraction = 0.75;
constexpr unsigned PayloadTooLarge = 413;
constexpr unsigned HeadersTooLarge = 431;

sockaddr_in parseAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in parsed{};
    parsed.sin_family = AF_INET;
    if (colon == std::string::npos || inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) {
        throw std::runtime_error("not an IP and port: " + address);
    }
    parsed.sin_port = htons(static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
    return parsed;
}

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    return lower;
}

MHD_Result collectHeader(void *headers, MHD_ValueKind, const char *name, const char *value)
{
    const std::string_view text = value == nullptr ? "" : value;
    const auto [field, isFirst] = static_cast<HttpHeaders *>(headers)->emplace(lowerCase(name), text);
    if (!isFirst) {
        // A repeated field means the same as one with a list.
        field->second.append(", ").append(text);
    }
    return MHD_YES;
}

} // namespace

struct HttpServer::Private {
    Private(EventLoop &eventLoop, HttpServerOptions serverOptions)
        : loop(eventLoop), options(std::move(serverOptions)), epoll(eventLoop.native()), timeout(eventLoop.native()), readCheck(eventLoop, [this] {
            this->closeSlowSenders();
        })
    {
        this->epoll.set<Private, &Private::onEpoll>(this);
        this->timeout.set<Private, &Private::onTimeout>(this);
        this->startDaemon();
    }

    ~Private()
    {
        this->isStopping = true;
        const auto open = this->exchanges;
        for (const auto &[key, exchange] : open) {
            exchange->abort();
        }
        this->epoll.stop();
        this->timeout.stop();
        MHD_run(this->daemon);
        MHD_stop_daemon(this->daemon);
    }

    void startDaemon()
    {
        sockaddr_in address = parseAddress(this->options.address);
        this->daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME,
                                        ntohs(address.sin_port),
                                        nullptr,
                                        nullptr,
                                        &Private::onAccess,
                                        this,
                                        MHD_OPTION_SOCK_ADDR,
                                        reinterpret_cast<sockaddr *>(&address),
                                        MHD_OPTION_CONNECTION_LIMIT,
                                        this->options.maxConnections,
                                        MHD_OPTION_CONNECTION_TIMEOUT,
                                        static_cast<unsigned>(this->options.idleTimeout.count()),
                                        MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                                        this->options.maxHeaderBytes + ConnectionMemoryBytes,
                                        MHD_OPTION_LISTENING_ADDRESS_REUSE,
                                        1U,
                                        MHD_OPTION_URI_LOG_CALLBACK,
                                        &Private::onUri,
                                        this,
                                        MHD_OPTION_NOTIFY_COMPLETED,
                                        &Private::onCompleted,
                                        this,
                                        MHD_OPTION_NOTIFY_CONNECTION,
                                        &Private::onConnection,
                                        this,
                                        MHD_OPTION_END);
        if (this->daemon == nullptr) {
            throw std::runtime_error("cannot listen on " + this->options.address);
        }
        const in_addr ip = address.sin_addr;
        const unsigned port = MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
        this->boundAddress = std::string(inet_ntoa(ip)) + ":" + std::to_string(port);
        this->epoll.start(MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd, ev::READ);
        this->readCheck.startRepeating(ReadCheckInterval);
    }

    /** Called first for each request. \returns its context */
    static void *onUri(void *self, const char *uri, MHD_Connection *connection)
    {
        return static_cast<Private *>(self)->createExchange(connection, uri);
    }

    static MHD_Result onAccess(void *self,
                               MHD_Connection *connection,
                               const char *,
                               const char *method,
                               const char *,
                               const char *uploadData,
                               std::size_t *uploadSize,
                               void **context)
    {
        return static_cast<Private *>(self)->access(connection, method, {uploadData, *uploadSize}, uploadSize, context);
    }

    static void onCompleted(void *self, MHD_Connection *, void **context, MHD_RequestTerminationCode code)
    {
        static_cast<Private *>(self)->completed(*context, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
        *context = nullptr;
    }

    static void onConnection(void *self, MHD_Connection *connection, void **, MHD_ConnectionNotificationCode code)
    {
        auto *server = static_cast<Private *>(self);
        if (code == MHD_CONNECTION_NOTIFY_STARTED) {
            server->readingSince[connection] = server->loop.nowMs();
        } else {
            server->readingSince.erase(connection);
        }
    }

    void *createExchange(MHD_Connection *connection, std::string_view uri)
    {
        detail::HttpExchange::Hooks hooks{.wake =
                                              [this] {
                                                  this->wake();
                                              },
                                          .defer =
                                              [this](std::function<void()> hook) {
                                                  this->defer(std::move(hook));
                                              }};
        auto exchange = std::make_shared<detail::HttpExchange>(this->loop.native(), connection, std::move(hooks));
        const std::size_t mark = std::min(uri.find('?'), uri.size());
        exchange->request.path = uri.substr(0, mark);
        exchange->request.query = uri.substr(std::min(mark + 1, uri.size()));
        this->exchanges[exchange.get()] = exchange;
        return exchange.get();
    }

    MHD_Result access(MHD_Connection *connection, const char *method, std::string_view upload, std::size_t *uploadSize, void **context)
    {
        const std::shared_ptr<detail::HttpExchange> exchange = this->exchanges.at(*context);
        if (exchange->isServed) {
            return exchange->queueAnswer() ? MHD_YES : MHD_NO;
        }
        if (exchange->request.method.empty()) {
            exchange->request.method = method;
            return this->beginRequest(connection, *exchange);
        }
        if (!upload.empty()) {
            *uploadSize = 0;
            return this->takeBody(*exchange, upload) ? MHD_YES : MHD_NO;
        }
        exchange->isServed = true;
        if (Private::hasPeerClosed(connection)) {
            if (this->options.onAbandoned) {
                this->options.onAbandoned(exchange->request);
            }
            return MHD_NO;
        }
        if (exchange->isOversized) {
            return this->refuse(*exchange, PayloadTooLarge);
        }
        this->serve(connection, exchange);
        return MHD_YES;
    }

    MHD_Result beginRequest(MHD_Connection *connection, detail::HttpExchange &exchange)
    {
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &exchange.request.headers);
        const MHD_ConnectionInfo *size = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
        if (size != nullptr && size->header_size > this->options.maxHeaderBytes) {
            exchange.isServed = true;
            return this->refuse(exchange, HeadersTooLarge);
        }
        if (this->declaresOversizedBody(exchange.request)) {
            exchange.isServed = true;
            return this->refuse(exchange, PayloadTooLarge);
        }
        return MHD_YES;
    }

    bool declaresOversizedBody(const HttpRequest &request) const
    {
        const auto length = request.headers.find("content-length");
        if (length == request.headers.end()) {
            return false;
        }
        // libmicrohttpd has refused what is no number.
        return std::strtoull(length->second.c_str(), nullptr, 10) > this->options.maxBodyBytes;
    }

    bool takeBody(detail::HttpExchange &exchange, std::string_view upload)
    {
        std::string &body = exchange.request.body;
        if (!exchange.isOversized && body.size() + upload.size() <= this->options.maxBodyBytes) {
            body.append(upload);
            return true;
        }
        exchange.isOversized = true;
        body.clear();
        exchange.droppedBytes += upload.size();
        return exchange.droppedBytes <= OversizeFactor * this->options.maxBodyBytes;
    }

    MHD_Result refuse(detail::HttpExchange &exchange, unsigned status)
    {
        const std::string body = this->options.errorBody ? this->options.errorBody(status) : std::string();
        exchange.closeAfterAnswer();
        HttpHeaders headers = this->options.errorHeaders ? this->options.errorHeaders() : HttpHeaders();
        headers["Content-Type"] = "application/json";
        exchange.send(status, headers, body);
        return exchange.queueAnswer() ? MHD_YES : MHD_NO;
    }

    void serve(MHD_Connection *connection, const std::shared_ptr<detail::HttpExchange> &exchange)
    {
        this->readingSince.erase(connection);
        if (this->isQuiesced || this->closesAfterAnswers || this->isNearlyFull()) {
            exchange->closeAfterAnswer();
        }
        exchange->suspend();
        auto reply = std::make_shared<detail::HttpExchangeOwner>(exchange);
        this->options.onRequest(std::move(exchange->request), std::move(reply));
    }

    std::size_t openConnections() const
    {
        return MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)->num_connections;
    }

    /** The last places are not for connections that wait for their next request: at the limit nobody else could connect. */
    bool isNearlyFull() const
    {
        return static_cast<double>(this->openConnections()) >= MaxPersistentFraction * this->options.maxConnections;
    }

    void completed(void *context, bool whole)
    {
        const auto found = this->exchanges.find(context);
        if (found == this->exchanges.end()) {
            return;
        }
        const std::shared_ptr<detail::HttpExchange> exchange = found->second;
        this->readingSince[exchange->nativeConnection()] = this->loop.nowMs();
        if (this->closesAfterAnswers) {
            // An answer that began earlier did not say that the connection ends with it.
            Private::shutDown(exchange->nativeConnection());
        }
        this->exchanges.erase(found);
        exchange->completed(whole);
    }

    /** libmicrohttpd closes a connection when it sees its end. */
    static void shutDown(MHD_Connection *connection)
    {
        const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        if (info != nullptr) {
            shutdown(info->connect_fd, SHUT_RDWR);
        }
    }

    /** \returns those of \a events that the connection's socket is ready for, and its errors */
    static int readyEvents(MHD_Connection *connection, int events)
    {
        const MHD_ConnectionInfo *info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
        pollfd watched{.fd = info == nullptr ? -1 : info->connect_fd, .events = static_cast<short>(events), .revents = 0};
        return poll(&watched, 1, 0) > 0 ? watched.revents : 0;
    }

    /** \returns true when the caller has closed its side. A process that was held up may read a request long after that. */
    static bool hasPeerClosed(MHD_Connection *connection)
    {
        return (Private::readyEvents(connection, POLLRDHUP) & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    /** A sender of single bytes is never idle: it gets a bound on the whole request. */
    void closeSlowSenders()
    {
        const std::uint64_t now = this->loop.nowMs();
        const std::chrono::milliseconds bound = WholeRequestIdleTimes * this->options.idleTimeout;
        for (const auto &[connection, since] : this->readingSince) {
            if (now - since <= static_cast<std::uint64_t>(bound.count())) {
                continue;
            }
            Private::shutDown(connection);
        }
    }

    void closeIdle(std::uint64_t idleMs)
    {
        std::set<const MHD_Connection *> busy;
        for (const auto &[key, exchange] : this->exchanges) {
            busy.insert(exchange->nativeConnection());
        }
        const std::uint64_t now = this->loop.nowMs();
        for (const auto &[connection, since] : this->readingSince) {
            // Bytes that were not read yet are a request: a process that was held up finds them late.
            const bool isIdle = !busy.contains(connection) && now - since >= idleMs && (Private::readyEvents(connection, POLLIN) & POLLIN) == 0;
            if (!isIdle) {
                continue;
            }
            Private::shutDown(connection);
        }
    }

    void defer(std::function<void()> hook)
    {
        if (this->isStopping) {
            return;
        }
        this->deferred.push_back(std::move(hook));
        this->wake();
    }

    void wake()
    {
        this->needsRun = true;
        if (!this->isStopping && !this->isRunning) {
            this->timeout.feed_event(ev::TIMER);
        }
    }

    void onEpoll(ev::io &, int)
    {
        this->runDaemon();
    }

    void onTimeout(ev::timer &, int)
    {
        this->runDaemon();
    }

    void runDaemon()
    {
        const std::weak_ptr<bool> stillAlive = this->alive;
        this->isRunning = true;
        this->needsRun = false;
        MHD_run(this->daemon);
        std::vector<std::function<void()>> hooks;
        hooks.swap(this->deferred);
        for (const std::function<void()> &hook : hooks) {
            hook();
            if (stillAlive.expired()) {
                return;
            }
        }
        this->isRunning = false;
        this->armTimeout();
    }

    void armTimeout()
    {
        constexpr double MillisecondsPerSecond = 1000;
        this->timeout.stop();
        MHD_UNSIGNED_LONG_LONG wait = 0;
        if (this->needsRun || !this->deferred.empty()) {
            this->timeout.start(0.);
        } else if (MHD_get_timeout(this->daemon, &wait) == MHD_YES) {
            this->timeout.start(static_cast<double>(wait) / MillisecondsPerSecond);
        }
    }

    EventLoop &loop;
    HttpServerOptions options;
    MHD_Daemon *daemon = nullptr;
    ev::io epoll;
    ev::timer timeout;
    Timer readCheck;
    std::string boundAddress;
    std::unordered_map<void *, std::shared_ptr<detail::HttpExchange>> exchanges;
    /** Connections without a whole request, and since when. */
    std::unordered_map<MHD_Connection *, std::uint64_t> readingSince;
    std::vector<std::function<void()>> deferred;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    bool isRunning = false;
    /** Something happened that libmicrohttpd has to look at. */
    bool needsRun = false;
    bool isQuiesced = false;
    bool closesAfterAnswers = false;
    bool isStopping = false;
};

HttpServer::HttpServer(EventLoop &loop, HttpServerOptions options) : d(std::make_unique<Private>(loop, std::move(options)))
{ }

HttpServer::~HttpServer() = default;

void HttpServer::closeAfterAnswers()
{
    this->d->closesAfterAnswers = true;
}

void HttpServer::closeIdle(std::chrono::milliseconds idle)
{
    this->d->closeIdle(static_cast<std::uint64_t>(idle.count()));
}

void HttpServer::stopListening()
{
    if (std::exchange(this->d->isQuiesced, true)) {
        return;
    }
    const MHD_socket listener = MHD_quiesce_daemon(this->d->daemon);
    if (listener != MHD_INVALID_SOCKET) {
        close(listener);
    }
}

std::size_t HttpServer::openConnections() const
{
    return this->d->openConnections();
}

std::size_t HttpServer::openRequests() const
{
    return static_cast<std::size_t>(std::count_if(this->d->exchanges.begin(), this->d->exchanges.end(), [](const auto &entry) {
        return entry.second->isServed;
    }));
}

std::string HttpServer::boundAddress() const
{
    return this->d->boundAddress;
}

} // namespace Apricothead
