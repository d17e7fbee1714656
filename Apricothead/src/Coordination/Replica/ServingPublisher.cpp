#include "ServingPublisher.h"

#include "../../Decisions/VersionSplit.h"
#include "../../Transport/Log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Apricothead {
namespace {

/** Five heartbeat intervals of 1.2 s, since heartbeats may be delayed by seconds. */
constexpr std::uint64_t EndpointSilenceMs = 6000;
constexpr std::uint64_t EndpointRetentionMs = 60000;
/** Interval of relaying heartbeats that changed nothing, well below the endpoint silence. */
constexpr std::uint64_t RelayIntervalMs = 1500;
/** Gateways send several heartbeats per second. */
constexpr std::uint64_t GatewaySilenceMs = 3000;
/** Older load reports are ignored: that work has been answered or is reported by another gateway. */
constexpr std::uint64_t MaxLoadAgeMs = 800;
/** A replica that has issued no permits for this long may not have been the leader meanwhile. */
constexpr std::uint64_t MaxPermitGapMs = 500;
/** Limits that have changed are listed in all confirmations for this long: an update may be lost. */
constexpr std::uint64_t LimitsRepeatMs = 500;
/** Interval of listing limits that have not changed. */
constexpr std::uint64_t LimitsListIntervalMs = 1000;
/** A longer gap between two maintenance calls means that this process was suspended. */
constexpr std::uint64_t PauseDetectionMs = 1000;

} // namespace

ServingPublisher::ServingPublisher(ServingPublisherOptions given)
    : options(std::move(given)), registry(EndpointSilenceMs, EndpointRetentionMs, [this](const std::string &service) {
        const auto &services = this->options.serving().plan().services();
        return std::any_of(services.begin(), services.end(), [&service](const Wire::PlanService &named) {
            return named.name() == service;
        });
    })
{ }

void ServingPublisher::handleHeartbeat(const PeerId &peer, const Wire::Heartbeat &heartbeat, std::uint64_t nowMs)
{
    if (heartbeat.lease_round() == 0) {
        return;
    }
    this->startedMs = this->startedMs.value_or(nowMs);
    Gateway &gateway = this->gateways[peer];
    gateway.process = heartbeat.process();
    gateway.servingNumber = heartbeat.serving_number();
    gateway.planRevision = heartbeat.plan_revision();
    gateway.lastHeartbeatMs = nowMs;
    gateway.versions.assign(heartbeat.versions().begin(), heartbeat.versions().end());
    gateway.loadRound = heartbeat.lease_round();
    gateway.loads.clear();
    for (const Wire::EndpointLoad &load : heartbeat.loads()) {
        // The prompts are passed on once, not kept.
        Wire::EndpointLoad &kept = gateway.loads.emplace_back();
        kept.set_endpoint(load.endpoint());
        kept.set_awaiting_ms(load.awaiting_ms());
        kept.set_running(load.running());
    }
    if (this->options.isLeader()) {
        this->prompts.add(gateway.process, heartbeat.loads());
        this->handleEvidence(heartbeat);
    }
    if (heartbeat.limits_size() > 0) {
        gateway.limitRound = heartbeat.lease_round();
        this->permits.receive(peer, heartbeat.limits(), nowMs);
    }
    const int heldSessions = std::min(heartbeat.held_sessions_size(), static_cast<int>(VersionSplit::MaxReportedSessions));
    gateway.heldSessions.assign(heartbeat.held_sessions().begin(), heartbeat.held_sessions().begin() + heldSessions);
    Wire::ClusterUpdate update;
    const bool isListCurrent = heartbeat.wants_announcements() && heartbeat.announcement_digest() == this->registry.digest();
    if (isListCurrent) {
        update.set_announcements_current(true);
    } else if (heartbeat.wants_announcements()) {
        update.set_all_announcements(true);
        update.set_announcements_incomplete(nowMs - *this->startedMs < EndpointSilenceMs);
        for (const Wire::EndpointAnnouncement &announcement : this->registry.all()) {
            *update.add_announcements() = announcement;
        }
    }
    this->fillServing(gateway, update);
    if (update.ByteSizeLong() > 0) {
        this->options.send(peer, update, {});
    }
    if (this->options.isLeader()) {
        this->pendingLeaseRounds[peer] = heartbeat.lease_round();
    }
}

