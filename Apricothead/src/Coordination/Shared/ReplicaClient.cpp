#include "ReplicaClient.h"

#include "ProposalSendings.h"

#include "../../Transport/Dealer.h"
#include "../../Transport/EventLoop.h"
#include "../../Transport/Log.h"
#include "../../Transport/Timer.h"

#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Apricothead {
namespace {

constexpr std::chrono::milliseconds CallCheckInterval{50};
/** A call without an answer for this long is sent again, to another replica. */
constexpr std::uint64_t ResendAfterMs = 400;
/** Upper limit on members that are followed in addition to the seeds: twice the largest group. */
constexpr std::size_t MaxFollowed = 14;

/** A proposal, query or membership change that is not answered yet. */
struct PendingCall {
    Wire::Envelope message;
    std::uint64_t deadlineMs = 0;
    std::uint64_t resendAtMs = 0;
    ProposalSendings sendings;
    /** Address of the replica that the call was last sent to. */
    std::string lastReplica;
    /** Called once, with the reply or with null at the deadline. */
    std::function<void(const Wire::Envelope *)> done;
};

/** The connection to one replica, and what the replica has reported. */
struct Link {
    std::unique_ptr<Dealer> dealer;
    std::uint64_t directoryNumber = 0;
    /** Nothing until the replica has sent a list of endpoints. */
    std::optional<std::vector<Wire::EndpointStatus>> directory;
};

bool isNotAppended(const Wire::Envelope &reply)
{
    return reply.has_propose_reply() && reply.propose_reply().status() == Wire::PROPOSE_STATUS_NOT_APPENDED;
}

bool isOutcomeUnknown(const Wire::Envelope &reply)
{
    return reply.has_propose_reply() && reply.propose_reply().status() == Wire::PROPOSE_STATUS_UNKNOWN;
}

bool isUnavailable(const Wire::Envelope &reply)
{
    if (reply.has_query_reply()) {
        return reply.query_reply().error().code() == Wire::ERROR_CODE_UNAVAILABLE;
    }
    return reply.has_change_members_reply() && reply.change_members_reply().error().code() == Wire::ERROR_CODE_UNAVAILABLE;
}

std::uint64_t callIdOf(const Wire::Envelope &reply)
{
    switch (reply.body_case()) {
    case Wire::Envelope::kProposeReply:
        return reply.propose_reply().call();
    case Wire::Envelope::kQueryReply:
        return reply.query_reply().call();
    case Wire::Envelope::kChangeMembersReply:
        return reply.change_members_reply().call();
    default:
        return 0;
    }
}

bool hasSameEndpoints(const std::vector<Wire::EndpointStatus> &previous, const std::vector<Wire::EndpointStatus> &current)
{
    return std::equal(previous.begin(), previous.end(), current.begin(), current.end(), [](const auto &left, const auto &right) {
        return google::protobuf::util::MessageDifferencer::Equals(left, right);
    });
}

Wire::Error unavailable()
{
    Wire::Error error;
    error.set_code(Wire::ERROR_CODE_UNAVAILABLE);
    error.set_message("no replica answered in time");
    error.set_remedy("check with `apricothead report` that a majority of the replicas is up, then try again");
    return error;
}

} // namespace

struct ReplicaClient::Private {
    Private(EventLoop &eventLoop, ReplicaClientOptions given)
        : loop(eventLoop)
        , options(std::move(given))
        , heartbeatTimer(loop,
                         [this] {
                             this->sendDueHeartbeats();
                         })
        , callTimer(loop, [this] {
            this->checkCalls();
        })
    { }

    void connect()
    {
        for (const std::string &seed : this->options.seeds) {
            this->connectTo(seed);
        }
        this->heartbeatTimer.startRepeating(this->options.heartbeat);
        this->sendHeartbeats();
    }

    void connectTo(const std::string &address)
    {
        Link &link = this->links[address];
        link.dealer = std::make_unique<Dealer>(this->loop,
                                               DealerOptions{
                                                   .address = address,
                                                   .heartbeat = this->options.linkHeartbeat,
                                                   .silence = this->options.linkSilence,
                                                   .onMessage =
                                                       [this, address](std::string_view bytes) {
                                                           this->receive(address, bytes);
                                                       },
                                                   .onConnected =
                                                       [this, address] {
                                                           this->handleReplicaConnected(address);
                                                       },
                                                   .onSilent =
                                                       [this, address] {
                                                           this->handleReplicaSilent(address);
                                                       },
                                               });
    }

