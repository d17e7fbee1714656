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
 * \brief What an EndpointTask is told.
 */
struct EndpointTaskOptions {
    /** Must have the endpoint role. */
    Settings settings;
    /** Stands in for the dialect that the settings name. Empty: chat engine or plain service. */
    std::function<EngineAdapter()> makeAdapter;
};

/** \class EndpointTask
 * \ingroup Coordination_Module
 * \brief The endpoint role: runs admitted requests at the engine or plain service beside it, each at most once, and keeps their answers for replay.
 *
 * Its incarnation number is the wall clock in microseconds at the start, so each start has a higher one. Used on the loop's thread.
 * \sa EndpointGate, RunBuffer, EngineAdapter
 */
class EndpointTask
{
public:
    EndpointTask(EventLoop &loop, EndpointTaskOptions options);
    ~EndpointTask();
    EndpointTask(const EndpointTask &) = delete;
    EndpointTask &operator=(const EndpointTask &) = delete;

    /** Listens, and announces the endpoint to the replicas. */
    void start();

    /** Refuses new work from now on, lets runs end and their answers be fetched, then calls \a stopped. What lasts longer than the shutdown
     * bound of the settings is cut and named in the log. */
    void stop(std::function<void()> stopped);

    /** \returns the IP and port that entries connect to; empty before start() */
    std::string boundAddress() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
