#include "HttpServer.h"

#include "CallbackWatch.h"
#include "EventLoop.h"
#include "HttpExchange.h"
#include "HttpFraming.h"
#include "HttpHeadCoverage.h"
#include "Log.h"
#include "Timer.h"

#include <microhttpd.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <ev++.h>
#include <poll.h>
#include <set>
#include <stdexcept>
#include <system_error>
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
/** A body that holds less than this is never refused for lack of memory. */
constexpr std::size_t BodyFloorBytes = 8 * 1024;
/** A head that costs less than this is never refused for lack of memory. */
constexpr std::size_t HeadFloorBytes = 16 * 1024;
/** What a header field costs beside its bytes: in the connection, in the request, and in the request that passes it on. */
constexpr std::size_t FieldBytes = 360;
/** How often the bytes of a field are held. */
constexpr std::size_t FieldCopies = 3;
/** Growth of a body that counts as progress: a byte now and then does not. */
constexpr std::size_t ProgressBytes = 1024;
/** While memory or places are scarce, who has made no progress for this long is closed. */
constexpr std::uint64_t ScarceProgressMs = 3000;
/** While places are scarce, a connection that waits for its next request is closed after this time. */
constexpr std::uint64_t ScarceKeptMs = 15'000;
/** A body that arrives more slowly outlives the deadlines of its caller, once its progress time is over. */
constexpr std::uint64_t MinBodyBytesPerSecond = 4 * 1024;
/** Places that are kept free for newcomers: a fraction of the connection limit, and at least a few. */
constexpr double ReservedFraction = 0.125;
constexpr std::size_t MinReserved = 4;
/** A newcomer has this long to send before it may have to give way: longer than a lost packet takes to be sent again. */
constexpr std::uint64_t MinPlaceMs = 400;
/** The same while all places are taken, and newcomers wait. */
constexpr std::uint64_t MinPlaceMsWhenFull = 100;
/** Interval of making room while too few places are free. */
constexpr std::uint64_t RoomCheckMs = 50;
/** From this fraction of the connection limit on, places are scarce. */
constexpr double ScarceConnectionsFraction = 0.9;
constexpr unsigned BadRequest = 400;
constexpr unsigned PayloadTooLarge = 413;
constexpr unsigned Unavailable = 503;
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

/** What is checked of a head, field by field. */
struct HeadChecks {
    detail::HttpFraming framing;
    detail::HttpHeadCoverage coverage;
};

MHD_Result checkField(void *checks, MHD_ValueKind, const char *name, const char *value)
{
    auto &head = *static_cast<HeadChecks *>(checks);
    const std::string_view text = value == nullptr ? std::string_view() : value;
    head.framing.addField(name, text);
    head.coverage.addField(name, text);
    return MHD_YES;
}

/** Blanks behind a value are no part of it; libmicrohttpd drops those before it. */
std::string_view withoutBlanksBehind(std::string_view value)
{
    return value.substr(0, value.find_last_not_of(" \t") + 1);
}

MHD_Result collectHeader(void *headers, MHD_ValueKind, const char *name, const char *value)
{
    const std::string_view text = withoutBlanksBehind(value == nullptr ? "" : value);
    const auto [field, isFirst] = static_cast<HttpHeaders *>(headers)->emplace(lowerCase(name), text);
    if (!isFirst) {
        // A repeated field means the same as one with a list.
        field->second.append(", ").append(text);
    }
    return MHD_YES;
}

/** \returns what a head costs in memory: many times its size on the wire when its fields are short. \a fields: repeated ones count each */
std::size_t costOfHead(std::size_t fields, const HttpHeaders &headers)
{
    std::size_t bytes = fields * FieldBytes;
    for (const auto &[name, value] : headers) {
        bytes += FieldCopies * (name.size() + value.size());
    }
    return bytes;
}

} // namespace

