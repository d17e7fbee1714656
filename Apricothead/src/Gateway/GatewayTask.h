#pragma once

#include "ForwardRequest.h"

#include "../Protocol/Settings.h"

#include <functional>
#include <memory>

namespace Apricothead {

class EventLoop;

/** \class GatewayTaskOptions
 * \ingroup Gateway_Module
 * \brief Settings and dialect of a GatewayTask.
 */
struct GatewayTaskOptions {
    /** Must contain the gateway role. */
    Settings settings;
    GatewayDialect dialect;
};

/** \class GatewayTask
 * \ingroup Gateway_Module
 * \brief The gateway role: accepts callers' requests and sends them directly to endpoints, under a lease on the plan.
 *
 * An alternative to the entry role: the endpoint's own check of the target identity replaces the gate of the endpoint process. An admission
 * covers one attempt of a caller at this gateway only, so requests are not written to the replicated log.
 */
class GatewayTask
{
public:
    GatewayTask(EventLoop &loop, GatewayTaskOptions options);
    ~GatewayTask();
    GatewayTask(const GatewayTask &) = delete;
    GatewayTask &operator=(const GatewayTask &) = delete;

    /** Starts listening. Throws std::runtime_error when an address can't be bound. */
    void start();

    /** Shuts down gracefully: readiness fails at once. Until the platform has noticed, requests are accepted that are expected to end within the
     * grace period. What is still open at its end gets an error for its answer; then \a stopped is called. */
    void stop(std::function<void()> stopped);

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