    void handleReplicaConnected(const std::string &address)
    {
        this->links.at(address).directoryNumber = 0;
        if (this->options.onReplicaConnected) {
            this->options.onReplicaConnected(address);
        }
        this->sendHeartbeat(address);
    }

    bool isSeed(const std::string &address) const
    {
        return std::find(this->options.seeds.begin(), this->options.seeds.end(), address) != this->options.seeds.end();
    }

    /** Connects to the members that \a update lists, and lets former members go. Only the leader's list is proof that a replica is no member: a
     * replica that was removed or cut off lists an earlier membership. */
    void followMembers(const std::string &replica, const Wire::ClusterUpdate &update)
    {
        if (update.members_size() == 0) {
            return;
        }
        std::set<std::string> listed;
        for (const Wire::Member &member : update.members()) {
            listed.insert(member.address());
        }
        const std::size_t limit = this->options.seeds.size() + MaxFollowed;
        const bool isLeader = update.leader_address() == replica;
        if (isLeader || this->links.size() + listed.size() > limit) {
            this->releaseReplicas([&](const std::string &address, const Link &link) {
                return !listed.contains(address) && address != replica && (isLeader || !link.dealer->isConnected());
            });
        }
        for (const std::string &address : listed) {
            if (!this->links.contains(address) && this->links.size() < limit) {
                logLine(LogLevel::Info, "replica-followed", {{"replica", address}, {"from", replica}});
                this->connectTo(address);
            }
        }
    }

    /** Closes the connections to all replicas but the seeds for which \a isReleased returns true. */
    void releaseReplicas(const std::function<bool(const std::string &address, const Link &link)> &isReleased)
    {
        for (auto position = this->links.begin(); position != this->links.end();) {
            const std::string address = position->first;
            if (this->isSeed(address) || !isReleased(address, position->second)) {
                ++position;
                continue;
            }
            logLine(LogLevel::Info, "replica-released", {{"replica", address}});
            this->handleReplicaSilent(address);
            position = this->links.erase(position);
        }
    }

    Wire::Envelope envelope() const
    {
        Wire::Envelope message;
        message.set_group(this->options.group);
        message.set_sender(this->options.process);
        message.set_sender_incarnation(this->options.incarnation);
        return message;
    }

    void sendHeartbeat(const std::string &address)
    {
        Link &link = this->links.at(address);
        Wire::Envelope message = this->envelope();
        if (this->options.makeHeartbeat) {
            *message.mutable_heartbeat() = this->options.makeHeartbeat();
        }
        message.mutable_heartbeat()->set_process(this->options.process);
        message.mutable_heartbeat()->set_revision(this->configuration.revision());
        message.mutable_heartbeat()->set_directory_number(link.directoryNumber);
        if (this->options.completeHeartbeat) {
            this->options.completeHeartbeat(address, *message.mutable_heartbeat());
        }
        link.dealer->send(message.SerializeAsString());
    }

    void sendHeartbeats()
    {
        for (const auto &[address, link] : this->links) {
            this->sendHeartbeat(address);
        }
    }

    void sendDueHeartbeats()
    {
        for (const auto &[address, link] : this->links) {
            const bool isDue = !this->options.isHeartbeatDue || !link.dealer->isConnected() || this->options.isHeartbeatDue(address);
            if (isDue) {
                this->sendHeartbeat(address);
            }
        }
    }

    /** Calls last sent to the silent replica are sent to another one at the next check. */
    void handleReplicaSilent(const std::string &address)
    {
        if (this->leader == address) {
            this->leader.clear();
        }
        if (this->options.onReplicaSilent) {
            this->options.onReplicaSilent(address);
        }
        for (auto &[id, call] : this->calls) {
            if (call.lastReplica == address) {
                call.resendAtMs = 0;
            }
        }
    }

    /** \returns the leader's address, or else that of the next connected replica */
    std::string selectReplica()
    {
        if (this->links.contains(this->leader)) {
            return this->leader;
        }
        for (std::size_t step = 0; step < this->links.size(); ++step) {
            auto next = this->links.upper_bound(this->lastSelected);
            next = next == this->links.end() ? this->links.begin() : next;
            this->lastSelected = next->first;
            if (next->second.dealer->isConnected()) {
                break;
            }
        }
        return this->lastSelected;
    }

