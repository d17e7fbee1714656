#pragma once

#include "../../Protocol/Messages.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Apricothead {

class EventLoop;

/** \class ReplicaClientOptions
 * \ingroup Coordination_Module
 * \brief Addresses, intervals and callbacks of a ReplicaClient. Callbacks run on the loop's thread.
 */
struct ReplicaClientOptions {
    std::string group = "main";
    std::string process;
    std::uint64_t incarnation = 0;
    std::vector<std::string> seeds;
    std::chrono::milliseconds linkHeartbeat{250};
    std::chrono::milliseconds linkSilence{1500};
    std::chrono::milliseconds heartbeat{500};
    /** Creates the heartbeat of this process; the client sets process, revision and directory number. */
    std::function<Wire::Heartbeat()> makeHeartbeat;
    /** A newer configuration was received. */
    std::function<void(const Wire::Configuration &)> onConfiguration;
    /** The list of endpoint processes changed. */
    std::function<void(const std::vector<Wire::EndpointStatus> &)> onDirectory;
    /** The newest digests of all entries, including this one. Received only by processes whose heartbeats contain a digest. */
    std::function<void(const std::vector<Wire::EntryDigest> &)> onDigests;
    /** Any update, with the address of the replica that sent it. */
    std::function<void(const std::string &replica, const Wire::ClusterUpdate &)> onUpdate;
    /** Nothing was received from the replica for \a linkSilence. */
    std::function<void(const std::string &replica)> onReplicaSilent;
    /** A new connection to the replica was made; the replica has no state of this process yet. */
    std::function<void(const std::string &replica)> onReplicaConnected;
    /** Adds the fields that are specific to one replica to a heartbeat. */
    std::function<void(const std::string &replica, Wire::Heartbeat &)> completeHeartbeat;
    /** Asked before each periodic heartbeat to a connected replica; empty sends all of them. */
    std::function<bool(const std::string &replica)> isHeartbeatDue;
    /** Whether to connect also to members that are not seeds. */
    bool followMembers = false;
};

/** \class ProposeOutcome
 * \ingroup Coordination_Module
 * \brief Outcome of a proposal. With the status unknown it may have been committed or may still be.
 */
struct ProposeOutcome {
    Wire::ProposeStatus status = Wire::PROPOSE_STATUS_UNKNOWN;
    Wire::CommandResult result;
};

/** \class ReplicaClient
 * \ingroup Coordination_Module
 * \brief Client of the replica group: sends heartbeats, proposals and queries, and holds the newest configuration and endpoint list.
 *
 * A proposal is sent to the last known leader, and retried at other replicas until its deadline. All commands are idempotent: admissions and
 * settlements by their key and attempt, changes by their command id.
 */
class ReplicaClient
{
public:
    ReplicaClient(EventLoop &loop, ReplicaClientOptions options);
    ~ReplicaClient();
    ReplicaClient(const ReplicaClient &) = delete;
    ReplicaClient &operator=(const ReplicaClient &) = delete;

    /** \a done is called once. Without an answer by the deadline, the status is NOT_APPENDED if the reply to each sending said so, otherwise UNKNOWN. */
    void propose(Wire::Command command, std::chrono::milliseconds deadline, std::function<void(const ProposeOutcome &)> done);

    /** \a done is called once, with an error of code UNAVAILABLE when no replica answered in time. */
    void query(Wire::Query query, std::chrono::milliseconds deadline, std::function<void(const Wire::QueryReply &)> done);

    /** Sends a membership change to the leader. \a done is called as by query(). \sa Wire::ChangeMembers */
    void changeMembers(Wire::ChangeMembers change, std::chrono::milliseconds deadline, std::function<void(const Wire::ChangeMembersReply &)> done);

    /** Sends a heartbeat immediately, for instance when this process starts leaving. */
    void heartbeatNow();
    /** Sends a heartbeat immediately to the replica at the address \a replica. */
    void heartbeatNow(const std::string &replica);

    /** \returns the newest configuration received, of revision 0 before the first */
    const Wire::Configuration &configuration() const;
    const std::vector<Wire::EndpointStatus> &endpoints() const;
    /** \returns the address of the last known leader, empty when unknown */
    std::string leaderAddress() const;
    /** \returns true when anything was received from some replica within the link silence */
    bool isConnected() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
