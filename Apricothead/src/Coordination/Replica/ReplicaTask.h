#pragma once

#include "../../Protocol/Messages.h"
#include "../../Protocol/Settings.h"
#include "../../State/LogStore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Apricothead {

class EventLoop;

/** \class ReplicaTaskOptions
 * \ingroup Coordination_Module
 * \brief What a ReplicaTask is told, and its hooks, called on the loop's thread.
 */
struct ReplicaTaskOptions {
    /** Must have the replica role. */
    Settings settings;
    /** The replica can't go on, for instance since a sync failed; it has stopped answering. */
    std::function<void(const std::string &reason)> onFailed;
    /** Called before each sync; false makes the sync fail. For tests and measurements. */
    std::function<bool()> beforeSync;
    /** Runs each send, for instance later. Empty: at once. For measurements with distance. */
    std::function<void(std::function<void()>)> beforeSend;
};

/** \class ReplicaCounters
 * \ingroup Coordination_Module
 * \brief What a replica has done so far, for measurements.
 */
struct ReplicaCounters {
    std::uint64_t syncs = 0;
    std::uint64_t entryBytes = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t appliedIndex = 0;
    bool leading = false;

    bool operator==(const ReplicaCounters &) const = default;
};

/** \class ReplicaTask
 * \ingroup Coordination_Module
 * \brief The replica role: drives Raft, LogStore and StateMachine, answers proposals and queries, and tells processes what is in force.
 *
 * Used on the loop's thread, or before the loop runs.
 * \sa initGroup(), recoverGroup(), ReplicaClient
 */
class ReplicaTask
{
public:
    ReplicaTask(EventLoop &loop, ReplicaTaskOptions options);
    ~ReplicaTask();
    ReplicaTask(const ReplicaTask &) = delete;
    ReplicaTask &operator=(const ReplicaTask &) = delete;

    /** Opens the data folder, and listens. With an empty folder it waits to be invited by a leader. */
    StoreResult<void> start();

    /** Takes no more proposals, hands leadership over, and calls \a stopped once nothing is left to do. */
    void stop(std::function<void()> stopped);

    /** An endpoint's heartbeat reached this instance. */
    void handleAnnouncement(const Wire::EndpointAnnouncement &announcement);
    /** An endpoint said at this instance that it ends. */
    void handleEndpointLeft(const std::string &endpoint);

    /** \returns true once the group has as many voters as there are seeds */
    bool isGroupComplete() const;

    bool isLeader() const;
    /** \returns the identity in the data folder */
    std::string replica() const;
    std::string boundAddress() const;
    ReplicaCounters counters() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