void ServingPublisher::handleEvidence(const Wire::Heartbeat &heartbeat)
{
    if (heartbeat.crashes_size() == 0 && heartbeat.cleared_size() == 0) {
        return;
    }
    Wire::UpdateSuspects evidence;
    *evidence.mutable_crashes() = heartbeat.crashes();
    *evidence.mutable_cleared() = heartbeat.cleared();
    this->options.onEvidence(std::move(evidence));
}

void ServingPublisher::handlePeerGone(const PeerId &peer)
{
    this->gateways.erase(peer);
    this->pendingLeaseRounds.erase(peer);
}

void ServingPublisher::fillServing(Gateway &gateway, Wire::ClusterUpdate &update)
{
    const Wire::ServingState &state = this->options.serving();
    if (gateway.servingNumber >= state.number()) {
        return;
    }
    *update.mutable_serving()->mutable_rollouts() = state.rollouts();
    *update.mutable_serving()->mutable_suspects() = state.suspects();
    *update.mutable_serving()->mutable_evacuations() = state.evacuations();
    *update.mutable_serving()->mutable_versions() = state.versions();
    update.mutable_serving()->set_number(state.number());
    if (gateway.planRevision < state.plan().revision()) {
        *update.mutable_serving()->mutable_plan() = state.plan();
        // The source is needed only for reads by operators, which replicas answer.
        update.mutable_serving()->mutable_plan()->clear_source();
    }
    gateway.servingNumber = state.number();
    gateway.planRevision = state.plan().revision();
}

void ServingPublisher::publishServingState()
{
    // Only the leader sends it to each gateway; if that fails, the other replicas send it in answer to the next heartbeat.
    if (!this->options.isLeader()) {
        return;
    }
    for (auto &[peer, gateway] : this->gateways) {
        Wire::ClusterUpdate update;
        this->fillServing(gateway, update);
        if (update.has_serving()) {
            this->options.send(peer, update, {});
        }
    }
}

void ServingPublisher::sendToGateways(const std::vector<Wire::EndpointAnnouncement> &changed)
{
    if (changed.empty()) {
        return;
    }
    Wire::ClusterUpdate update;
    for (const Wire::EndpointAnnouncement &announcement : changed) {
        // An older change that still waits must not follow a newer one.
        this->relayedChanges.erase(announcement.endpoint());
        *update.add_announcements() = announcement;
        logLine(LogLevel::Info,
                "endpoint-announced",
                {{"endpoint", announcement.endpoint()},
                 {"service", announcement.service()},
                 {"version", announcement.version()},
                 {"state", Wire::AnnouncedState_Name(announcement.state())},
                 {"sequence", announcement.sequence()}});
    }
    for (const auto &[peer, gateway] : this->gateways) {
        this->options.send(peer, update, {});
    }
}

void ServingPublisher::publish(const std::vector<Wire::EndpointAnnouncement> &changed)
{
    this->sendToGateways(changed);
    if (changed.empty()) {
        return;
    }
    Wire::Announcements message;
    for (const Wire::EndpointAnnouncement &announcement : changed) {
        *message.add_endpoints() = announcement;
    }
    this->options.relay(message);
}

void ServingPublisher::handleAnnouncement(const Wire::EndpointAnnouncement &announcement, std::uint64_t nowMs)
{
    this->lastDirectHeartbeatMs[announcement.endpoint()] = nowMs;
    this->publish(this->registry.recordHeartbeat(announcement, nowMs));
}