    void sendCall(PendingCall &call)
    {
        if (this->links.empty()) {
            return;
        }
        call.lastReplica = this->selectReplica();
        call.resendAtMs = this->loop.nowMs() + ResendAfterMs;
        if (call.message.has_propose()) {
            call.message.mutable_propose()->set_sending(call.sendings.nextNumber());
        }
        if (this->links.at(call.lastReplica).dealer->send(call.message.SerializeAsString())) {
            call.sendings.recordSent(call.lastReplica);
        }
    }

    void startCall(std::uint64_t id, PendingCall call, std::chrono::milliseconds deadline)
    {
        call.deadlineMs = this->loop.nowMs() + static_cast<std::uint64_t>(deadline.count());
        const auto [position, added] = this->calls.emplace(id, std::move(call));
        this->sendCall(position->second);
        if (!this->callTimer.isActive()) {
            this->callTimer.startRepeating(CallCheckInterval);
        }
    }

    void checkCalls()
    {
        const std::uint64_t now = this->loop.nowMs();
        std::vector<PendingCall> timedOut;
        for (auto position = this->calls.begin(); position != this->calls.end();) {
            if (now >= position->second.deadlineMs) {
                timedOut.push_back(std::move(position->second));
                position = this->calls.erase(position);
                continue;
            }
            if (now >= position->second.resendAtMs) {
                this->avoidSilentLeader(position->second);
                this->sendCall(position->second);
            }
            ++position;
        }
        if (this->calls.empty()) {
            this->callTimer.stop();
        }
        for (const PendingCall &call : timedOut) {
            this->isUnresolvedAtTimeout = call.sendings.isUnresolved();
            call.done(nullptr);
        }
    }

    /** A leader that did not answer a call may be partitioned from its group; another replica is tried. */
    void avoidSilentLeader(const PendingCall &call)
    {
        if (this->leader == call.lastReplica && call.resendAtMs != 0) {
            this->leader.clear();
        }
    }

    void receive(const std::string &replica, std::string_view bytes)
    {
        Wire::Envelope message;
        if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || message.group() != this->options.group) {
            logLine(LogLevel::Warning, "message-refused", {{"from", message.sender()}});
            return;
        }
        if (message.has_update()) {
            this->handleUpdate(replica, message.update());
            return;
        }
        this->handleReply(replica, message);
    }

    void handleUpdate(const std::string &replica, const Wire::ClusterUpdate &update)
    {
        if (!update.leader_address().empty()) {
            this->leader = update.leader_address();
        }
        if (update.configuration().revision() > this->configuration.revision()) {
            this->configuration = update.configuration();
            if (this->options.onConfiguration) {
                this->options.onConfiguration(this->configuration);
            }
            // Reports to the replicas immediately that the revision is in force here.
            this->sendHeartbeats();
        }
        if (update.directory_changed()) {
            Link &link = this->links.at(replica);
            link.directory.emplace(update.endpoints().begin(), update.endpoints().end());
            link.directoryNumber = update.directory_number();
        }
        if (update.digests_size() > 0 && this->options.onDigests) {
            this->options.onDigests({update.digests().begin(), update.digests().end()});
        }
        this->selectDirectory(replica);
        if (this->options.followMembers) {
            this->followMembers(replica, update);
        }
        if (this->options.onUpdate) {
            this->options.onUpdate(replica, update);
        }
    }

    /** Each replica lists the endpoints whose heartbeats it receives itself. The leader's list takes precedence, since that of a partitioned replica
     * is incomplete. */
    void selectDirectory(const std::string &updated)
    {
        const auto leading = this->links.find(this->leader);
        const bool hasLeaderListed = leading != this->links.end() && leading->second.directory;
        const Link &source = hasLeaderListed ? leading->second : this->links.at(updated);
        // No conclusion about endpoints from a replica that has not sent a list yet.
        if (!source.directory) {
            return;
        }
        const std::vector<Wire::EndpointStatus> &listed = *source.directory;
        if (hasSameEndpoints(listed, this->endpoints)) {
            return;
        }
        this->endpoints = listed;
        if (this->options.onDirectory) {
            this->options.onDirectory(this->endpoints);
        }
    }

    void handleReply(const std::string &replica, const Wire::Envelope &reply)
    {
        const auto position = this->calls.find(callIdOf(reply));
        if (position == this->calls.end()) {
            return;
        }
        if (reply.has_propose_reply() && !reply.propose_reply().leader_address().empty()) {
            this->leader = reply.propose_reply().leader_address();
        }
        if (isNotAppended(reply)) {
            position->second.sendings.recordNotAppended(replica, reply.propose_reply().sending());
        }
        if (isNotAppended(reply) || isOutcomeUnknown(reply) || isUnavailable(reply)) {
            position->second.resendAtMs = 0;
            return;
        }
        const PendingCall call = std::move(position->second);
        this->calls.erase(position);
        call.done(&reply);
    }

    EventLoop &loop;
    ReplicaClientOptions options;
    Timer heartbeatTimer;
    Timer callTimer;
    /** By address: the seeds, and the members that are followed. */
    std::map<std::string, Link> links;
    std::map<std::uint64_t, PendingCall> calls;
    std::uint64_t nextCall = 1;
    /** The replica that was selected last while no leader was known. */
    std::string lastSelected;
    bool isUnresolvedAtTimeout = false;
    std::string leader;
    Wire::Configuration configuration;
    std::vector<Wire::EndpointStatus> endpoints;
};