struct HttpServer::Private {
    Private(EventLoop &eventLoop, HttpServerOptions serverOptions)
        : loop(eventLoop), options(std::move(serverOptions)), epoll(eventLoop.native()), timeout(eventLoop.native()), readCheck(eventLoop, [this] {
            this->closeSlowSenders();
            this->closeCrowd();
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
        errno = 0;
        // Without MHD_OPTION_LISTENING_ADDRESS_REUSE: that is SO_REUSEPORT, with which several processes share an address. A restart finds its
        // address free all the same.
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
            throw std::runtime_error("cannot listen on " + this->options.address + (errno == 0 ? "" : ": " + std::generic_category().message(errno)));
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
                               const char *version,
                               const char *uploadData,
                               std::size_t *uploadSize,
                               void **context)
    {
        return static_cast<Private *>(self)->access(connection, method, version, {uploadData, *uploadSize}, uploadSize, context);
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
            server->freshConnections.insert(connection);
        } else {
            server->freshConnections.erase(connection);
            server->closing.erase(connection);
            if (server->arePlacesScarce()) {
                // libmicrohttpd accepts again only when it runs once more.
                server->wake();
            }
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
        exchange->targetBytes = uri.size();
        exchange->request.path = uri.substr(0, mark);
        exchange->request.query = uri.substr(std::min(mark + 1, uri.size()));
        exchange->startedMs = this->loop.nowMs();
        this->exchanges[exchange.get()] = exchange;
        return exchange.get();
    }

    MHD_Result
    access(MHD_Connection *connection, const char *method, std::string_view version, std::string_view upload, std::size_t *uploadSize, void **context)
    {
        if (this->isStopping) {
            // The owner of the hooks is going away, and no connection may be suspended when the daemon stops.
            return MHD_NO;
        }
        const std::shared_ptr<detail::HttpExchange> exchange = this->exchanges.at(*context);
        if (exchange->isServed) {
            return exchange->queueAnswer() ? MHD_YES : MHD_NO;
        }
        if (exchange->request.method.empty()) {
            exchange->request.method = method;
            return this->beginRequest(connection, *exchange, method, version);
        }
        if (!upload.empty()) {
            *uploadSize = 0;
            return this->takeBody(*exchange, upload) ? MHD_YES : MHD_NO;
        }
        exchange->isServed = true;
        // A process that was held up may read a request long after its caller has left.
        if (exchange->hasPeerClosed()) {
            if (this->options.onAbandoned) {
                this->options.onAbandoned(exchange->request);
            }
            return MHD_NO;
        }
        if (exchange->refusal != 0) {
            return this->refuse(*exchange, exchange->refusal);
        }
        if (MHD_get_connection_values(connection, MHD_FOOTER_KIND, nullptr, nullptr) > 0) {
            // libmicrohttpd takes a trailer without a name for the last one: what follows may be no request.
            exchange->closeAfterAnswer();
        }
        this->serve(connection, exchange);
        return MHD_YES;
    }

    /** \a method and \a version: where libmicrohttpd keeps them */
    static detail::HttpFramingFault framingFault(MHD_Connection *connection, std::size_t targetBytes, std::string_view method, std::string_view version)
    {
        const MHD_ConnectionInfo *size = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
        const std::string_view head(method.data(), size == nullptr ? 0 : size->header_size);
        HeadChecks checks{.framing = {}, .coverage = detail::HttpHeadCoverage(head)};
        checks.coverage.addRequestLine(method.size(), targetBytes, version);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, &checkField, &checks);
        if (!checks.coverage.isWhole()) {
            checks.framing.addHidden();
        }
        return checks.framing.fault(version == MHD_HTTP_VERSION_1_0 ? detail::HttpMessageKind::Http10Request : detail::HttpMessageKind::Request);
    }