void ServingPublisher::handleEndpointLeft(const std::string &endpoint, std::uint64_t nowMs)
{
    const std::vector<Wire::EndpointAnnouncement> changed = this->registry.markGone(endpoint, nowMs);
    if (!changed.empty()) {
        this->publish(changed);
        return;
    }
    const Wire::EndpointAnnouncement *known = this->registry.find(endpoint);
    if (known != nullptr && known->state() != Wire::ANNOUNCED_STATE_GONE) {
        logLine(LogLevel::Info, "late-departure-ignored", {{"endpoint", endpoint}, {"bornMs", known->born_ms()}});
        return;
    }
    Wire::Announcements message;
    if (known != nullptr) {
        *message.add_endpoints() = *known;
    } else {
        // This replica may have restarted since the endpoint's last heartbeat; other replicas may still list the endpoint.
        message.add_endpoints()->set_endpoint(endpoint);
        message.mutable_endpoints(0)->set_state(Wire::ANNOUNCED_STATE_GONE);
    }
    this->options.relay(message);
}

void ServingPublisher::handleRelayedAnnouncements(const Wire::Announcements &announcements, std::uint64_t nowMs)
{
    std::vector<Wire::EndpointAnnouncement> changed;
    for (const Wire::EndpointAnnouncement &announcement : announcements.endpoints()) {
        const bool isGone = announcement.state() == Wire::ANNOUNCED_STATE_GONE;
        // Without an address, the announcement only names an endpoint that is gone, and no incarnation.
        const bool isNameOnly = announcement.address().empty();
        if (!isNameOnly) {
            for (Wire::EndpointAnnouncement &change : this->registry.recordHeartbeat(announcement, nowMs)) {
                changed.push_back(std::move(change));
            }
        }
        if (!isGone) {
            continue;
        }
        // The gone state has no sequence of its own, so recordHeartbeat() may have dropped it as outdated.
        const std::string &endpoint = announcement.endpoint();
        std::vector<Wire::EndpointAnnouncement> gone
            = isNameOnly ? this->registry.markGone(endpoint, nowMs) : this->registry.markGone(endpoint, announcement.born_ms(), nowMs);
        std::move(gone.begin(), gone.end(), std::back_inserter(changed));
    }
    // The replica that received them has sent them to the gateways at once. These are the second way, for gateways that it does not reach.
    for (Wire::EndpointAnnouncement &change : changed) {
        const std::string endpoint = change.endpoint();
        this->relayedChanges[endpoint] = std::move(change);
    }
}

void ServingPublisher::sendRelayedChanges()
{
    std::vector<Wire::EndpointAnnouncement> changed;
    for (auto &[endpoint, change] : std::exchange(this->relayedChanges, {})) {
        changed.push_back(std::move(change));
    }
    this->sendToGateways(changed);
}

void ServingPublisher::relayHeartbeats(std::uint64_t nowMs)
{
    if (nowMs - this->lastRelayMs < RelayIntervalMs) {
        return;
    }
    Wire::Announcements message;
    for (const Wire::EndpointAnnouncement &announcement : this->registry.activeSince(this->lastRelayMs)) {
        const auto direct = this->lastDirectHeartbeatMs.find(announcement.endpoint());
        if (direct != this->lastDirectHeartbeatMs.end() && direct->second > this->lastRelayMs) {
            *message.add_endpoints() = announcement;
        }
    }
    this->lastRelayMs = nowMs;
    std::erase_if(this->lastDirectHeartbeatMs, [nowMs](const auto &entry) {
        return nowMs - entry.second > EndpointRetentionMs;
    });
    if (message.endpoints_size() > 0) {
        this->options.relay(message);
    }
}

