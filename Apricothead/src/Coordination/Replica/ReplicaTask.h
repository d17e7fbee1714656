#pragma once

#include "GroupTolerance.h"

#include "../../Protocol/Messages.h"
#include "../../Protocol/Settings.h"
#include "../../State/LogStore.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Apricothead {

class EventLoop;

/** \class ReplicaTaskOptions
 * \ingroup Coordination_Module
 * \brief Settings and callbacks of a ReplicaTask. Callbacks run on the loop's thread.
 */
struct ReplicaTaskOptions {
    /** Must configure the replica role. */
    Settings settings;
    /** The replica cannot continue, for instance because its log holds what it cannot read. It has stopped answering. A write that fails is no
     * such case: the replica waits until the disk takes writes again. */
    std::function<void(const std::string &reason)> onFailed;
    /** Called before each sync; returning false makes the sync fail. For tests and benchmarks. */
    std::function<bool()> beforeSync;
    /** Wraps each send, for instance to delay it; empty to send immediately. For benchmarks with simulated network latency. */
    std::function<void(std::function<void()>)> beforeSend;
};

/** \class ReplicaCounters
 * \ingroup Coordination_Module
 * \brief Totals since the start of a replica, and its current state.
 */
struct ReplicaCounters {
    std::uint64_t syncs = 0;
    std::uint64_t entryBytes = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t appliedIndex = 0;
    std::uint64_t failedWrites = 0;
    /** Prefixes of prompts that gateways reported in the latest rounds, and those that were left out since the start. */
    std::uint64_t promptPrefixes = 0;
    std::uint64_t droppedPrefixes = 0;
    /** Endpoints whose announcements are kept. */
    std::uint64_t endpoints = 0;
    bool leading = false;
    /** The disk refuses writes; the replica takes part in nothing that needs one. */
    bool suspended = false;
    /** Known to the leader only. */
    std::optional<GroupTolerance> tolerance;

    bool operator==(const ReplicaCounters &) const = default;
};

/** \class ReplicaTask
 * \ingroup Coordination_Module
 * \brief The replica role: runs Raft, LogStore and StateMachine, answers proposals and queries, and sends state updates to processes.
 *
 * To be used on the loop's thread, or before the loop runs.
 * \sa initGroup(), recoverGroup(), ReplicaClient
 */
class ReplicaTask
{
public:
    ReplicaTask(EventLoop &loop, ReplicaTaskOptions options);
    ~ReplicaTask();
    ReplicaTask(const ReplicaTask &) = delete;
    ReplicaTask &operator=(const ReplicaTask &) = delete;

    /** Opens the data folder and listens. With an empty folder the replica waits for an invitation by a leader. \returns an error when the
     * folder cannot be opened or the address is not available */
    StoreResult<void> start();

    /** Rejects new proposals, transfers leadership once the pending ones have ended, and then calls \a stopped. */
    void stop(std::function<void()> stopped);

    /** Handles an endpoint's heartbeat received by this instance. */
    void handleAnnouncement(const Wire::EndpointAnnouncement &announcement);
    /** Handles an endpoint's sign-off received by this instance. */
    void handleEndpointLeft(const std::string &endpoint);

    /** \returns whether an endpoint in this availability zone is known here */
    bool hasEndpointIn(const std::string &availabilityZone) const;

    /** \returns true when the group has at least as many voters as there are seeds */
    bool isGroupComplete() const;

    bool isLeader() const;
    /** \returns the replica's identity as stored in the data folder, empty before start() */
    std::string replica() const;
    std::string boundAddress() const;
    ReplicaCounters counters() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
