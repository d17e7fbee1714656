#pragma once

#include "EngineAdapter.h"

#include "../../Protocol/Settings.h"

#include <functional>
#include <memory>
#include <string>

namespace Apricothead {

class EventLoop;

/** \class EndpointTaskOptions
 * \ingroup Coordination_Module
 * \brief Options of an EndpointTask.
 */
struct EndpointTaskOptions {
    /** Settings with the endpoint role. */
    Settings settings;
    /** Replaces the adapter that the settings select. Empty: chat engine or plain service. */
    std::function<EngineAdapter()> makeAdapter;
};

/** \class EndpointTask
 * \ingroup Coordination_Module
 * \brief Endpoint role: executes admitted requests at its engine or plain service, each at most once, and keeps their answers for replay.
 *
 * The incarnation is the wall clock in microseconds at construction, so that each start has a higher one. Used only on the event loop's thread.
 * \sa EndpointGate, RunBuffer, EngineAdapter
 */
class EndpointTask
{
public:
    EndpointTask(EventLoop &loop, EndpointTaskOptions options);
    ~EndpointTask();
    EndpointTask(const EndpointTask &) = delete;
    EndpointTask &operator=(const EndpointTask &) = delete;

    /** Starts listening and announces the endpoint to the replicas. */
    void start();

    /** Refuses new runs from now on, waits until all runs have ended and their answers are delivered, then calls \a stopped. Runs that exceed
     * the shutdown time of the settings are aborted and logged. */
    void stop(std::function<void()> stopped);

    /** \returns the IP and port that entries connect to; empty before start() */
    std::string boundAddress() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