void ServingPublisher::runMaintenance(std::uint64_t nowMs)
{
    if (this->lastMaintenanceMs != 0 && nowMs - this->lastMaintenanceMs > PauseDetectionMs) {
        this->registry.resetSilence(nowMs);
    }
    this->lastMaintenanceMs = nowMs;
    this->startedMs = this->startedMs.value_or(nowMs);
    this->prompts.endRound();
    this->sendRelayedChanges();
    this->sendToGateways(this->registry.expire(nowMs));
    this->relayHeartbeats(nowMs);
    std::erase_if(this->gateways, [nowMs](const auto &entry) {
        return nowMs - entry.second.lastHeartbeatMs > EndpointRetentionMs;
    });
    if (this->pendingLeaseRounds.empty()) {
        return;
    }
    const std::uint64_t readId = this->options.startRead();
    if (readId == 0) {
        this->pendingLeaseRounds.clear();
        return;
    }
    this->leaseReads[readId] = std::exchange(this->pendingLeaseRounds, {});
}

bool ServingPublisher::handleReadResult(std::uint64_t id, bool confirmed)
{
    const auto found = this->leaseReads.find(id);
    if (found == this->leaseReads.end()) {
        return false;
    }
    const std::map<PeerId, std::uint64_t> leaseRounds = std::move(found->second);
    this->leaseReads.erase(found);
    if (!confirmed) {
        return true;
    }
    const std::map<PeerId, std::vector<Wire::EndpointPermits>> issued = this->issuePermits(leaseRounds);
    const std::string common = this->commonConfirmation();
    const std::map<std::string, std::uint32_t> ranks = this->gatewayRanks(this->lastMaintenanceMs);
    const std::string limits = this->serialisedLimits();
    std::map<std::uint64_t, std::string> promptsSince;
    for (const auto &[peer, round] : leaseRounds) {
        const auto gateway = this->gateways.find(peer);
        if (gateway == this->gateways.end()) {
            continue;
        }
        Wire::ClusterUpdate update;
        this->fillServing(gateway->second, update);
        update.set_lease_round(round);
        const auto rank = ranks.find(gateway->second.process);
        update.set_gateway_rank(rank == ranks.end() ? 0 : rank->second);
        update.set_load_round(this->hasCurrentLoads(gateway->second) ? gateway->second.loadRound : 0);
        update.set_limit_round(gateway->second.limitRound);
        if (const auto permitted = issued.find(peer); permitted != issued.end()) {
            update.mutable_permits()->Add(permitted->second.begin(), permitted->second.end());
        }
        const auto [prompts, isFirst] = promptsSince.try_emplace(gateway->second.promptRound);
        if (isFirst) {
            prompts->second = this->serialisedPromptsSince(gateway->second.promptRound);
        }
        gateway->second.promptRound = this->prompts.endedRounds();
        this->options.send(peer, update, common + prompts->second + (this->takeLimitsDue(gateway->second) ? limits : std::string()));
    }
    return true;
}

bool ServingPublisher::takeLimitsDue(Gateway &gateway) const
{
    const std::uint64_t nowMs = this->lastMaintenanceMs;
    const bool isDue = nowMs - this->limitsChangedMs < LimitsRepeatMs || nowMs - gateway.limitsListedMs >= LimitsListIntervalMs;
    if (isDue) {
        gateway.limitsListedMs = nowMs;
    }
    return isDue;
}

std::string ServingPublisher::serialisedLimits() const
{
    Wire::Envelope message;
    Wire::ClusterUpdate &update = *message.mutable_update();
    update.set_limits_listed(true);
    const std::vector<Wire::EndpointLimit> limits = this->permits.limits(this->lastMaintenanceMs);
    update.mutable_limits()->Add(limits.begin(), limits.end());
    return message.SerializeAsString();
}

