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
 * \brief The settings, whose entry part must be there.
 */
struct EntryTaskOptions {
    Settings settings;
};

/** \class EntryTask
 * \ingroup Coordination_Module
 * \brief The entry role: takes callers' requests, has them admitted, and has endpoint processes run them.
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
     * Takes no new work and finishes what runs; what is left at the shutdown bound of the settings is cut and named in the log.
     * \a stopped is called once, when nothing is left.
     */
    void stop(std::function<void()> onStopped);

    /** \returns the IP and port where callers connect; known after start() */
    std::string callerAddress() const;
    /** \returns requests whose callers wait for an answer */
    std::size_t openRequests() const;

    /** This entry's link to the replicas, for other services of the same task. */
    ReplicaClient &replicas();
    Metrics &metrics();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
