#pragma once

#include "ByteBudget.h"
#include "HttpServer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <ev++.h>

struct MHD_Connection;
struct MHD_Response;

namespace Apricothead::detail {

/** \class HttpExchange
 * \ingroup Transport_Module
 * \brief One request of a connection and its answer, from the first header to the last byte.
 *
 * While the answer is pending, the connection is suspended and its socket is watched for the caller's leaving.
 * \sa HttpServer
 */
class HttpExchange
    : public HttpReply
    , public std::enable_shared_from_this<HttpExchange>
{
public:
    /** \a wake asks the server to let libmicrohttpd run; \a defer runs a hook after it has run. */
    struct Hooks {
        std::function<void()> wake;
        std::function<void(std::function<void()>)> defer;
    };

    HttpExchange(struct ev_loop *loop, MHD_Connection *connection, Hooks hooks);
    ~HttpExchange() override;

    void send(unsigned status, const HttpHeaders &headers, std::string body) override;
    void startStream(unsigned status, const HttpHeaders &headers) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    bool hasPeerClosed() const override;
    std::size_t queuedBytes() const override;
    void onDisconnect(std::function<void()> hook) override;
    void onDrained(std::function<void()> hook) override;
    void onSent(std::function<void()> hook) override;

    /** The request is whole and is being served: takes the connection out of libmicrohttpd's hands until there is something to do. */
    void suspend();

    /** Hands the answer to libmicrohttpd. \returns false when the connection is to be closed */
    bool queueAnswer();

    /** Called by libmicrohttpd for the next bytes of a stream. \returns a count, or a MHD_CONTENT_READER code */
    long read(char *buffer, std::size_t size);

    /** The connection is through with this request. */
    void completed(bool whole);

    /** \returns the connection; null after completed() */
    MHD_Connection *nativeConnection() const;

    /** No further request will be taken on this connection. */
    void closeAfterAnswer();

    /** \returns the bytes of the body that have arrived, also those that were dropped */
    std::size_t bodyBytes() const;

    HttpRequest request;
    /** Of the path and query as they arrived. */
    std::size_t targetBytes = 0;
    bool isServed = false;
    /** Status of the refusal that the request gets once it is whole; 0: none. Its body is dropped meanwhile. */
    unsigned refusal = 0;
    std::size_t droppedBytes = 0;
    std::uint64_t startedMs = 0;
    /** When the head was whole, or the body last grown by a KB. */
    std::uint64_t progressMs = 0;
    std::size_t progressBytes = 0;
    /** What the fields of the head cost, here and where they are passed on. */
    ByteCharge heldHead;
    /** Body of the request, as long as it may be repeated. */
    ByteCharge heldBody;

private:
    struct Answer {
        unsigned status = 0;
        HttpHeaders headers;
        bool streamed = false;
    };

    void resume();
    void disconnected();
    void onReadable(ev::io &watcher, int events);
    MHD_Response *makeResponse();

    MHD_Connection *connection;
    Hooks hooks;
    ev::io socketWatcher;
    std::optional<Answer> answer;
    std::string pending;
    std::size_t consumed = 0;
    ByteCharge heldAnswer;
    bool isSuspended = false;
    bool isAnswerQueued = false;
    bool isFinished = false;
    bool isAborted = false;
    bool closesAfterAnswer = false;
    std::function<void()> disconnectHook;
    std::function<void()> drainedHook;
    std::function<void()> sentHook;
};

/** \class HttpExchangeOwner
 * \ingroup Transport_Module
 * \brief The reference that the request's handler holds: closes the connection when it is dropped without an answer.
 */
class HttpExchangeOwner : public HttpReply
{
public:
    explicit HttpExchangeOwner(std::shared_ptr<HttpExchange> exchange);
    ~HttpExchangeOwner() override;
    HttpExchangeOwner(const HttpExchangeOwner &) = delete;
    HttpExchangeOwner &operator=(const HttpExchangeOwner &) = delete;

    void send(unsigned status, const HttpHeaders &headers, std::string body) override;
    void startStream(unsigned status, const HttpHeaders &headers) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    bool hasPeerClosed() const override;
    std::size_t queuedBytes() const override;
    void onDisconnect(std::function<void()> hook) override;
    void onDrained(std::function<void()> hook) override;
    void onSent(std::function<void()> hook) override;

private:
    std::shared_ptr<HttpExchange> exchange;
    bool isEnded = false;
};

} // namespace Apricothead::detail