std::map<PeerId, std::vector<Wire::EndpointPermits>> ServingPublisher::issuePermits(const std::map<PeerId, std::uint64_t> &leaseRounds)
{
    const std::uint64_t nowMs = this->lastMaintenanceMs;
    if (this->permits.issuer() == 0 || nowMs - this->permitsIssuedMs > MaxPermitGapMs) {
        const std::uint64_t issuer = std::uniform_int_distribution<std::uint64_t>(1)(this->random);
        logLine(LogLevel::Info, "permits-restarted", {{"issuer", issuer}});
        this->permits.restart(issuer, nowMs);
    }
    this->permitsIssuedMs = nowMs;
    std::set<std::string> asking;
    for (const auto &[peer, round] : leaseRounds) {
        asking.insert(peer);
    }
    std::map<PeerId, std::vector<Wire::EndpointPermits>> issued = this->permits.issue(asking, nowMs);
    if (std::exchange(this->limitsVersion, this->permits.limitsVersion()) != this->permits.limitsVersion()) {
        this->limitsChangedMs = nowMs;
    }
    return issued;
}

bool ServingPublisher::hasCurrentLoads(const Gateway &gateway) const
{
    return this->lastMaintenanceMs - std::min(this->lastMaintenanceMs, gateway.lastHeartbeatMs) <= MaxLoadAgeMs;
}

std::string ServingPublisher::serialisedPromptsSince(std::uint64_t round) const
{
    Wire::Envelope message;
    this->prompts.appendSince(round, *message.mutable_update()->mutable_prompts());
    return message.SerializeAsString();
}

std::string ServingPublisher::commonConfirmation() const
{
    Wire::Envelope message;
    Wire::ClusterUpdate &update = *message.mutable_update();
    update.set_serving_number(this->options.serving().number());
    update.set_gateways(this->gatewayCount(this->lastMaintenanceMs));
    *update.mutable_members() = this->options.membership().members();
    update.set_permit_issuer(this->permits.issuer());
    LoadTotals totals;
    const std::size_t sessionShare = std::min(VersionSplit::MaxReportedSessions, VersionSplit::MaxSessions / std::max<std::size_t>(1, this->gateways.size()));
    for (const auto &[peer, gateway] : this->gateways) {
        if (this->hasCurrentLoads(gateway)) {
            totals.add(gateway.loads);
        }
        // A gateway that is silent for longer holds no sessions any more.
        if (this->lastMaintenanceMs - std::min(this->lastMaintenanceMs, gateway.lastHeartbeatMs) <= GatewaySilenceMs) {
            const auto count = static_cast<std::ptrdiff_t>(std::min(sessionShare, gateway.heldSessions.size()));
            update.mutable_held_sessions()->Add(gateway.heldSessions.begin(), gateway.heldSessions.begin() + count);
        }
    }
    totals.appendTo(*update.mutable_loads());
    return message.SerializeAsString();
}

std::vector<GatewayCounts> ServingPublisher::counts(std::uint64_t nowMs) const
{
    std::vector<GatewayCounts> counts;
    for (const auto &[peer, gateway] : this->gateways) {
        if (nowMs - gateway.lastHeartbeatMs <= GatewaySilenceMs) {
            counts.push_back({.process = gateway.process, .versions = gateway.versions});
        }
    }
    return counts;
}

std::map<std::string, std::uint32_t> ServingPublisher::gatewayRanks(std::uint64_t nowMs) const
{
    std::map<std::string, std::uint32_t> ranks;
    for (const auto &[peer, gateway] : this->gateways) {
        if (nowMs - gateway.lastHeartbeatMs <= GatewaySilenceMs) {
            ranks[gateway.process] = 0;
        }
    }
    std::uint32_t next = 0;
    for (auto &[process, rank] : ranks) {
        rank = next++;
    }
    return ranks;
}

std::uint32_t ServingPublisher::gatewayCount(std::uint64_t nowMs) const
{
    std::uint32_t count = 0;
    for (const auto &[peer, gateway] : this->gateways) {
        count += nowMs - gateway.lastHeartbeatMs <= GatewaySilenceMs ? 1 : 0;
    }
    return count;
}

const PromptNews &ServingPublisher::promptNews() const
{
    return this->prompts;
}

std::vector<Wire::EndpointAnnouncement> ServingPublisher::endpoints() const
{
    return this->registry.all();
}

} // namespace Apricothead
