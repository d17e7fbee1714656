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
 * \brief Whom a ReplicaClient talks to, and its hooks, called on the loop's thread.
 */
struct ReplicaClientOptions {
    std::string group = "main";
    std::string process;
    std::uint64_t incarnation = 0;
    std::vector<std::string> seeds;
    std::chrono::milliseconds linkHeartbeat{250};
    std::chrono::milliseconds linkSilence{1500};
    std::chrono::milliseconds heartbeat{500};
    /** Fills in what this process says of itself; revision and directory number are set by the client. */
    std::function<Wire::Heartbeat()> makeHeartbeat;
    /** A newer configuration is in force here. */
    std::function<void(const Wire::Configuration &)> onConfiguration;
    /** The list of endpoint processes changed. */
    std::function<void(const std::vector<Wire::EndpointStatus> &)> onDirectory;
    /** The newest digests of all entries, this one's included. Sent only to a process whose heartbeats carry a digest. */
    std::function<void(const std::vector<Wire::EntryDigest> &)> onDigests;
    /** Any update, with the address of the replica that sent it. */
    std::function<void(const std::string &replica, const Wire::ClusterUpdate &)> onUpdate;
    /** The replica has not been heard within the silence bound. */
    std::function<void(const std::string &replica)> onReplicaSilent;
    /** A new connection to the replica was made; it knows nothing of this process. */
    std::function<void(const std::string &replica)> onReplicaConnected;
    /** Completes the heartbeat for one replica. */
    std::function<void(const std::string &replica, Wire::Heartbeat &)> completeHeartbeat;
    /** Whether connections are made to members that are no seeds, too. */
    bool followMembers = false;
};

/** \class ProposeOutcome
 * \ingroup Coordination_Module
 * \brief How a proposal ended. Unknown means that it may have been or may yet be committed.
 */
struct ProposeOutcome {
    Wire::ProposeStatus status = Wire::PROPOSE_STATUS_UNKNOWN;
    Wire::CommandResult result;
};

/** \class ReplicaClient
 * \ingroup Coordination_Module
 * \brief A process's link to the replicas: heartbeats, proposals, queries, and the newest configuration and directory.
 *
 * A proposal is sent to the leader as last heard, and tried anew at other replicas until its deadline. Every command is safe to
 * propose twice: admissions and settlements by their key and attempt, changes by their command id.
 */
class ReplicaClient
{
public:
    ReplicaClient(EventLoop &loop, ReplicaClientOptions options);
    ~ReplicaClient();
    ReplicaClient(const ReplicaClient &) = delete;
    ReplicaClient &operator=(const ReplicaClient &) = delete;

    void propose(Wire::Command command, std::chrono::milliseconds deadline, std::function<void(const ProposeOutcome &)> done);

    /** \a done gets a reply with an error of code UNAVAILABLE when no replica answered in time. */
    void query(Wire::Query query, std::chrono::milliseconds deadline, std::function<void(const Wire::QueryReply &)> done);

    /** Passes a membership change to the leader. \sa Wire::ChangeMembers */
    void changeMembers(Wire::ChangeMembers change, std::chrono::milliseconds deadline, std::function<void(const Wire::ChangeMembersReply &)> done);

    /** Sends a heartbeat at once, for instance when this process starts leaving. */
    void heartbeatNow();
    /** As above, to one replica only. */
    void heartbeatNow(const std::string &replica);

    /** \returns the newest configuration seen; revision 0 before the first */
    const Wire::Configuration &configuration() const;
    const std::vector<Wire::EndpointStatus> &endpoints() const;
    /** \returns the address of the leader as last heard, empty when unknown */
    std::string leaderAddress() const;
    /** \returns true when some replica has been heard within the silence bound */
    bool isConnected() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
