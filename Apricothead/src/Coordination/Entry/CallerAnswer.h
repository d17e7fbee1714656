#pragma once

#include "CallerRequest.h"

#include "../../Protocol/CallerError.h"
#include "../../Transport/HttpServer.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Apricothead {

/** \class AnswerHead
 * \ingroup Coordination_Module
 * \brief Status and header fields of an answer, known once its run has started.
 */
struct AnswerHead {
    unsigned status = 200;
    std::string contentType;
    std::string version;
    Verdict verdict = Verdict::Ran;

    bool operator==(const AnswerHead &) const = default;
};

/** \class CallerAnswer
 * \ingroup Coordination_Module
 * \brief Writes the answer to one caller in the requested format.
 *
 * begin() may be called again for another run while hasStarted() is false. Exactly one of finish() and fail() ends the answer.
 */
class CallerAnswer
{
public:
    CallerAnswer(std::string requestId, std::shared_ptr<HttpReply> reply);
    virtual ~CallerAnswer();
    CallerAnswer(const CallerAnswer &) = delete;
    CallerAnswer &operator=(const CallerAnswer &) = delete;

    virtual void begin(const AnswerHead &head) = 0;
    virtual void writeChunk(std::string_view data) = 0;
    /** Ends a complete answer. */
    virtual void finish() = 0;
    /** Sends \a error, or truncates an answer that has started. */
    virtual void fail(const CallerError &error);
    /** Keeps the connection open while there is no data to send. \a version may be empty. */
    virtual void sendKeepAlive(const std::string &version);

    /** \returns true once a byte of this run's answer has been sent to the caller, so that no other run may replace it */
    bool hasStarted() const;
    /** \returns the number of bytes still to be sent to the caller */
    std::size_t queuedBytes() const;
    /** \returns the memory of what waits for the rest of the answer, and is not sent before */
    virtual std::size_t heldBytes() const;
    void onDisconnect(std::function<void()> hook);
    void onDrained(std::function<void()> hook);

protected:
    HttpHeaders headersFor(Verdict verdict, const std::string &version) const;

    std::string requestId;
    std::shared_ptr<HttpReply> reply;
    AnswerHead head;
    bool isStarted = false;
};

/** \returns a writer for the format that \a request asks for */
std::unique_ptr<CallerAnswer> makeCallerAnswer(const CallerRequest &request, std::shared_ptr<HttpReply> reply);

/** Sends \a error as the whole response to a request. */
void sendError(HttpReply &reply, const CallerError &error, const std::string &requestId);

} // namespace Apricothead
