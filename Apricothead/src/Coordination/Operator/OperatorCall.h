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
 * \brief Options of one call to the Operator service from the command line.
 */
struct OperatorCallOptions {
    /** IP and port of an entry's operator address. */
    std::string address;
    std::string token;
    /** Name of the method, for example \c PutModel. */
    std::string method;
    /** The request as JSON; an empty string stands for {}. */
    std::string json;
    /** Set in requests that have this field but no value for it. When empty, a random id is generated. */
    std::string commandId;
    /** No further attempt starts after this time. */
    std::chrono::milliseconds totalTimeout{30000};
    std::chrono::milliseconds attemptTimeout{10000};
    std::chrono::milliseconds retryDelay{500};
    /** A longer response counts as lost. */
    std::size_t maxResponseBytes = 16UL * 1024 * 1024;
};

/** \class OperatorCallResult
 * \ingroup Coordination_Module
 * \brief Result of a call.
 */
struct OperatorCallResult {
    bool succeeded = false;
    /** The response as JSON, or an error message. */
    std::string text;
    /** The command id that was sent, to be reused if the response was lost; empty when the method has none. */
    std::string commandId;
    unsigned attempts = 0;
};

/** \class OperatorCall
 * \ingroup Coordination_Module
 * \brief Calls one method, and retries with the same command id while responses are lost or the system is unavailable.
 *
 * Destroying it cancels the call without calling \a done.
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
