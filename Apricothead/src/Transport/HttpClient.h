#pragma once

#include "HttpServer.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Apricothead {

class EventLoop;

/** \class HttpConnection
 * \ingroup Transport_Module
 * \brief The connection that a call was sent over.
 */
struct HttpConnection {
    /** Unique within its client; 0 when nothing was sent. */
    std::uint64_t number = 0;
    /** Requests that it carried before this one, so that bytes on it may belong to those. */
    std::uint64_t earlierRequests = 0;

    bool operator==(const HttpConnection &) const = default;
};

/** \class HttpResult
 * \ingroup Transport_Module
 * \brief How a call ended.
 */
struct HttpResult {
    /** True when the answer arrived whole. */
    bool whole = false;
    /** True when it is certain that no byte of the request left this process, for instance since the connection was refused. */
    bool neverSent = false;
    HttpConnection connection;
    /** The head of the answer quotes a status line, so that it may be put together of two answers, and what it says proves nothing. */
    bool quotesStatusLine = false;
    /** 0 when no head arrived. */
    unsigned status = 0;
    std::string error;
};

/** \class HttpCallOptions
 * \ingroup Transport_Module
 * \brief One request of an HttpClient and its hooks, called on the loop's thread.
 */
struct HttpCallOptions {
    std::string method = "GET";
    std::string url;
    HttpHeaders headers;
    std::string body;
    /** Sent in place of \c body when set: attempts at one request share it. */
    std::shared_ptr<const std::string> sharedBody;
    std::chrono::milliseconds connectTimeout{2000};
    /** No byte received for this long ends the call; zero means no bound. */
    std::chrono::milliseconds silence{0};
    std::chrono::milliseconds total{0};
    /** Uses a kept connection if there is one, and keeps this one. A request is never sent twice: libcurl's own second sending is stopped. */
    bool keepConnection = false;
    /** Id that an answer repeats; empty when it repeats none. A connection carries an id only once, so that an answer with this id can't be one to
     * an earlier sending of the request. */
    std::string requestId;
    /** Only connects, and closes the connection again: a call that ends whole shows that the peer accepts connections. */
    bool connectOnly = false;
    /** Bytes sent and not acknowledged for this long break the connection; zero means the system's bound. */
    std::chrono::milliseconds unacknowledged{0};
    /** Bound on the memory of all header lines together: interim answers, the head and trailers. A line counts as 128 bytes more than its text.
     * A call that receives more ends, and its connection is closed. */
    std::size_t maxHeadBytes = 64 * 1024;
    /** Bound on the body, in bytes; zero means no bound. A call that receives more ends, and its connection is closed. */
    std::size_t maxBodyBytes = 0;
    /** May drop the HttpCall: the connection is closed then. */
    std::function<void(unsigned status, const HttpHeaders &headers)> onHead;
    std::function<void(std::string_view)> onData;
    std::function<void(const HttpResult &)> onDone;
};

/** \class HttpCall
 * \ingroup Transport_Module
 * \brief A call under way. Dropping it cancels the call without calling onDone.
 */
class HttpCall
{
public:
    virtual ~HttpCall() = default;
    /** Stops taking bytes until resume(); the peer is slowed by TCP. */
    virtual void pause() = 0;
    virtual void resume() = 0;
    virtual HttpConnection connection() const = 0;
};

/** \class HttpClient
 * \ingroup Transport_Module
 * \brief libcurl multi on an EventLoop.
 */
class HttpClient
{
public:
    explicit HttpClient(EventLoop &loop);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    std::unique_ptr<HttpCall> start(HttpCallOptions options);

    /** \returns the number of open connections */
    std::size_t openConnections() const;
    /** \returns the number of request ids that are remembered, over all open connections */
    std::size_t rememberedIds() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
