#include "HttpTransfer.h"

#include "EventLoop.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace Apricothead::detail {
namespace {

using std::chrono::milliseconds;

constexpr unsigned FirstFinalStatus = 200;

std::string_view trimmed(std::string_view text)
{
    constexpr std::string_view Blanks = " \t\r\n";
    const std::size_t first = text.find_first_not_of(Blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(Blanks) - first + 1);
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
    this->headerLines = curl_slist_append(this->headerLines, "Expect:");
    curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, this->headerLines);
    curl_easy_setopt(this->easy, CURLOPT_URL, this->options.url.c_str());
    curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(this->easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(this->easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(this->easy, CURLOPT_FORBID_REUSE, 1L);
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
    if (method != "GET" || !this->options.body.empty()) {
        curl_easy_setopt(this->easy, CURLOPT_POST, 1L);
        curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(this->options.body.size()));
        curl_easy_setopt(this->easy, CURLOPT_POSTFIELDS, this->options.body.data());
    }
    curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST, method.c_str());
}

std::size_t HttpTransfer::onHeaderLine(char *bytes, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    if (transfer->isCancelled) {
        return 0;
    }
    transfer->lastByteAt = transfer->loop.nowMs();
    transfer->takeHeaderLine({bytes, size * count});
    return size * count;
}

std::size_t HttpTransfer::onBody(char *bytes, std::size_t size, std::size_t count, void *self)
{
    auto *transfer = static_cast<HttpTransfer *>(self);
    if (transfer->isCancelled) {
        return 0;
    }
    if (transfer->isPaused) {
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer->lastByteAt = transfer->loop.nowMs();
    if (transfer->options.onData) {
        transfer->options.onData({bytes, size * count});
    }
    return size * count;
}

void HttpTransfer::takeHeaderLine(std::string_view line)
{
    if (this->isHeadDone) {
        // A trailer.
        return;
    }
    if (trimmed(line).empty()) {
        this->endHead();
        return;
    }
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) {
        this->received.clear();
        return;
    }
    std::string name(trimmed(line.substr(0, colon)));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
        return static_cast<char>(std::tolower(c));
    });
    this->received[name] = trimmed(line.substr(colon + 1));
}

void HttpTransfer::endHead()
{
    long code = 0;
    curl_easy_getinfo(this->easy, CURLINFO_RESPONSE_CODE, &code);
    if (static_cast<unsigned>(code) < FirstFinalStatus) {
        return;
    }
    this->isHeadDone = true;
    this->status = static_cast<unsigned>(code);
    if (this->options.onHead) {
        this->options.onHead(this->status, this->received);
    }
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

void HttpTransfer::applyResume()
{
    curl_easy_pause(this->easy, CURLPAUSE_CONT);
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
    long sentBytes = 0;
    curl_easy_getinfo(this->easy, CURLINFO_REQUEST_SIZE, &sentBytes);
    HttpResult result;
    result.whole = code == CURLE_OK;
    result.neverSent = code != CURLE_OK && sentBytes == 0;
    result.status = this->status;
    if (code != CURLE_OK) {
        result.error = this->isSilent ? "no byte received within the silence bound" : curl_easy_strerror(code);
    }
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

} // namespace Apricothead::detail