ReplicaClient::ReplicaClient(EventLoop &loop, ReplicaClientOptions options) : d(std::make_unique<Private>(loop, std::move(options)))
{
    this->d->connect();
}

ReplicaClient::~ReplicaClient() = default;

void ReplicaClient::propose(Wire::Command command, std::chrono::milliseconds deadline, std::function<void(const ProposeOutcome &)> done)
{
    const std::uint64_t id = this->d->nextCall++;
    PendingCall call;
    call.message = this->d->envelope();
    call.message.mutable_propose()->set_call(id);
    *call.message.mutable_propose()->mutable_command() = std::move(command);
    call.done = [this, done = std::move(done)](const Wire::Envelope *reply) {
        ProposeOutcome outcome;
        if (reply != nullptr) {
            outcome.status = reply->propose_reply().status();
            outcome.result = reply->propose_reply().result();
        } else if (!this->d->isUnresolvedAtTimeout) {
            outcome.status = Wire::PROPOSE_STATUS_NOT_APPENDED;
        }
        done(outcome);
    };
    this->d->startCall(id, std::move(call), deadline);
}

void ReplicaClient::query(Wire::Query query, std::chrono::milliseconds deadline, std::function<void(const Wire::QueryReply &)> done)
{
    const std::uint64_t id = this->d->nextCall++;
    PendingCall call;
    call.message = this->d->envelope();
    *call.message.mutable_query() = std::move(query);
    call.message.mutable_query()->set_call(id);
    call.done = [done = std::move(done)](const Wire::Envelope *reply) {
        Wire::QueryReply timedOut;
        *timedOut.mutable_error() = unavailable();
        done(reply != nullptr ? reply->query_reply() : timedOut);
    };
    this->d->startCall(id, std::move(call), deadline);
}

void ReplicaClient::changeMembers(Wire::ChangeMembers change, std::chrono::milliseconds deadline, std::function<void(const Wire::ChangeMembersReply &)> done)
{
    const std::uint64_t id = this->d->nextCall++;
    PendingCall call;
    call.message = this->d->envelope();
    *call.message.mutable_change_members() = std::move(change);
    call.message.mutable_change_members()->set_call(id);
    call.done = [done = std::move(done)](const Wire::Envelope *reply) {
        Wire::ChangeMembersReply timedOut;
        *timedOut.mutable_error() = unavailable();
        done(reply != nullptr ? reply->change_members_reply() : timedOut);
    };
    this->d->startCall(id, std::move(call), deadline);
}

void ReplicaClient::heartbeatNow()
{
    this->d->sendHeartbeats();
}

void ReplicaClient::heartbeatNow(const std::string &replica)
{
    if (this->d->links.contains(replica)) {
        this->d->sendHeartbeat(replica);
    }
}

const Wire::Configuration &ReplicaClient::configuration() const
{
    return this->d->configuration;
}

const std::vector<Wire::EndpointStatus> &ReplicaClient::endpoints() const
{
    return this->d->endpoints;
}

std::string ReplicaClient::leaderAddress() const
{
    return this->d->leader;
}

bool ReplicaClient::isConnected() const
{
    return std::any_of(this->d->links.begin(), this->d->links.end(), [](const auto &entry) {
        return entry.second.dealer->isConnected();
    });
}

} // namespace Apricothead
