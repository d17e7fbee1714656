#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Apricothead {

class EventLoop;

/** Header fields by lower-case name. */
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

/** \class HttpRequest
 * \ingroup Transport_Module
 * \brief One request, whole: the body has been read within the limits.
 */
struct HttpRequest {
    std::string method;
    std::string path;
    /** Without the question mark; empty when there is none. */
    std::string query;
    HttpHeaders headers;
    std::string body;
};

/** \class HttpReply
 * \ingroup Transport_Module
 * \brief Answers one HttpRequest, whole or as a stream. Used on the loop's thread only.
 *
 * Dropping the last reference before an answer was given closes the connection.
 */
class HttpReply
{
public:
    virtual ~HttpReply() = default;

    /** Answers whole. */
    virtual void send(unsigned status, const HttpHeaders &headers, std::string body) = 0;

    /** Starts a streamed (chunked) answer. */
    virtual void startStream(unsigned status, const HttpHeaders &headers) = 0;
    virtual void write(std::string_view bytes) = 0;
    /** Ends a streamed answer cleanly. */
    virtual void finish() = 0;
    /** Breaks the connection, so that the caller sees that the answer is not whole. */
    virtual void abort() = 0;

    /** \returns true when the caller has closed its side, as far as this machine has been told. Known at once, also after the process was held up. */
    virtual bool hasPeerClosed() const = 0;

    /** \returns bytes written but not yet taken by the connection */
    virtual std::size_t queuedBytes() const = 0;

    /** \a hook is called once when the caller's connection ends before the answer has been sent whole. */
    virtual void onDisconnect(std::function<void()> hook) = 0;

    /** \a hook is called each time queuedBytes() falls to zero while streaming. */
    virtual void onDrained(std::function<void()> hook) = 0;

    /** \a hook is called once when the last byte has been handed to the connection. */
    virtual void onSent(std::function<void()> hook) = 0;
};

/** \class HttpServerOptions
 * \ingroup Transport_Module
 * \brief Where an HttpServer listens, its limits and its hook.
 */
struct HttpServerOptions {
    /** IP and port, as \c 127.0.0.1:8080; port 0 takes a free one. */
    std::string address;
    std::size_t maxBodyBytes = 4 * 1024 * 1024;
    std::size_t maxHeaderBytes = 32 * 1024;
    /** Connections beyond this wait until another one ends. When three quarters are open, connections end with their answers; from seven eighths
     * on, those that bring no whole request and progress least are closed. */
    unsigned maxConnections = 1024;
    /** A connection that neither sends nor takes a byte for this long, without a request being served, is closed. */
    std::chrono::seconds idleTimeout{30};
    /** A head that is not whole after this time closes its connection, and so does a body of which less than a KB arrives in this time, or that
     * arrives at less than 4 KB a second after it. */
    std::chrono::seconds progressTimeout{20};
    /** Called for each whole request, on the loop's thread. */
    std::function<void(HttpRequest, std::shared_ptr<HttpReply>)> onRequest;
    /** Called instead of onRequest when the caller had closed its side by the time its request was read; may be empty. */
    std::function<void(const HttpRequest &)> onAbandoned;
    /** Makes the body of a refusal by the server itself (400, 413, 431), with the fitting content type application/json. */
    std::function<std::string(unsigned status)> errorBody;
    /** Further header fields of such a refusal; may be empty. */
    std::function<HttpHeaders()> errorHeaders;
};

/** \class HttpServer
 * \ingroup Transport_Module
 * \brief libmicrohttpd on an EventLoop, without threads of its own.
 */
class HttpServer
{
public:
    HttpServer(EventLoop &loop, HttpServerOptions options);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** Tells callers with each answer to make a new connection for their next request, and closes this one. */
    void closeAfterAnswers();

    /** Closes connections that have not brought any part of a request for \a idle. */
    void closeIdle(std::chrono::milliseconds idle);

    /** Accepts no new connection; open ones go on. */
    void stopListening();

    /** \returns false while connections beyond the open ones have to wait */
    bool acceptsConnections() const;
    std::size_t openConnections() const;
    /** \returns requests that were handed to onRequest and whose answers are not sent whole yet */
    std::size_t openRequests() const;
    /** \returns how often this server refused a body or closed a connection to protect the process, by reason */
    const std::map<std::string, std::uint64_t> &closings() const;
    std::string boundAddress() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
