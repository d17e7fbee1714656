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
 * \brief What is known of an answer when its run has started.
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
 * \brief Gives one caller its answer in the form it asked for.
 *
 * Begins anew with each begin() as long as hasStarted() is false. Exactly one of finish() and fail() ends it.
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
    /** The answer is whole. */
    virtual void finish() = 0;
    /** Refuses, or cuts an answer that has started. */
    virtual void fail(const CallerError &error);
    /** Nothing has happened for a while. \a version may be empty. */
    virtual void sendKeepAlive(const std::string &version);

    /** \returns true once a byte of this run's answer was given to the caller, so that no other run may take its place */
    bool hasStarted() const;
    /** \returns the bytes that the caller has not taken yet */
    std::size_t queuedBytes() const;
    void onDisconnect(std::function<void()> hook);
    void onDrained(std::function<void()> hook);

protected:
    HttpHeaders headersFor(Verdict verdict, const std::string &version) const;

    std::string requestId;
    std::shared_ptr<HttpReply> reply;
    AnswerHead head;
    bool isStarted = false;
};

/** \returns the answer in the form that \a request asks for */
std::unique_ptr<CallerAnswer> makeCallerAnswer(const CallerRequest &request, std::shared_ptr<HttpReply> reply);

/** Refuses a request that got no further. */
void sendError(HttpReply &reply, const CallerError &error, const std::string &requestId);

} // namespace Apricothead
