#include "HttpExchange.h"

#include <microhttpd.h>

#include <algorithm>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace Apricothead::detail {
namespace {

constexpr std::size_t StreamBlockBytes = 16 * 1024;
/** Consumed bytes at the front of the queue are given up from this size on. */
constexpr std::size_t CompactBytes = 64 * 1024;

ssize_t readStream(void *exchange, std::uint64_t, char *buffer, std::size_t size)
{
    return static_cast<HttpExchange *>(exchange)->read(buffer, size);
}

void dropStreamReference(void *)
{ }

} // namespace

HttpExchange::HttpExchange(struct ev_loop *loop, MHD_Connection *mhdConnection, Hooks exchangeHooks)
    : connection(mhdConnection), hooks(std::move(exchangeHooks)), socketWatcher(loop)
{
    this->socketWatcher.set<HttpExchange, &HttpExchange::onReadable>(this);
}

HttpExchange::~HttpExchange() = default;

void HttpExchange::send(unsigned status, const HttpHeaders &headers, std::string body)
{
    if (this->answer || this->connection == nullptr) {
        return;
    }
    this->answer = Answer{.status = status, .headers = headers, .streamed = false};
    this->pending = std::move(body);
    this->heldAnswer.set(this->pending.size());
    this->isFinished = true;
    this->resume();
}

void HttpExchange::startStream(unsigned status, const HttpHeaders &headers)
{
    if (this->answer || this->connection == nullptr) {
        return;
    }
    this->answer = Answer{.status = status, .headers = headers, .streamed = true};
    this->resume();
}

void HttpExchange::write(std::string_view bytes)
{
    if (this->connection == nullptr || this->isFinished || this->isAborted) {
        return;
    }
    this->pending.append(bytes);
    this->heldAnswer.set(this->pending.size());
    this->resume();
}

void HttpExchange::finish()
{
    this->isFinished = true;
    this->resume();
}

void HttpExchange::abort()
{
    this->isAborted = true;
    if (this->answer && this->answer->streamed) {
        // Nobody gets them, and a caller that takes nothing would keep them until its connection times out.
        std::string().swap(this->pending);
        this->consumed = 0;
        this->heldAnswer.set(0);
    }
    this->resume();
}

bool HttpExchange::hasPeerClosed() const
{
    const MHD_ConnectionInfo *info = this->connection == nullptr ? nullptr : MHD_get_connection_info(this->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info == nullptr) {
        return true;
    }
    pollfd watched{.fd = info->connect_fd, .events = POLLRDHUP, .revents = 0};
    return poll(&watched, 1, 0) > 0;
}

std::size_t HttpExchange::queuedBytes() const
{
    return this->pending.size() - this->consumed;
}

void HttpExchange::onDisconnect(std::function<void()> hook)
{
    this->disconnectHook = std::move(hook);
}

void HttpExchange::onDrained(std::function<void()> hook)
{
    this->drainedHook = std::move(hook);
}

void HttpExchange::onSent(std::function<void()> hook)
{
    this->sentHook = std::move(hook);
}

MHD_Connection *HttpExchange::nativeConnection() const
{
    return this->connection;
}

std::size_t HttpExchange::bodyBytes() const
{
    return this->request.body.size() + this->droppedBytes;
}

void HttpExchange::closeAfterAnswer()
{
    this->closesAfterAnswer = true;
}

void HttpExchange::suspend()
{
    this->isSuspended = true;
    const MHD_ConnectionInfo *info = MHD_get_connection_info(this->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info != nullptr) {
        this->socketWatcher.start(info->connect_fd, ev::READ);
    }
    MHD_suspend_connection(this->connection);
}

void HttpExchange::resume()
{
    if (!this->isSuspended || this->connection == nullptr) {
        return;
    }
    this->isSuspended = false;
    this->socketWatcher.stop();
    MHD_resume_connection(this->connection);
    this->hooks.wake();
}

