#include "ServingPublisher.h"

#include "../../Transport/Log.h"

#include <algorithm>
#include <utility>

namespace Apricothead {
namespace {

/** Five heartbeats of 1.2 s; a heartbeat may be seconds late. */
constexpr std::uint64_t EndpointSilenceMs = 6000;
constexpr std::uint64_t EndpointForgetMs = 60000;
/** Heartbeats that changed nothing are passed on at this interval, well under the silence. */
constexpr std::uint64_t RelayIntervalMs = 1500;
/** A gateway sends several heartbeats a second. */
constexpr std::uint64_t GatewaySilenceMs = 3000;
/** Work that a gateway told of longer ago has been answered or is another's to tell. */
constexpr std::uint64_t LoadAgeMs = 800;
/** Chores that come this late show that the process itself stood still. */
constexpr std::uint64_t PauseMs = 1000;

} // namespace

ServingPublisher::ServingPublisher(ServingPublisherOptions given) : options(std::move(given)), book(EndpointSilenceMs, EndpointForgetMs)
{ }

void ServingPublisher::heartbeat(const PeerId &peer, const Wire::Heartbeat &heartbeat, std::uint64_t nowMs)
{
    if (heartbeat.lease_round() == 0) {
        return;
    }
    Gateway &gateway = this->gateways[peer];
    gateway.process = heartbeat.process();
    gateway.number = heartbeat.serving_number();
    gateway.planRevision = heartbeat.plan_revision();
    gateway.heardMs = nowMs;
    gateway.versions.assign(heartbeat.versions().begin(), heartbeat.versions().end());
    gateway.loads.assign(heartbeat.loads().begin(), heartbeat.loads().end());
    gateway.heldSessions.assign(heartbeat.held_sessions().begin(), heartbeat.held_sessions().end());
    Wire::ClusterUpdate update;
    if (heartbeat.wants_announcements()) {
        update.set_all_announcements(true);
        for (const Wire::EndpointAnnouncement &announcement : this->book.all()) {
            *update.add_announcements() = announcement;
        }
    }
    this->fillServing(gateway, update);
    if (update.ByteSizeLong() > 0) {
        this->options.send(peer, update);
    }
    if (this->options.isLeader()) {
        this->askedLeases[peer] = heartbeat.lease_round();
    }
}

void ServingPublisher::peerGone(const PeerId &peer)
{
    this->gateways.erase(peer);
    this->askedLeases.erase(peer);
}

void ServingPublisher::fillServing(Gateway &gateway, Wire::ClusterUpdate &update)
{
    const Wire::ServingState &state = this->options.serving();
    if (gateway.number >= state.number()) {
        return;
    }
    *update.mutable_serving()->mutable_rollouts() = state.rollouts();
    update.mutable_serving()->set_number(state.number());
    if (gateway.planRevision < state.plan().revision()) {
        *update.mutable_serving()->mutable_plan() = state.plan();
        // Only for reads by operators, which replicas answer.
        update.mutable_serving()->mutable_plan()->clear_source();
    }
    gateway.number = state.number();
    gateway.planRevision = state.plan().revision();
}

void ServingPublisher::servingChanged()
{
    // Each gateway hears it from the leader; the others answer its next heartbeat if that failed.
    if (!this->options.isLeader()) {
        return;
    }
    for (auto &[peer, gateway] : this->gateways) {
        Wire::ClusterUpdate update;
        this->fillServing(gateway, update);
        if (update.has_serving()) {
            this->options.send(peer, update);
        }
    }
}

void ServingPublisher::push(const std::vector<Wire::EndpointAnnouncement> &changed)
{
    if (changed.empty()) {
        return;
    }
    Wire::ClusterUpdate update;
    for (const Wire::EndpointAnnouncement &announcement : changed) {
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
        this->options.send(peer, update);
    }
}

void ServingPublisher::publish(const std::vector<Wire::EndpointAnnouncement> &changed)
{
    this->push(changed);
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
    this->heardHereMs[announcement.endpoint()] = nowMs;
    this->publish(this->book.recordHeartbeat(announcement, nowMs));
}

void ServingPublisher::handleEndpointLeft(const std::string &endpoint, std::uint64_t nowMs)
{
    const std::vector<Wire::EndpointAnnouncement> changed = this->book.markGone(endpoint, nowMs);
    if (!changed.empty()) {
        this->publish(changed);
        return;
    }
    // This replica may have restarted since the endpoint was heard here: the others may know it.
    Wire::Announcements message;
    Wire::EndpointAnnouncement *gone = message.add_endpoints();
    gone->set_endpoint(endpoint);
    gone->set_state(Wire::ANNOUNCED_STATE_GONE);
    this->options.relay(message);
}

void ServingPublisher::relayed(const Wire::Announcements &announcements, std::uint64_t nowMs)
{
    std::vector<Wire::EndpointAnnouncement> changed;
    for (const Wire::EndpointAnnouncement &announcement : announcements.endpoints()) {
        const bool isGone = announcement.state() == Wire::ANNOUNCED_STATE_GONE;
        // One without an address only names an endpoint that ended.
        if (!announcement.address().empty()) {
            for (Wire::EndpointAnnouncement &change : this->book.recordHeartbeat(announcement, nowMs)) {
                changed.push_back(std::move(change));
            }
        }
        if (!isGone) {
            continue;
        }
        // The end of an endpoint carries no sequence of its own.
        for (Wire::EndpointAnnouncement &change : this->book.markGone(announcement.endpoint(), nowMs)) {
            changed.push_back(std::move(change));
        }
    }
    this->push(changed);
}

void ServingPublisher::relayHeard(std::uint64_t nowMs)
{
    if (nowMs - this->relayedMs < RelayIntervalMs) {
        return;
    }
    Wire::Announcements message;
    for (const Wire::EndpointAnnouncement &announcement : this->book.activeSince(this->relayedMs)) {
        const auto here = this->heardHereMs.find(announcement.endpoint());
        if (here != this->heardHereMs.end() && here->second > this->relayedMs) {
            *message.add_endpoints() = announcement;
        }
    }
    this->relayedMs = nowMs;
    std::erase_if(this->heardHereMs, [nowMs](const auto &heard) {
        return nowMs - heard.second > EndpointForgetMs;
    });
    if (message.endpoints_size() > 0) {
        this->options.relay(message);
    }
}

void ServingPublisher::chores(std::uint64_t nowMs)
{
    if (this->choresMs != 0 && nowMs - this->choresMs > PauseMs) {
        this->book.resetSilence(nowMs);
    }
    this->choresMs = nowMs;
    this->push(this->book.expire(nowMs));
    this->relayHeard(nowMs);
    std::erase_if(this->gateways, [nowMs](const auto &known) {
        return nowMs - known.second.heardMs > EndpointForgetMs;
    });
    if (this->askedLeases.empty()) {
        return;
    }
    const std::uint64_t read = this->options.startRead();
    if (read == 0) {
        this->askedLeases.clear();
        return;
    }
    this->leaseReads[read] = std::exchange(this->askedLeases, {});
}

bool ServingPublisher::readEnded(std::uint64_t id, bool confirmed)
{
    const auto found = this->leaseReads.find(id);
    if (found == this->leaseReads.end()) {
        return false;
    }
    const std::map<PeerId, std::uint64_t> asked = std::move(found->second);
    this->leaseReads.erase(found);
    if (!confirmed) {
        return true;
    }
    for (const auto &[peer, round] : asked) {
        const auto gateway = this->gateways.find(peer);
        if (gateway == this->gateways.end()) {
            continue;
        }
        Wire::ClusterUpdate update;
        this->fillServing(gateway->second, update);
        update.set_lease_round(round);
        update.set_serving_number(this->options.serving().number());
        update.set_gateways(this->gatewayCount(this->choresMs));
        *update.mutable_members() = this->options.membership().members();
        this->fillLoads(peer, update);
        this->fillHeldSessions(peer, update);
        this->options.send(peer, update);
    }
    return true;
}

void ServingPublisher::fillLoads(const PeerId &peer, Wire::ClusterUpdate &update) const
{
    std::map<std::string, Wire::EndpointLoad> sums;
    for (const auto &[other, gateway] : this->gateways) {
        if (other == peer || this->choresMs - std::min(this->choresMs, gateway.heardMs) > LoadAgeMs) {
            continue;
        }
        for (const Wire::EndpointLoad &load : gateway.loads) {
            Wire::EndpointLoad &sum = sums[load.endpoint()];
            sum.set_endpoint(load.endpoint());
            sum.set_awaiting_ms(sum.awaiting_ms() + load.awaiting_ms());
            sum.set_running(sum.running() + load.running());
            sum.mutable_prefixes()->MergeFrom(load.prefixes());
            sum.mutable_prefix_tokens()->MergeFrom(load.prefix_tokens());
        }
    }
    for (auto &[endpoint, sum] : sums) {
        update.add_loads()->Swap(&sum);
    }
}

void ServingPublisher::fillHeldSessions(const PeerId &peer, Wire::ClusterUpdate &update) const
{
    for (const auto &[other, gateway] : this->gateways) {
        // A gateway that is silent for longer has no sessions of its own left.
        if (other == peer || this->choresMs - std::min(this->choresMs, gateway.heardMs) > GatewaySilenceMs) {
            continue;
        }
        update.mutable_held_sessions()->Add(gateway.heldSessions.begin(), gateway.heldSessions.end());
    }
}

std::vector<GatewayCounts> ServingPublisher::counts(std::uint64_t nowMs) const
{
    std::vector<GatewayCounts> counts;
    for (const auto &[peer, gateway] : this->gateways) {
        if (nowMs - gateway.heardMs <= GatewaySilenceMs) {
            counts.push_back({.process = gateway.process, .versions = gateway.versions});
        }
    }
    return counts;
}

std::uint32_t ServingPublisher::gatewayCount(std::uint64_t nowMs) const
{
    std::uint32_t count = 0;
    for (const auto &[peer, gateway] : this->gateways) {
        count += nowMs - gateway.heardMs <= GatewaySilenceMs ? 1 : 0;
    }
    return count;
}

std::vector<Wire::EndpointAnnouncement> ServingPublisher::endpoints() const
{
    return this->book.all();
}

} // namespace Apricothead
