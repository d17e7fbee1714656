#include "ReplicaClient.h"

#include "../../Transport/Dealer.h"
#include "../../Transport/EventLoop.h"
#include "../../Transport/Log.h"
#include "../../Transport/Timer.h"

#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <map>
#include <utility>

namespace Apricothead {
namespace {

constexpr std::chrono::milliseconds CallCheckInterval{50};
/** A call without an answer for this long is sent again, to another replica. */
constexpr std::uint64_t ResendAfterMs = 400;
/** Upper limit of the replica list: twice the largest group, since replaced replicas stay on the list. */
constexpr std::size_t MaxReplicas = 14;

/** A proposal, query or membership change that is not answered yet. */
struct PendingCall {
    Wire::Envelope message;
    std::uint64_t deadlineMs = 0;
    std::uint64_t resendAtMs = 0;
    /** Sends for which no reply has reported that the command was not appended. */
    unsigned unresolved = 0;
    std::size_t lastSeed = 0;
    /** Called once, with the reply or with null at the deadline. */
    std::function<void(const Wire::Envelope *)> done;
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
        for (std::size_t seed = 0; seed < this->options.seeds.size(); ++seed) {
            this->connectTo(seed);
        }
        this->heartbeatTimer.startRepeating(this->options.heartbeat);
        this->sendHeartbeats();
    }

    void connectTo(std::size_t seed)
    {
        this->dealers.push_back(std::make_unique<Dealer>(this->loop,
                                                         DealerOptions{
                                                             .address = this->options.seeds[seed],
                                                             .heartbeat = this->options.linkHeartbeat,
                                                             .silence = this->options.linkSilence,
                                                             .onMessage =
                                                                 [this, seed](std::string_view bytes) {
                                                                     this->receive(seed, bytes);
                                                                 },
                                                             .onConnected =
                                                                 [this, seed] {
                                                                     this->directoryNumbers[seed] = 0;
                                                                     if (this->options.onReplicaConnected) {
                                                                         this->options.onReplicaConnected(this->options.seeds[seed]);
                                                                     }
                                                                     this->sendHeartbeat(seed);
                                                                 },
                                                             .onSilent =
                                                                 [this, seed] {
                                                                     this->handleReplicaSilent(seed);
                                                                 },
                                                         }));
    }

