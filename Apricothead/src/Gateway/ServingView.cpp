#include "ServingView.h"

#include "../Transport/EventLoop.h"
#include "../Transport/Log.h"
#include "../Transport/WallClock.h"

#include <ctime>
#include <utility>

namespace Apricothead {
namespace {

/** Several confirmations fit into a lease, so losing one shortens it only a little. */
constexpr std::chrono::milliseconds HeartbeatInterval{300};
/** Heartbeats to the leader, which shares this gateway's load with the others. At this interval replays with 29 gateways have a third fewer late
 * answers. */
constexpr std::chrono::milliseconds LeaderHeartbeatInterval{100};
/** Heartbeats to the other replicas while the leader confirms leases; without a leader all replicas get them at HeartbeatInterval. They bring the
 * serving state and announcements that the leader failed to send. */
constexpr std::uint64_t FollowerHeartbeatIntervalMs = 900;
/** A replica that has confirmed no lease for this long is not taken for the leader; loads then go to all replicas. */
constexpr std::uint64_t LeaderTimeoutMs = 1000;
/** Interval of comparing digests of the announcements with each replica. One that restarted sends no changes of endpoints that it no longer
 * knows. */
constexpr std::uint64_t ListCheckIntervalMs = 3000;
/** A request with a withheld part waits for no longer than this for the right to be tried. */
constexpr std::chrono::milliseconds TrialTimeout{250};
/** Lease rounds remembered; a confirmation of an older one is ignored. */
constexpr std::size_t MaxRounds = 128;

} // namespace

std::uint64_t bootTimeMs()
{
    constexpr std::uint64_t MsPerSecond = 1000;
    constexpr std::uint64_t NsPerMs = 1'000'000;
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return static_cast<std::uint64_t>(now.tv_sec) * MsPerSecond + static_cast<std::uint64_t>(now.tv_nsec) / NsPerMs;
}

ServingView::ServingView(EventLoop &loop, ServingViewOptions given)
    : options(std::move(given)), leaderHeartbeatTimer(loop, [this] {
        this->sendLeaderHeartbeat();
    })
{
    const Settings &settings = this->options.settings;
    this->client = std::make_unique<ReplicaClient>(loop,
                                                   ReplicaClientOptions{
                                                       .group = settings.group,
                                                       .process = settings.process,
                                                       .incarnation = wallClockMicros(),
                                                       .seeds = settings.seeds,
                                                       .linkHeartbeat = settings.timing.linkHeartbeat,
                                                       .linkSilence = settings.timing.linkSilence,
                                                       .heartbeat = HeartbeatInterval,
                                                       .onUpdate =
                                                           [this](const std::string &replica, const Wire::ClusterUpdate &update) {
                                                               this->handleUpdate(replica, update);
                                                           },
                                                       .onReplicaSilent =
                                                           [this](const std::string &replica) {
                                                               logLine(LogLevel::Warning, "replica-lost", {{"replica", replica}});
                                                               this->announcements.forgetReplica(replica);
                                                           },
                                                       .onReplicaConnected =
                                                           [this](const std::string &replica) {
                                                               logLine(LogLevel::Info, "replica-connected", {{"replica", replica}});
                                                               this->unlistedReplicas.insert(replica);
                                                           },
                                                       .completeHeartbeat =
                                                           [this](const std::string &replica, Wire::Heartbeat &heartbeat) {
                                                               this->completeHeartbeat(replica, heartbeat);
                                                           },
                                                       .isHeartbeatDue =
                                                           [this](const std::string &replica) {
                                                               return this->isHeartbeatDue(replica);
                                                           },
                                                       .followMembers = true,
                                                   });
    this->leaderHeartbeatTimer.startRepeating(LeaderHeartbeatInterval);
}

ServingView::~ServingView() = default;

bool ServingView::hasLeader() const
{
    const std::optional<std::uint64_t> ageMs = this->leaseAgeMs();
    return !this->leader.empty() && ageMs && *ageMs < LeaderTimeoutMs;
}

void ServingView::sendLeaderHeartbeat()
{
    if (this->hasLeader()) {
        this->client->heartbeatNow(this->leader);
    }
}

void ServingView::sendNews()
{
    this->sendLeaderHeartbeat();
}

void ServingView::startTrial(const std::vector<std::uint64_t> &parts, std::function<void(bool granted)> done)
{
    Wire::Command command;
    command.mutable_start_part_trial()->mutable_parts()->Add(parts.begin(), parts.end());
    command.mutable_start_part_trial()->set_process(this->options.settings.process);
    this->client->propose(std::move(command), TrialTimeout, [done = std::move(done)](const ProposeOutcome &outcome) {
        done(outcome.status == Wire::PROPOSE_STATUS_APPLIED && outcome.result.done());
    });
}

bool ServingView::isHeartbeatDue(const std::string &replica) const
{
    const auto sent = this->lastHeartbeatMs.find(replica);
    if (!this->hasLeader() || sent == this->lastHeartbeatMs.end()) {
        return true;
    }
    // The leader's heartbeats have a timer of their own.
    return replica != this->leader && bootTimeMs() - sent->second >= FollowerHeartbeatIntervalMs;
}

void ServingView::completeHeartbeat(const std::string &replica, Wire::Heartbeat &heartbeat)
{
    heartbeat.set_serving_number(this->state.number());
    heartbeat.set_plan_revision(this->state.plan().revision());
    heartbeat.set_lease_round(++this->lastRound);
    this->roundSentMs[this->lastRound] = bootTimeMs();
    while (this->roundSentMs.size() > MaxRounds) {
        this->roundSentMs.erase(this->roundSentMs.begin());
    }
    const std::uint64_t nowMs = bootTimeMs();
    this->lastHeartbeatMs[replica] = nowMs;
    const auto [lastRequest, isFirst] = this->lastListRequestMs.try_emplace(replica, nowMs);
    const bool isListDue = isFirst || nowMs - lastRequest->second >= ListCheckIntervalMs;
    lastRequest->second = isListDue ? nowMs : lastRequest->second;
    if (isListDue || this->unlistedReplicas.contains(replica)) {
        heartbeat.set_wants_announcements(true);
        heartbeat.set_announcement_digest(this->announcements.digest(replica));
    }
    for (Wire::VersionCount &count : this->options.versionCounts()) {
        heartbeat.add_versions()->Swap(&count);
    }
    if (replica == this->leader || !this->hasLeader()) {
        for (Wire::EndpointLoad &load : this->options.takeOwnLoads()) {
            heartbeat.add_loads()->Swap(&load);
        }
        for (Wire::EndpointCrash &crash : this->options.crashReports(this->lastRound)) {
            heartbeat.add_crashes()->Swap(&crash);
        }
        for (Wire::PartClearance &clearance : this->options.clearances()) {
            heartbeat.add_cleared()->Swap(&clearance);
        }
        for (Wire::EndpointLimitReport &report : this->options.limitReports(this->lastRound)) {
            heartbeat.add_limits()->Swap(&report);
        }
    }
    const std::vector<std::uint64_t> held = this->options.heldSessions();
    heartbeat.mutable_held_sessions()->Add(held.begin(), held.end());
    this->ownReports.record(this->lastRound, heartbeat.loads(), heartbeat.held_sessions());
}

void ServingView::handleUpdate(const std::string &replica, const Wire::ClusterUpdate &update)
{
    if (update.has_serving()) {
        this->applyServingState(update.serving());
    }
    this->applyAnnouncements(replica, update);
    if (update.lease_round() != 0) {
        this->leader = replica;
        this->confirmLease(update);
    }
}

void ServingView::applyServingState(const Wire::ServingState &serving)
{
    const bool isOutdated = serving.number() <= this->state.number();
    // An update without a plan keeps the plan that this process has.
    const bool lacksPlan = !serving.has_plan() && this->state.plan().revision() == 0;
    if (isOutdated || lacksPlan) {
        return;
    }
    Wire::ServingState next = serving;
    const bool hasNewPlan = serving.plan().revision() > this->state.plan().revision();
    if (!hasNewPlan) {
        *next.mutable_plan() = this->state.plan();
    }
    this->state = std::move(next);
    if (hasNewPlan) {
        this->planIndex = std::make_shared<const PlanIndex>(this->state.plan());
    }
    logLine(LogLevel::Info, "serving-state", {{"number", this->state.number()}, {"revision", this->state.plan().revision()}});
    this->options.onServingState(this->state);
}

void ServingView::applyAnnouncements(const std::string &replica, const Wire::ClusterUpdate &update)
{
    if (update.all_announcements() || update.announcements_current()) {
        this->unlistedReplicas.erase(replica);
    }
    if (update.announcements_size() == 0 && !update.all_announcements()) {
        return;
    }
    const std::vector<Wire::EndpointAnnouncement> listed(update.announcements().begin(), update.announcements().end());
    const bool isComplete = update.all_announcements() && !update.announcements_incomplete();
    const auto changed = isComplete ? this->announcements.applyFullList(replica, listed) : this->announcements.applyUpdate(replica, listed);
    if (!changed.empty()) {
        this->options.onAnnouncements(changed);
    }
}

void ServingView::confirmLease(const Wire::ClusterUpdate &update)
{
    this->gatewayCount = update.gateways();
    this->rank = update.gateway_rank();
    this->options.onConfirmed(update.lease_round());
    this->ownReports.forgetBefore(update.load_round());
    this->options.onLoads(this->ownReports.otherLoads(update.load_round(), update.loads()));
    this->options.onPrompts(update.prompts());
    this->options.onHeldSessions(this->ownReports.otherSessions(update.load_round(), update.held_sessions()));
    const auto sent = this->roundSentMs.find(update.lease_round());
    if (sent != this->roundSentMs.end()) {
        this->confirmLimits(update, sent->second);
    }
    const bool isUpToDate = this->state.number() >= update.serving_number();
    if (sent == this->roundSentMs.end() || !isUpToDate) {
        return;
    }
    this->confirmedMs = std::max(this->confirmedMs.value_or(0), sent->second);
}

void ServingView::confirmLimits(const Wire::ClusterUpdate &update, std::uint64_t askedMs)
{
    this->options.onLimits({
        .limits = update.limits_listed() ? std::optional(std::vector<Wire::EndpointLimit>(update.limits().begin(), update.limits().end())) : std::nullopt,
        .permits = {update.permits().begin(), update.permits().end()},
        .issuer = update.permit_issuer(),
        .reportRound = update.limit_round(),
        .askedAgoMs = bootTimeMs() - askedMs,
    });
}

std::shared_ptr<const PlanIndex> ServingView::plan() const
{
    return this->planIndex;
}

std::optional<std::uint64_t> ServingView::leaseAgeMs() const
{
    if (!this->confirmedMs) {
        return std::nullopt;
    }
    return bootTimeMs() - *this->confirmedMs;
}

std::int64_t ServingView::reportedLeaseAgeMs() const
{
    const std::optional<std::uint64_t> ageMs = this->leaseAgeMs();
    return ageMs ? static_cast<std::int64_t>(*ageMs) : -1;
}

std::uint32_t ServingView::gateways() const
{
    return this->gatewayCount;
}

std::uint32_t ServingView::gatewayRank() const
{
    return this->rank;
}

} // namespace Apricothead