    MHD_Result beginRequest(MHD_Connection *connection, detail::HttpExchange &exchange, std::string_view method, std::string_view version)
    {
        exchange.progressMs = this->loop.nowMs();
        const detail::HttpFramingFault fault = Private::framingFault(connection, exchange.targetBytes, method, version);
        if (fault != detail::HttpFramingFault::None) {
            ++this->closings["framing"];
            logLine(LogLevel::Warning, "request-malformed", {{"listener", this->boundAddress}, {"why", std::string(framingFaultName(fault))}});
            exchange.isServed = true;
            return this->refuse(exchange, BadRequest);
        }
        const int fields = MHD_get_connection_values(connection, MHD_HEADER_KIND, &collectHeader, &exchange.request.headers);
        const MHD_ConnectionInfo *size = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);
        if (size != nullptr && size->header_size > this->options.maxHeaderBytes) {
            exchange.isServed = true;
            return this->refuse(exchange, HeadersTooLarge);
        }
        if (!this->holdHead(exchange, costOfHead(static_cast<std::size_t>(fields), exchange.request.headers))) {
            // At once, whatever body follows: the connection holds the head until it ends.
            this->recordClosing("head-refused", exchange);
            exchange.isServed = true;
            return this->refuse(exchange, Unavailable);
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
        const std::size_t size = body.size() + upload.size();
        if (exchange.refusal == 0 && size > this->options.maxBodyBytes) {
            this->dropBody(exchange, PayloadTooLarge);
        } else if (exchange.refusal == 0 && !this->holdBody(exchange, size)) {
            this->recordClosing("body-refused", exchange);
            this->dropBody(exchange, Unavailable);
        }
        if (size >= exchange.progressBytes + ProgressBytes) {
            exchange.progressBytes = size;
            exchange.progressMs = this->loop.nowMs();
        }
        if (exchange.refusal == 0) {
            body.append(upload);
            return true;
        }
        exchange.droppedBytes += upload.size();
        return exchange.droppedBytes <= OversizeFactor * this->options.maxBodyBytes;
    }

    /** \returns whether the budget of the process has room for a head that costs \a bytes, if need be that of a stalled request */
    bool holdHead(detail::HttpExchange &exchange, std::size_t bytes)
    {
        if (bytes <= HeadFloorBytes) {
            exchange.heldHead.set(bytes);
            return true;
        }
        while (!exchange.heldHead.tryGrow(bytes)) {
            if (!this->closeWorstHolder(exchange)) {
                exchange.request.headers.clear();
                return false;
            }
        }
        return true;
    }

    /** \returns whether the budget of the process has room for a body of \a bytes, if need be that of a stalled one */
    bool holdBody(detail::HttpExchange &exchange, std::size_t bytes)
    {
        if (bytes <= BodyFloorBytes) {
            exchange.heldBody.set(bytes);
            return true;
        }
        while (!exchange.heldBody.tryGrow(bytes)) {
            if (!this->closeWorstHolder(exchange)) {
                return false;
            }
        }
        return true;
    }

    /** Drops what has arrived of the body, and what follows, so that the caller gets to see the refusal. */
    void dropBody(detail::HttpExchange &exchange, unsigned status)
    {
        exchange.refusal = status;
        std::string().swap(exchange.request.body);
        exchange.heldBody.set(0);
    }

    /** Closes the connection whose request holds most for longest without progress. \returns false when all make progress */
    bool closeWorstHolder(const detail::HttpExchange &asking)
    {
        const std::uint64_t now = this->loop.nowMs();
        const auto burden = [now](const detail::HttpExchange &held) {
            const std::uint64_t stalledMs = now - std::min(now, held.progressMs);
            return held.isServed || stalledMs < ScarceProgressMs ? 0 : (held.heldHead.bytes() + held.heldBody.bytes()) * stalledMs;
        };
        detail::HttpExchange *worst = nullptr;
        for (const auto &[key, exchange] : this->exchanges) {
            const bool isWorse = exchange.get() != &asking && burden(*exchange) > (worst == nullptr ? 0 : burden(*worst));
            worst = isWorse ? exchange.get() : worst;
        }
        if (worst == nullptr) {
            return false;
        }
        this->recordClosing("memory-scarce", *worst);
        this->dropBody(*worst, Unavailable);
        worst->request.headers.clear();
        worst->heldHead.set(0);
        Private::shutDown(worst->nativeConnection());
        return true;
    }

    void recordClosing(const std::string &why, const detail::HttpExchange &exchange)
    {
        this->recordClosing(why, exchange.heldHead.bytes() + exchange.heldBody.bytes(), this->loop.nowMs() - exchange.startedMs);
    }