    /** Connects to members that are not on the list of replicas yet. */
    void followMembers(const Wire::ClusterUpdate &update)
    {
        for (const Wire::Member &member : update.members()) {
            const auto &known = this->options.seeds;
            if (std::find(known.begin(), known.end(), member.address()) == known.end() && known.size() < MaxReplicas) {
                this->options.seeds.push_back(member.address());
                this->connectTo(this->options.seeds.size() - 1);
            }
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

    void sendHeartbeat(std::size_t seed)
    {
        Wire::Envelope message = this->envelope();
        if (this->options.makeHeartbeat) {
            *message.mutable_heartbeat() = this->options.makeHeartbeat();
        }
        message.mutable_heartbeat()->set_process(this->options.process);
        message.mutable_heartbeat()->set_revision(this->configuration.revision());
        message.mutable_heartbeat()->set_directory_number(this->directoryNumbers[seed]);
        if (this->options.completeHeartbeat) {
            this->options.completeHeartbeat(this->options.seeds[seed], *message.mutable_heartbeat());
        }
        this->dealers[seed]->send(message.SerializeAsString());
    }

    void sendHeartbeats()
    {
        for (std::size_t seed = 0; seed < this->dealers.size(); ++seed) {
            this->sendHeartbeat(seed);
        }
    }

    void sendDueHeartbeats()
    {
        for (std::size_t seed = 0; seed < this->dealers.size(); ++seed) {
            const bool isDue = !this->options.isHeartbeatDue || !this->dealers[seed]->isConnected() || this->options.isHeartbeatDue(this->options.seeds[seed]);
            if (isDue) {
                this->sendHeartbeat(seed);
            }
        }
    }

    /** Calls last sent to the silent replica are sent to another one at the next check. */
    void handleReplicaSilent(std::size_t seed)
    {
        if (this->leader == this->options.seeds[seed]) {
            this->leader.clear();
        }
        if (this->options.onReplicaSilent) {
            this->options.onReplicaSilent(this->options.seeds[seed]);
        }
        for (auto &[id, call] : this->calls) {
            if (call.lastSeed == seed) {
                call.resendAtMs = 0;
            }
        }
    }

    std::size_t selectSeed()
    {
        const auto known = std::find(this->options.seeds.begin(), this->options.seeds.end(), this->leader);
        if (known != this->options.seeds.end()) {
            return static_cast<std::size_t>(known - this->options.seeds.begin());
        }
        for (std::size_t step = 0; step < this->dealers.size(); ++step) {
            this->nextSeed = (this->nextSeed + 1) % this->dealers.size();
            if (this->dealers[this->nextSeed]->isConnected()) {
                return this->nextSeed;
            }
        }
        return this->nextSeed;
    }

    void sendCall(PendingCall &call)
    {
        if (this->dealers.empty()) {
            return;
        }
        call.lastSeed = this->selectSeed();
        call.resendAtMs = this->loop.nowMs() + ResendAfterMs;
        if (this->dealers[call.lastSeed]->send(call.message.SerializeAsString())) {
            ++call.unresolved;
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
            this->unresolvedAtTimeout = call.unresolved;
            call.done(nullptr);
        }
    }

    /** A leader that did not answer a call may be partitioned from its group; another replica is tried. */
    void avoidSilentLeader(const PendingCall &call)
    {
        if (this->leader == this->options.seeds[call.lastSeed] && call.resendAtMs != 0) {
            this->leader.clear();
        }
    }

    void receive(std::size_t seed, std::string_view bytes)
    {
        Wire::Envelope message;
        if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || message.group() != this->options.group) {
            logLine(LogLevel::Warning, "message-refused", {{"from", message.sender()}});
            return;
        }
        if (message.has_update()) {
            this->handleUpdate(seed, message.update());
            return;
        }
        this->handleReply(message);
    }

    void handleUpdate(std::size_t seed, const Wire::ClusterUpdate &update)
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
            this->directories[seed].assign(update.endpoints().begin(), update.endpoints().end());
            this->directoryNumbers[seed] = update.directory_number();
        }
        if (update.digests_size() > 0 && this->options.onDigests) {
            this->options.onDigests({update.digests().begin(), update.digests().end()});
        }
        this->selectDirectory(seed);
        if (this->options.followMembers) {
            this->followMembers(update);
        }
        if (this->options.onUpdate) {
            this->options.onUpdate(this->options.seeds[seed], update);
        }
    }

    /** Each replica lists the endpoints whose heartbeats it receives itself. The leader's list takes precedence, since that of a partitioned replica
     * is incomplete. */
    void selectDirectory(std::size_t updatedSeed)
    {
        std::size_t source = updatedSeed;
        for (std::size_t seed = 0; seed < this->options.seeds.size(); ++seed) {
            if (this->options.seeds[seed] == this->leader && this->directories.contains(seed)) {
                source = seed;
            }
        }
        // No conclusion about endpoints from a replica that has not sent a list yet.
        if (!this->directories.contains(source)) {
            return;
        }
        const std::vector<Wire::EndpointStatus> &listed = this->directories[source];
        if (hasSameEndpoints(listed, this->endpoints)) {
            return;
        }
        this->endpoints = listed;
        if (this->options.onDirectory) {
            this->options.onDirectory(this->endpoints);
        }
    }

    void handleReply(const Wire::Envelope &reply)
    {
        const auto position = this->calls.find(callIdOf(reply));
        if (position == this->calls.end()) {
            return;
        }
        if (reply.has_propose_reply() && !reply.propose_reply().leader_address().empty()) {
            this->leader = reply.propose_reply().leader_address();
        }
        if (isNotAppended(reply) && position->second.unresolved > 0) {
            --position->second.unresolved;
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
    std::vector<std::unique_ptr<Dealer>> dealers;
    std::map<std::size_t, std::uint64_t> directoryNumbers;
    std::map<std::size_t, std::vector<Wire::EndpointStatus>> directories;
    std::map<std::uint64_t, PendingCall> calls;
    std::uint64_t nextCall = 1;
    std::size_t nextSeed = 0;
    unsigned unresolvedAtTimeout = 0;
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
        } else if (this->d->unresolvedAtTimeout == 0) {
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
    const std::vector<std::string> &seeds = this->d->options.seeds;
    const auto found = std::find(seeds.begin(), seeds.end(), replica);
    if (found != seeds.end()) {
        this->d->sendHeartbeat(static_cast<std::size_t>(found - seeds.begin()));
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
    for (const auto &dealer : this->d->dealers) {
        if (dealer->isConnected()) {
            return true;
        }
    }
    return false;
}

} // namespace Apricothead
