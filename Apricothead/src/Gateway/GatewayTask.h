#pragma once

#include "ForwardRequest.h"

#include "../Protocol/Settings.h"

#include <functional>
#include <memory>

namespace Apricothead {

class EventLoop;

/** \class GatewayTaskOptions
 * \ingroup Gateway_Module
 * \brief What a GatewayTask is told.
 */
struct GatewayTaskOptions {
    /** Must have the gateway role. */
    Settings settings;
    GatewayDialect dialect;
};

/** \class GatewayTask
 * \ingroup Gateway_Module
 * \brief The gateway role: takes callers' requests and sends them straight to endpoints, under a lease on the plan.
 *
 * The second form of the entry role: the endpoint's own identity check stands in for the endpoint process's gate, and an admission binds one
 * attempt of a caller at this gateway only, so nothing of a request is written to the log.
 */
class GatewayTask
{
public:
    GatewayTask(EventLoop &loop, GatewayTaskOptions options);
    ~GatewayTask();
    GatewayTask(const GatewayTask &) = delete;
    GatewayTask &operator=(const GatewayTask &) = delete;

    /** Listens. Throws std::runtime_error when an address can't be taken. */
    void start();

    /** Is no longer ready at once, goes on taking callers until the platform has noticed, ends what runs, and calls \a stopped. */
    void stop(std::function<void()> stopped);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
