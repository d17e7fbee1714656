#include "HttpTransfer.h"

#include "CallbackWatch.h"
#include "EventLoop.h"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace Apricothead::detail {
namespace {

using std::chrono::milliseconds;

constexpr unsigned FirstFinalStatus = 200;
constexpr std::string_view StatusLineStart = "HTTP/";
/** Idle connections older than this are not used again: the older, the likelier that something on the way has forgotten them. */
constexpr long KeptConnectionSeconds = 8;
constexpr long ProbeSeconds = 1;
/** Bytes of an answer that are taken in one turn of the loop. libcurl reads hundreds of times as much while its peer sends quickly. */
constexpr std::size_t MaxTurnBytes = 16UL * 1024;
/** Memory that a header line takes in libcurl and here beside its text. */
constexpr std::size_t HeaderLineOverheadBytes = 128;

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
}

/** \returns whether the status of a status line is one of the protocol: three digits, from 100 to 599 */
bool isStatusInRange(std::string_view line)
{
    constexpr std::size_t StatusAt = std::string_view("HTTP/1.1 ").size();
    constexpr std::size_t StatusEnd = StatusAt + 3;
    constexpr std::string_view Ends = " \r\n";
    return line.size() > StatusEnd && line[StatusAt] >= '1' && line[StatusAt] <= '5' && Ends.find(line[StatusEnd]) != std::string_view::npos;
}

/** \returns whether an idle connection is open and nothing has arrived on it: an answer too many would be taken for that of the next request */
bool isQuiet(std::optional<int> socket)
{
    char byte = 0;
    return socket && recv(*socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

HttpTransfer::HttpTransfer(EventLoop &eventLoop, HttpTransferOwner &transferOwner, std::weak_ptr<bool> aliveOwner, HttpCallOptions callOptions)
    : loop(eventLoop)
    , owner(transferOwner)
    , ownerAlive(std::move(aliveOwner))
    , options(std::move(callOptions))
    , easy(curl_easy_init())
    , silenceTimer(eventLoop,
                   [this] {
                       this->checkSilence();
                   })
    , resumeTimer(eventLoop, [this] {
        this->applyResume();
    })
{
    this->configure();
    this->lastByteAt = this->loop.nowMs();
    this->armSilence();
}

HttpTransfer::~HttpTransfer()
{
    curl_easy_cleanup(this->easy);
    curl_slist_free_all(this->headerLines);
}

CURL *HttpTransfer::native() const
{
    return this->easy;
}

void HttpTransfer::configure()
{
    for (const auto &[name, value] : this->options.headers) {
        // A field without a value needs a semicolon, or libcurl would leave it out.
        std::string line = name;
        line.append(value.empty() ? ";" : ": ").append(value);
        this->headerLines = curl_slist_append(this->headerLines, line.c_str());
    }
    // libcurl would add these by itself.
    for (const char *own : {"Expect", "Accept", "Content-Type"}) {
        std::string name(own);
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
            return static_cast<char>(std::tolower(c));
        });
        if (!this->options.headers.contains(own) && !this->options.headers.contains(name)) {
            this->headerLines = curl_slist_append(this->headerLines, (std::string(own) + ":").c_str());
        }
    }
    curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, this->headerLines);
    curl_easy_setopt(this->easy, CURLOPT_URL, this->options.url.c_str());
    curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(this->easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(this->easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(this->easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, this->options.keepConnection ? 0L : 1L);
    curl_easy_setopt(this->easy, CURLOPT_FORBID_REUSE, this->options.keepConnection ? 0L : 1L);
    curl_easy_setopt(this->easy, CURLOPT_MAXAGE_CONN, KeptConnectionSeconds);
    curl_easy_setopt(this->easy, CURLOPT_CONNECT_ONLY, this->options.connectOnly ? 1L : 0L);
    curl_easy_setopt(this->easy, CURLOPT_PREREQFUNCTION, &HttpTransfer::onBeforeSend);
    curl_easy_setopt(this->easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(this->easy, CURLOPT_SOCKOPTFUNCTION, &HttpTransfer::onSocketMade);
    curl_easy_setopt(this->easy, CURLOPT_SOCKOPTDATA, this);
    // A connection outlives the transfer that made it.
    curl_easy_setopt(this->easy, CURLOPT_CLOSESOCKETFUNCTION, &HttpTransfer::onSocketClosed);
    curl_easy_setopt(this->easy, CURLOPT_CLOSESOCKETDATA, &this->owner.connections());
    if (this->options.unacknowledged.count() > 0) {
        // Shows that a peer is gone while this side only waits.
        curl_easy_setopt(this->easy, CURLOPT_TCP_KEEPALIVE, 1L);
        curl_easy_setopt(this->easy, CURLOPT_TCP_KEEPIDLE, ProbeSeconds);
        curl_easy_setopt(this->easy, CURLOPT_TCP_KEEPINTVL, ProbeSeconds);
    }
    curl_easy_setopt(this->easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(this->options.connectTimeout.count()));
    curl_easy_setopt(this->easy, CURLOPT_TIMEOUT_MS, static_cast<long>(this->options.total.count()));
    curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, &HttpTransfer::onHeaderLine);
    curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, &HttpTransfer::onBody);
    curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, this);
    this->configureMethod();
}

