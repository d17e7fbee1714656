#pragma once

#include "../../Transport/HttpClient.h"
#include "../../Transport/Timer.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace Apricothead {

/** \class OperatorCallOptions
 * \ingroup Coordination_Module
 * \brief One call of the Operator service from the command line.
 */
struct OperatorCallOptions {
    /** IP and port of an entry's operator address. */
    std::string address;
    std::string token;
    /** As \c PutModel. */
    std::string method;
    /** JSON of the request; empty stands for {}. */
    std::string json;
    /** Goes into requests that take one and bring none; empty: one is drawn. */
    std::string commandId;
    /** After it, no further try is made. */
    std::chrono::milliseconds totalTimeout{30000};
    std::chrono::milliseconds attemptTimeout{10000};
    std::chrono::milliseconds retryDelay{500};
};

/** \class OperatorCallResult
 * \ingroup Coordination_Module
 * \brief How a call ended.
 */
struct OperatorCallResult {
    bool succeeded = false;
    /** The response as JSON, or what went wrong in words. */
    std::string text;
    /** The command id that was sent, to give again if the answer was lost; empty when the method takes none. */
    std::string commandId;
    unsigned attempts = 0;
};

/** \class OperatorCall
 * \ingroup Coordination_Module
 * \brief Calls one method, and repeats it with the same command id while the answer is lost or the system is unavailable.
 *
 * Dropping it cancels the call without calling \a done.
 */
class OperatorCall
{
public:
    OperatorCall(EventLoop &loop, HttpClient &client, OperatorCallOptions options, std::function<void(const OperatorCallResult &)> done);
    ~OperatorCall();
    OperatorCall(const OperatorCall &) = delete;
    OperatorCall &operator=(const OperatorCall &) = delete;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
