#pragma once

#include "../../Protocol/Settings.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace Apricothead {

class EventLoop;
class Metrics;
class ReplicaClient;

/** \class EntryTaskOptions
 * \ingroup Coordination_Module
 * \brief Settings of an EntryTask; \c settings.entry must be set.
 */
struct EntryTaskOptions {
    Settings settings;
};

/** \class EntryTask
 * \ingroup Coordination_Module
 * \brief The entry role: accepts callers' requests, has them admitted by the replicas and run by endpoint processes.
 *
 * Used on the thread of its loop only.
 */
class EntryTask
{
public:
    EntryTask(EventLoop &loop, EntryTaskOptions options);
    ~EntryTask();
    EntryTask(const EntryTask &) = delete;
    EntryTask &operator=(const EntryTask &) = delete;

    void start();

    /**
     * Accepts no new requests and waits for the open ones. Those still open at the shutdown timeout of the settings are aborted and logged.
     * \a onStopped is called once, when all have ended.
     */
    void stop(std::function<void()> onStopped);

    /** \returns the IP address and port for callers; empty before start() */
    std::string callerAddress() const;
    /** \returns the number of requests whose callers wait for an answer */
    std::size_t openRequests() const;

    /** This entry's link to the replicas, for other services of the same task. */
    ReplicaClient &replicas();
    Metrics &metrics();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