void HttpTransfer::configureMethod()
{
    const std::string &method = this->options.method;
    if (method == "HEAD") {
        curl_easy_setopt(this->easy, CURLOPT_NOBODY, 1L);
        return;
    }
    const std::string &body = this->requestBody();
    if (method != "GET" || !body.empty()) {
        curl_easy_setopt(this->easy, CURLOPT_POST, 1L);
        curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body.size()));
        curl_easy_setopt(this->easy, CURLOPT_POSTFIELDS, body.data());
    }
    curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

const std::string &HttpTransfer::requestBody() const
{
    return this->options.sharedBody ? *this->options.sharedBody : this->options.body;
}

bool HttpTransfer::isOvertaken() const
{
    curl_off_t sentBytes = 0;
    curl_easy_getinfo(this->easy, CURLINFO_SIZE_UPLOAD_T, &sentBytes);
    const bool isUnsent = static_cast<std::size_t>(sentBytes) < this->requestBody().size();
    const bool isUnacknowledged = this->owner.connections().takeUnacknowledged(this->usedConnection.number);
    return !this->framing.isDelimited() && (isUnsent || isUnacknowledged);
}

int HttpTransfer::onBeforeSend(void *self, char *remoteAddress, char *localAddress, int remotePort, int localPort)
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    if (transfer->isCancelled) {
        return CURL_PREREQFUNC_ABORT;
    }
    if (transfer->sendings > 0) {
        ++transfer->sendings;
        return CURL_PREREQFUNC_ABORT;
    }
    const std::string addresses = std::string(localAddress) + ":" + std::to_string(localPort) + ">" + remoteAddress + ":" + std::to_string(remotePort);
    HttpConnections &connections = transfer->owner.connections();
    if (transfer->madeSocket) {
        connections.recordOpened(*transfer->madeSocket, addresses);
    }
    const std::string &id = transfer->options.requestId;
    const bool mayHaveCarried = !id.empty() && connections.mayHaveCarried(addresses, id);
    const bool isKept = !transfer->madeSocket;
    transfer->isConnectionRejected = mayHaveCarried || (isKept && !isQuiet(connections.socketOf(addresses)));
    if (transfer->isConnectionRejected) {
        return CURL_PREREQFUNC_ABORT;
    }
    ++transfer->sendings;
    transfer->usedConnection = connections.recordRequest(addresses, id);
    if (transfer->usedConnection.earlierRequests + 1 >= HttpConnections::MaxRequests) {
        curl_easy_setopt(transfer->easy, CURLOPT_FORBID_REUSE, 1L);
    }
    return CURL_PREREQFUNC_OK;
}

int HttpTransfer::onSocketMade(void *self, curl_socket_t socket, curlsocktype)
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    transfer->madeSocket = socket;
    const auto bound = static_cast<unsigned>(transfer->options.unacknowledged.count());
    if (bound > 0) {
        // Without it the connection only lives longer when its peer is silent.
        setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &bound, sizeof(bound));
    }
    return CURL_SOCKOPT_OK;
}

