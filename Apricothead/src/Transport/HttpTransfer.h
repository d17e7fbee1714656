#pragma once

#include "HttpClient.h"
#include "HttpConnections.h"
#include "HttpFraming.h"
#include "Timer.h"

#include <curl/curl.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Apricothead::detail {

/** \class HttpTransferOwner
 * \ingroup Transport_Module
 * \brief What a transfer asks of the client that drives it.
 */
class HttpTransferOwner
{
public:
    virtual ~HttpTransferOwner() = default;
    /** Removes the transfer as soon as libcurl allows it. */
    virtual void transferCancelled(CURL *easy) = 0;
    /** Ends the transfer, which has been silent for too long. Never called from inside libcurl. */
    virtual void transferSilent(CURL *easy) = 0;
    /** Goes on with a paused transfer, whose hooks get the bytes that were kept for it. Never called from inside libcurl. */
    virtual void transferResumed(CURL *easy) = 0;
    virtual HttpConnections &connections() = 0;
};

/** \class HttpTransfer
 * \ingroup Transport_Module
 * \brief One libcurl easy handle.
 *
 * libcurl sends a request again by itself when a kept connection turns out closed, and a request must not run twice: a second sending
 * within one transfer is stopped. So is the sending over a kept connection that has carried the same request before, has ended, or has bytes
 * waiting: the transfer starts again with a new connection.
 */
class HttpTransfer
{
public:
    HttpTransfer(EventLoop &loop, HttpTransferOwner &owner, std::weak_ptr<bool> ownerAlive, HttpCallOptions options);
    ~HttpTransfer();
    HttpTransfer(const HttpTransfer &) = delete;
    HttpTransfer &operator=(const HttpTransfer &) = delete;

    CURL *native() const;
    void cancel();
    void pause();
    void resume();
    HttpConnection connection() const;
    /** Prepares for another start when the connection that libcurl chose was rejected. \returns whether it was */
    bool prepareNewConnection();
    /** Tells the caller how the transfer ended; it has been removed from its client. */
    void ended(CURLcode code);

private:
    static std::size_t onHeaderLine(char *bytes, std::size_t size, std::size_t count, void *self);
    static int onBeforeSend(void *self, char *remoteAddress, char *localAddress, int remotePort, int localPort);
    static int onSocketMade(void *self, curl_socket_t socket, curlsocktype purpose);
    static int onSocketClosed(void *connections, curl_socket_t socket);
    static std::size_t onBody(char *bytes, std::size_t size, std::size_t count, void *self);
    void configure();
    void configureMethod();
    /** \returns false when the answer can't be relied on */
    bool takeHeaderLine(std::string_view line);
    bool endHead();
    /** \returns whether \a line shows that the head is put together of two answers. \a isFirst: it begins the head */
    bool isJoined(std::string_view line, bool isFirst) const;
    void armSilence();
    void checkSilence();
    void applyResume();
    const std::string &requestBody() const;
    /** \returns whether the answer has ended by the end of its connection, and before all of the request was sent: it may go on or have been cut off */
    bool isOvertaken() const;
    /** Counts bytes that libcurl hands over. \returns false when this turn of the loop has taken enough, and the transfer goes on in the next one */
    bool takeTurn(std::size_t bytes);

    EventLoop &loop;
    HttpTransferOwner &owner;
    std::weak_ptr<bool> ownerAlive;
    HttpCallOptions options;
    CURL *easy;
    curl_slist *headerLines = nullptr;
    HttpHeaders received;
    HttpFraming framing;
    Timer silenceTimer;
    Timer resumeTimer;
    std::uint64_t lastByteAt = 0;
    HttpConnection usedConnection;
    /** The socket that was made for this transfer; nothing when it uses a kept connection. */
    std::optional<curl_socket_t> madeSocket;
    /** The turn of the loop in which the last bytes were taken, and how many. */
    unsigned lastTurn = 0;
    std::size_t turnBytes = 0;
    unsigned status = 0;
    unsigned sendings = 0;
    std::size_t headBytes = 0;
    std::size_t bodyBytes = 0;
    /** Nothing was sent: the connection that libcurl chose has carried the request before, has ended, or has bytes waiting. */
    bool isConnectionRejected = false;
    /** The status line of a head, interim or final, has arrived, and its end has not. */
    bool isInHead = false;
    bool isHeadDone = false;
    /** The head is put together of an answer that was cut short and the one behind it. */
    bool isHeadJoined = false;
    bool quotesStatusLine = false;
    bool isPaused = false;
    bool isCancelled = false;
    bool isSilent = false;
};

/** \class HttpTransferCall
 * \ingroup Transport_Module
 * \brief The caller's hold on a transfer; dropping it cancels the transfer.
 */
class HttpTransferCall : public HttpCall
{
public:
    explicit HttpTransferCall(std::shared_ptr<HttpTransfer> transfer);
    ~HttpTransferCall() override;
    HttpTransferCall(const HttpTransferCall &) = delete;
    HttpTransferCall &operator=(const HttpTransferCall &) = delete;

    void pause() override;
    void resume() override;
    HttpConnection connection() const override;

private:
    std::shared_ptr<HttpTransfer> transfer;
};

} // namespace Apricothead::detail
