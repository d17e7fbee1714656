#include "EndpointWatch.h"

#include <algorithm>

namespace Apricothead {

namespace {

constexpr std::uint64_t RepeatAfterMs = 1000;

} // namespace

EndpointWatch::EndpointWatch(std::uint64_t lost) : lostMs(lost)
{ }

void EndpointWatch::applied(const Wire::Command &command, const Wire::CommandResult &result)
{
    if (!command.has_endpoint_incarnation() || result.has_error()) {
        return;
    }
    const Wire::EndpointIncarnation &change = command.endpoint_incarnation();
    Known &endpoint = this->known[change.endpoint()];
    if (change.incarnation() >= endpoint.incarnation) {
        endpoint = {.incarnation = change.incarnation(), .lost = change.lost()};
    }
    this->proposedMs.erase(change.endpoint());
}

void EndpointWatch::restore(const Wire::StateSnapshot &snapshot)
{
    this->known.clear();
    for (const Wire::EndpointIncarnation &endpoint : snapshot.incarnations()) {
        this->known[endpoint.endpoint()] = {.incarnation = endpoint.incarnation(), .lost = endpoint.lost()};
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
        const auto found = this->known.find(endpoint.endpoint());
        const bool isNew = found == this->known.end() || endpoint.incarnation() > found->second.incarnation;
        const bool isBack = !isNew && endpoint.incarnation() == found->second.incarnation && found->second.lost;
        if (isNew || isBack) {
            this->propose(endpoint.endpoint(), endpoint.incarnation(), false, nowMs, commands);
        }
    }
    for (const auto &[name, endpoint] : this->known) {
        if (endpoint.lost) {
            continue;
        }
        const std::uint64_t heardMs = std::max(directory.lastHeard(name, endpoint.incarnation).value_or(0), this->leadingSinceMs);
        if (nowMs - heardMs > this->lostMs) {
            this->propose(name, endpoint.incarnation, true, nowMs, commands);
        }
    }
    return commands;
}

void EndpointWatch::propose(const std::string &endpoint, std::uint64_t incarnation, bool lost, std::uint64_t nowMs, std::vector<Wire::Command> &commands)
{
    const auto before = this->proposedMs.find(endpoint);
    if (before != this->proposedMs.end() && nowMs - before->second < RepeatAfterMs) {
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