void HttpExchange::onReadable(ev::io &watcher, int)
{
    char byte = 0;
    const ssize_t got = recv(watcher.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool isPipelined = got > 0;
    const bool isSpurious = got < 0 && (errno == EAGAIN || errno == EINTR);
    if (isSpurious) {
        return;
    }
    if (isPipelined) {
        // The next request; without this the watcher would fire again and again.
        watcher.stop();
        return;
    }
    this->abort();
    this->disconnected();
}

void HttpExchange::disconnected()
{
    this->sentHook = nullptr;
    this->drainedHook = nullptr;
    if (this->disconnectHook) {
        this->hooks.defer(std::exchange(this->disconnectHook, nullptr));
    }
}

MHD_Response *HttpExchange::makeResponse()
{
    if (!this->answer->streamed) {
        return MHD_create_response_from_buffer(this->pending.size(), this->pending.data(), MHD_RESPMEM_MUST_COPY);
    }
    return MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, StreamBlockBytes, &readStream, this, &dropStreamReference);
}

bool HttpExchange::queueAnswer()
{
    if (this->isAborted || !this->answer || this->isAnswerQueued) {
        return false;
    }
    this->isAnswerQueued = true;
    MHD_Response *response = this->makeResponse();
    if (!this->answer->streamed) {
        // libmicrohttpd has its own copy, which stays charged.
        std::string().swap(this->pending);
    }
    for (const auto &[name, value] : this->answer->headers) {
        MHD_add_response_header(response, name.c_str(), value.c_str());
    }
    if (this->closesAfterAnswer) {
        MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
    }
    const bool isQueued = MHD_queue_response(this->connection, this->answer->status, response) == MHD_YES;
    MHD_destroy_response(response);
    return isQueued;
}

long HttpExchange::read(char *buffer, std::size_t size)
{
    const std::size_t queued = this->queuedBytes();
    if (this->isAborted) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    if (queued == 0 && this->isFinished) {
        return MHD_CONTENT_READER_END_OF_STREAM;
    }
    if (queued == 0) {
        this->suspend();
        return 0;
    }
    const std::size_t taken = std::min(queued, size);
    std::memcpy(buffer, this->pending.data() + this->consumed, taken);
    this->consumed += taken;
    if (this->consumed == this->pending.size()) {
        this->pending.clear();
        this->consumed = 0;
        if (this->drainedHook) {
            this->hooks.defer(this->drainedHook);
        }
    } else if (this->consumed >= CompactBytes) {
        this->pending.erase(0, this->consumed);
        this->consumed = 0;
    }
    this->heldAnswer.set(this->pending.size());
    return static_cast<long>(taken);
}

void HttpExchange::completed(bool whole)
{
    this->socketWatcher.stop();
    this->connection = nullptr;
    this->isSuspended = false;
    this->heldHead.set(0);
    this->heldBody.set(0);
    this->heldAnswer.set(0);
    if (!whole || !this->isFinished) {
        this->disconnected();
        return;
    }
    this->disconnectHook = nullptr;
    this->drainedHook = nullptr;
    if (this->sentHook) {
        this->hooks.defer(std::exchange(this->sentHook, nullptr));
    }
}

HttpExchangeOwner::HttpExchangeOwner(std::shared_ptr<HttpExchange> ownedExchange) : exchange(std::move(ownedExchange))
{ }

HttpExchangeOwner::~HttpExchangeOwner()
{
    if (!this->isEnded) {
        this->exchange->abort();
    }
}

void HttpExchangeOwner::send(unsigned status, const HttpHeaders &headers, std::string body)
{
    this->isEnded = true;
    this->exchange->send(status, headers, std::move(body));
}

void HttpExchangeOwner::startStream(unsigned status, const HttpHeaders &headers)
{
    this->exchange->startStream(status, headers);
}

void HttpExchangeOwner::write(std::string_view bytes)
{
    this->exchange->write(bytes);
}

void HttpExchangeOwner::finish()
{
    this->isEnded = true;
    this->exchange->finish();
}

void HttpExchangeOwner::abort()
{
    this->isEnded = true;
    this->exchange->abort();
}

bool HttpExchangeOwner::hasPeerClosed() const
{
    return this->exchange->hasPeerClosed();
}

std::size_t HttpExchangeOwner::queuedBytes() const
{
    return this->exchange->queuedBytes();
}

void HttpExchangeOwner::onDisconnect(std::function<void()> hook)
{
    this->exchange->onDisconnect(std::move(hook));
}

void HttpExchangeOwner::onDrained(std::function<void()> hook)
{
    this->exchange->onDrained(std::move(hook));
}

void HttpExchangeOwner::onSent(std::function<void()> hook)
{
    this->exchange->onSent(std::move(hook));
}

} // namespace Apricothead::detail
