#include "EndpointWatch.h"

#include <algorithm>

namespace Apricothead {

namespace {

constexpr std::uint64_t ReproposeIntervalMs = 1000;

} // namespace

EndpointWatch::EndpointWatch(std::uint64_t lost) : lostMs(lost)
{ }

void EndpointWatch::recordApplied(const Wire::Command &command, const Wire::CommandResult &result)
{
    if (!command.has_endpoint_incarnation() || result.has_error()) {
        return;
    }
    const Wire::EndpointIncarnation &change = command.endpoint_incarnation();
    EndpointState &endpoint = this->endpoints[change.endpoint()];
    if (change.incarnation() >= endpoint.incarnation) {
        endpoint = {.incarnation = change.incarnation(), .lost = change.lost()};
    }
    this->proposedMs.erase(change.endpoint());
}

void EndpointWatch::restore(const Wire::StateSnapshot &snapshot)
{
    this->endpoints.clear();
    for (const Wire::EndpointIncarnation &endpoint : snapshot.incarnations()) {
        this->endpoints[endpoint.endpoint()] = {.incarnation = endpoint.incarnation(), .lost = endpoint.lost()};
    }
}

void EndpointWatch::startLeading(std::uint64_t nowMs)
{
    this->leadingSinceMs = nowMs;
    this->proposedMs.clear();
}

std::vector<Wire::Command> EndpointWatch::due(const Directory &directory, std::uint64_t nowMs)
{
    std::vector<Wire::Command> commands;
    for (const Wire::EndpointStatus &endpoint : directory.endpoints()) {
        const auto found = this->endpoints.find(endpoint.endpoint());
        const bool isNew = found == this->endpoints.end() || endpoint.incarnation() > found->second.incarnation;
        const bool hasReturned = !isNew && endpoint.incarnation() == found->second.incarnation && found->second.lost;
        if (isNew || hasReturned) {
            this->propose(endpoint.endpoint(), endpoint.incarnation(), false, nowMs, commands);
        }
    }
    for (const auto &[name, endpoint] : this->endpoints) {
        if (endpoint.lost) {
            continue;
        }
        const std::uint64_t lastHeartbeatMs = std::max(directory.lastHeartbeat(name, endpoint.incarnation).value_or(0), this->leadingSinceMs);
        if (nowMs - lastHeartbeatMs > this->lostMs) {
            this->propose(name, endpoint.incarnation, true, nowMs, commands);
        }
    }
    return commands;
}

void EndpointWatch::propose(const std::string &endpoint, std::uint64_t incarnation, bool lost, std::uint64_t nowMs, std::vector<Wire::Command> &commands)
{
    const auto previous = this->proposedMs.find(endpoint);
    if (previous != this->proposedMs.end() && nowMs - previous->second < ReproposeIntervalMs) {
        return;
    }
    this->proposedMs[endpoint] = nowMs;
    Wire::Command command;
    command.mutable_endpoint_incarnation()->set_endpoint(endpoint);
    command.mutable_endpoint_incarnation()->set_incarnation(incarnation);
    command.mutable_endpoint_incarnation()->set_lost(lost);
    commands.push_back(std::move(command));
}

} // namespace Apricothead