    void recordClosing(const std::string &why, std::size_t heldBytes, std::uint64_t ageMs)
    {
        ++this->closings[why];
        logLine(LogLevel::Warning,
                "connection-closed",
                {{"listener", this->boundAddress},
                 {"why", why},
                 {"heldBytes", static_cast<std::uint64_t>(heldBytes)},
                 {"ageMs", ageMs},
                 {"usedBytes", static_cast<std::uint64_t>(ByteBudget::process().used())},
                 {"connections", static_cast<std::uint64_t>(this->openConnections())}});
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
        this->freshConnections.erase(connection);
        if (this->isQuiesced || this->closesAfterAnswers || this->isNearlyFull()) {
            exchange->closeAfterAnswer();
        }
        exchange->suspend();
        auto reply = std::make_shared<detail::HttpExchangeOwner>(exchange);
        const CallbackWatch watch(this->loop, this->options.onRequest.target_type());
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

    /** A head that does not end and a body that does not grow cost memory and a place, and no sound caller needs that long for either. */
    void closeCrowd()
    {
        const std::uint64_t now = this->loop.nowMs();
        const auto boundMs = static_cast<std::uint64_t>(std::chrono::milliseconds(this->options.progressTimeout).count());
        std::set<const MHD_Connection *> begun;
        for (const auto &[key, exchange] : this->exchanges) {
            begun.insert(exchange->nativeConnection());
            const bool hasHead = !exchange->request.method.empty();
            const std::uint64_t lastMs = hasHead ? exchange->progressMs : exchange->startedMs;
            const std::uint64_t progressMs = this->arePlacesScarce() ? ScarceProgressMs : boundMs;
            const bool isStalled = now - lastMs > progressMs || Private::isTooSlow(*exchange, progressMs, now);
            // A process that was held up finds late what arrived meanwhile.
            const bool isStopped = isStalled && !exchange->isServed && (Private::readyEvents(exchange->nativeConnection(), POLLIN) & POLLIN) == 0;
            if (!isStopped || !this->closing.insert(exchange->nativeConnection()).second) {
                continue;
            }
            this->recordClosing(hasHead ? "slow-body" : "slow-head", *exchange);
            Private::shutDown(exchange->nativeConnection());
        }
        this->closeIdleCrowd(begun);
    }

    /** \returns whether the body arrives at less than the least rate, after \a graceMs */
    static bool isTooSlow(const detail::HttpExchange &exchange, std::uint64_t graceMs, std::uint64_t now)
    {
        constexpr std::uint64_t MsPerSecond = 1000;
        const bool hasHead = !exchange.request.method.empty();
        return hasHead && now - exchange.startedMs > graceMs + exchange.bodyBytes() * MsPerSecond / MinBodyBytesPerSecond;
    }

    std::size_t reservedPlaces() const
    {
        const auto share = static_cast<std::size_t>(ReservedFraction * this->options.maxConnections);
        return std::min<std::size_t>(std::max(share, MinReserved), this->options.maxConnections / 2);
    }

    /** \returns the connections that are over those which may be open while newcomers are accepted at once */
    std::size_t excessConnections() const
    {
        const std::size_t open = this->openConnections() - std::min(this->openConnections(), this->closing.size());
        const std::size_t shared = this->options.maxConnections - this->reservedPlaces();
        return open - std::min(open, shared);
    }

    /** Closes the connections that progress least, so that there is room for newcomers. */
    void makeRoom()
    {
        const std::size_t excess = this->excessConnections();
        if (excess == 0) {
            return;
        }
        std::unordered_map<const MHD_Connection *, std::size_t> bytes;
        for (const auto &[key, exchange] : this->exchanges) {
            bytes[exchange->nativeConnection()] = exchange->bodyBytes();
        }
        struct Place {
            MHD_Connection *connection;
            std::uint64_t ageMs;
            /** Of a body, in bytes per second of its place. */
            double rate;
        };
        std::vector<Place> places;
        const std::uint64_t now = this->loop.nowMs();
        const std::uint64_t minPlaceMs = this->openConnections() < this->options.maxConnections ? MinPlaceMs : MinPlaceMsWhenFull;
        for (const auto &[connection, since] : this->readingSince) {
            const std::uint64_t ageMs = now - std::min(now, since);
            if (ageMs < minPlaceMs || this->closing.contains(connection)) {
                continue;
            }
            const auto held = bytes.find(connection);
            const std::size_t received = held == bytes.end() ? 0 : held->second;
            places.push_back({.connection = connection, .ageMs = ageMs, .rate = static_cast<double>(received) / static_cast<double>(ageMs)});
        }
        std::sort(places.begin(), places.end(), [](const Place &left, const Place &right) {
            return std::pair(left.rate, right.ageMs) < std::pair(right.rate, left.ageMs);
        });
        std::size_t closed = 0;
        for (const Place &place : places) {
            if (closed == excess) {
                break;
            }
            // A process that was held up finds late what arrived meanwhile.
            if ((Private::readyEvents(place.connection, POLLIN | POLLRDHUP) & (POLLIN | POLLRDHUP)) == POLLIN) {
                continue;
            }
            this->closing.insert(place.connection);
            this->recordClosing("made-room", 0, place.ageMs);
            Private::shutDown(place.connection);
            ++closed;
        }
        this->wake();
    }

    void closeIdleCrowd(const std::set<const MHD_Connection *> &begun)
    {
        if (!this->arePlacesScarce()) {
            return;
        }
        const std::uint64_t now = this->loop.nowMs();
        for (const auto &[connection, since] : this->readingSince) {
            const std::uint64_t boundMs = this->freshConnections.contains(connection) ? ScarceProgressMs : ScarceKeptMs;
            const bool isIdle = !begun.contains(connection) && now - since > boundMs && (Private::readyEvents(connection, POLLIN) & POLLIN) == 0;
            if (!isIdle || !this->closing.insert(connection).second) {
                continue;
            }
            this->recordClosing("idle", 0, now - since);
            Private::shutDown(connection);
        }
    }

    bool arePlacesScarce() const
    {
        return static_cast<double>(this->openConnections()) >= ScarceConnectionsFraction * this->options.maxConnections;
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
        const CallbackWatch watch(this->loop, typeid(HttpServer));
        const std::weak_ptr<bool> stillAlive = this->alive;
        this->isRunning = true;
        this->needsRun = false;
        MHD_run(this->daemon);
        std::vector<std::function<void()>> hooks;
        hooks.swap(this->deferred);
        for (const std::function<void()> &hook : hooks) {
            const CallbackWatch hookWatch(this->loop, hook.target_type());
            hook();
            if (stillAlive.expired()) {
                return;
            }
        }
        this->isRunning = false;
        this->makeRoom();
        this->armTimeout();
    }

    void armTimeout()
    {
        constexpr double MillisecondsPerSecond = 1000;
        this->timeout.stop();
        MHD_UNSIGNED_LONG_LONG wait = 0;
        const bool hasTimeout = MHD_get_timeout(this->daemon, &wait) == MHD_YES;
        if (this->needsRun || !this->deferred.empty()) {
            this->timeout.start(0.);
        } else if (this->excessConnections() > 0) {
            this->timeout.start(static_cast<double>(hasTimeout ? std::min<std::uint64_t>(wait, RoomCheckMs) : RoomCheckMs) / MillisecondsPerSecond);
        } else if (hasTimeout) {
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
    /** Connections that have not had a whole request yet. */
    std::set<const MHD_Connection *> freshConnections;
    /** Connections that were shut down and that libmicrohttpd has not closed yet. */
    std::set<const MHD_Connection *> closing;
    std::map<std::string, std::uint64_t> closings;
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
    for (const auto &[key, exchange] : this->d->exchanges) {
        exchange->closeAfterAnswer();
    }
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

bool HttpServer::acceptsConnections() const
{
    return this->d->openConnections() < this->d->options.maxConnections;
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

const std::map<std::string, std::uint64_t> &HttpServer::closings() const
{
    return this->d->closings;
}

std::string HttpServer::boundAddress() const
{
    return this->d->boundAddress;
}

} // namespace Apricothead