int HttpTransfer::onSocketClosed(void *connections, curl_socket_t socket)
{
    int unacknowledgedBytes = 0;
    const bool isKnown = ioctl(socket, SIOCOUTQ, &unacknowledgedBytes) == 0;
    static_cast<HttpConnections *>(connections)->recordClosed(socket, isKnown && unacknowledgedBytes > 0);
    return close(socket);
}

std::size_t HttpTransfer::onHeaderLine(char *bytes, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    if (transfer->isCancelled) {
        return 0;
    }
    transfer->headBytes += size * count + HeaderLineOverheadBytes;
    if (transfer->headBytes > transfer->options.maxHeadBytes) {
        return 0;
    }
    transfer->lastByteAt = transfer->loop.nowMs();
    const bool isSound = transfer->takeHeaderLine({bytes, size * count});
    return transfer->isCancelled || !isSound ? 0 : size * count;
}

std::size_t HttpTransfer::onBody(char *bytes, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    if (transfer->isCancelled) {
        return 0;
    }
    if (transfer->isPaused || !transfer->takeTurn(size * count)) {
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer->bodyBytes += size * count;
    if (!transfer->isHeadDone) {
        // The peer goes on in a protocol that was not asked for.
        return 0;
    }
    if (transfer->options.maxBodyBytes > 0 && transfer->bodyBytes > transfer->options.maxBodyBytes) {
        return 0;
    }
    transfer->lastByteAt = transfer->loop.nowMs();
    if (transfer->options.onData) {
        const CallbackWatch watch(transfer->loop, transfer->options.onData.target_type());
        transfer->options.onData({bytes, size * count});
    }
    return transfer->isCancelled ? 0 : size * count;
}

bool HttpTransfer::takeHeaderLine(std::string_view line)
{
    if (this->isHeadDone) {
        // A trailer.
        return true;
    }
    const bool isFirst = !std::exchange(this->isInHead, true);
    this->isHeadJoined = this->isJoined(line, isFirst);
    if (this->isHeadJoined) {
        return false;
    }
    if (findStatusLine(line, isFirst ? 1 : 0) != std::string_view::npos) {
        this->quotesStatusLine = true;
        // The next answer could not be told from this one, cut short, and the one behind it.
        curl_easy_setopt(this->easy, CURLOPT_FORBID_REUSE, 1L);
    }
    if (isFirst && !isStatusInRange(line)) {
        return false;
    }
    if (isFirst) {
        this->received.clear();
        this->framing = {};
        return true;
    }
    if (trimmed(line).empty()) {
        return this->endHead();
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const std::string_view value = trimmed(line.substr(colon + 1));
    this->framing.addField(line.substr(0, colon), value);
    std::string name(line.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    // A repeated field is a list, but for cookies, whose values may hold commas.
    std::string &kept = this->received[name];
    const bool isList = !kept.empty() && kept != value && name != "set-cookie";
    kept = isList ? kept + ", " + std::string(value) : std::string(value);
    return true;
}

bool HttpTransfer::isJoined(std::string_view line, bool isFirst) const
{
    const bool isMisplaced = isFirst ? findStatusLine(line) != 0 : line.starts_with(StatusLineStart);
    const bool isQuoted = findStatusLine(line, isFirst ? 1 : 0) != std::string_view::npos;
    // Where nothing can be left of an earlier answer, a quoted status line is no more than that.
    return isMisplaced || (isQuoted && this->usedConnection.earlierRequests > 0);
}

bool HttpTransfer::endHead()
{
    if (this->framing.fault(HttpMessageKind::Answer) != HttpFramingFault::None) {
        return false;
    }
    long code = 0;
    curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &code);
    if (static_cast<unsigned>(code) < FirstFinalStatus) {
        this->isInHead = false;
        return true;
    }
    this->isHeadDone = true;
    this->status = static_cast<unsigned>(code);
    if (this->options.onHead) {
        const CallbackWatch watch(this->loop, this->options.onHead.target_type());
        this->options.onHead(this->status, this->received);
    }
    return true;
}

void HttpTransfer::armSilence()
{
    if (this->options.silence.count() > 0) {
        this->silenceTimer.startOnce(this->options.silence);
    }
}

void HttpTransfer::checkSilence()
{
    const std::uint64_t now = this->loop.nowMs();
    if (this->isPaused) {
        this->lastByteAt = now;
    }
    const auto bound = static_cast<std::uint64_t>(this->options.silence.count());
    const std::uint64_t silent = now - this->lastByteAt;
    if (silent < bound) {
        this->silenceTimer.startOnce(milliseconds(bound - silent));
        return;
    }
    this->isSilent = true;
    if (!this->ownerAlive.expired()) {
        this->owner.transferSilent(this->easy);
    }
}

void HttpTransfer::pause()
{
    this->isPaused = true;
    this->resumeTimer.stop();
}

void HttpTransfer::resume()
{
    if (!this->isPaused) {
        return;
    }
    this->isPaused = false;
    this->lastByteAt = this->loop.nowMs();
    // Later: libcurl may call onData from inside, and this may run inside a hook.
    this->resumeTimer.startOnce(milliseconds::zero());
}

bool HttpTransfer::takeTurn(std::size_t bytes)
{
    if (std::exchange(this->lastTurn, this->loop.turn()) != this->loop.turn()) {
        this->turnBytes = 0;
    }
    if (this->turnBytes >= MaxTurnBytes) {
        this->resumeTimer.startOnce(milliseconds::zero());
        return false;
    }
    this->turnBytes += bytes;
    return true;
}

bool HttpTransfer::prepareNewConnection()
{
    if (!std::exchange(this->isConnectionRejected, false) || this->isCancelled || this->madeSocket) {
        return false;
    }
    curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
    return true;
}

HttpConnection HttpTransfer::connection() const
{
    return this->usedConnection;
}

void HttpTransfer::applyResume()
{
    if (!this->ownerAlive.expired()) {
        this->owner.transferResumed(this->easy);
    }
}

void HttpTransfer::cancel()
{
    if (std::exchange(this->isCancelled, true)) {
        return;
    }
    this->silenceTimer.stop();
    this->resumeTimer.stop();
    if (!this->ownerAlive.expired()) {
        this->owner.transferCancelled(this->easy);
    }
}

void HttpTransfer::ended(CURLcode code)
{
    this->silenceTimer.stop();
    this->resumeTimer.stop();
    if (std::exchange(this->isCancelled, true) || !this->options.onDone) {
        return;
    }
    HttpResult result;
    // libcurl also ends well when the connection closes within a head.
    const bool hasAnswer = this->isHeadDone || this->options.connectOnly;
    const bool isOvertaken = this->isOvertaken();
    result.whole = code == CURLE_OK && hasAnswer && !isOvertaken;
    result.neverSent = code != CURLE_OK && this->sendings == 0;
    result.connection = this->usedConnection;
    result.status = this->status;
    result.quotesStatusLine = this->quotesStatusLine;
    if (this->isHeadJoined) {
        result.error = "the head of the answer is that of two answers";
    } else if (code != CURLE_OK) {
        result.error = this->isSilent ? "no byte received within the silence bound" : curl_easy_strerror(code);
    } else if (!hasAnswer) {
        result.error = "the connection ended within the head of the answer";
    } else if (isOvertaken) {
        result.error = "the connection ended an answer without a length before the request was sent";
    }
    const CallbackWatch watch(this->loop, this->options.onDone.target_type());
    this->options.onDone(result);
}

HttpTransferCall::HttpTransferCall(std::shared_ptr<HttpTransfer> heldTransfer) : transfer(std::move(heldTransfer))
{ }

HttpTransferCall::~HttpTransferCall()
{
    this->transfer->cancel();
}

void HttpTransferCall::pause()
{
    this->transfer->pause();
}

void HttpTransferCall::resume()
{
    this->transfer->resume();
}

HttpConnection HttpTransferCall::connection() const
{
    return this->transfer->connection();
}

} // namespace Apricothead::detail
