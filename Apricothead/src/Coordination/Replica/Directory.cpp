#include "Directory.h"

#include <xxhash.h>

#include <algorithm>

namespace Apricothead {
namespace {

bool hasListingChanged(const Wire::Heartbeat &previous, const Wire::Heartbeat &current)
{
    return previous.has_endpoint() != current.has_endpoint() || previous.leaving() != current.leaving()
        || previous.endpoint().SerializeAsString() != current.endpoint().SerializeAsString();
}

} // namespace

Directory::Directory(std::uint64_t silence, std::uint64_t retention) : silenceMs(silence), retentionMs(retention)
{ }

void Directory::recordHeartbeat(const Wire::Heartbeat &heartbeat, std::uint64_t nowMs)
{
    ProcessEntry &process = this->entries[heartbeat.process()];
    const bool isStale = process.heartbeat.has_endpoint() && heartbeat.endpoint().incarnation() < process.heartbeat.endpoint().incarnation();
    if (isStale) {
        // A delayed heartbeat of an earlier incarnation.
        return;
    }
    const bool wasSilent = nowMs - process.lastHeartbeatMs > this->silenceMs;
    const bool changed = wasSilent || hasListingChanged(process.heartbeat, heartbeat);
    process.heartbeat = heartbeat;
    process.lastHeartbeatMs = nowMs;
    if (changed) {
        this->updateEndpointList(nowMs);
    }
    this->checkInForce(nowMs);
}

void Directory::expire(std::uint64_t nowMs)
{
    std::erase_if(this->entries, [&](const auto &entry) {
        return nowMs - entry.second.lastHeartbeatMs > this->retentionMs;
    });
    this->updateEndpointList(nowMs);
    this->checkInForce(nowMs);
}

void Directory::revisionApplied(std::uint64_t applied, std::uint64_t nowMs)
{
    if (applied <= this->revision) {
        return;
    }
    this->revision = applied;
    this->revisionAtMs = nowMs;
    this->inForceMs = 0;
    this->checkInForce(nowMs);
}

void Directory::checkInForce(std::uint64_t nowMs)
{
    if (this->inForceMs != 0 || this->revision == 0) {
        return;
    }
    const bool everywhere = std::all_of(this->entries.begin(), this->entries.end(), [this](const auto &entry) {
        return entry.second.heartbeat.revision() >= this->revision;
    });
    if (everywhere) {
        this->inForceMs = std::max<std::uint64_t>(1, nowMs - this->revisionAtMs);
    }
}

void Directory::updateEndpointList(std::uint64_t nowMs)
{
    this->endpointList.clear();
    for (const auto &[name, process] : this->entries) {
        if (!process.heartbeat.has_endpoint() || nowMs - process.lastHeartbeatMs > this->silenceMs) {
            continue;
        }
        Wire::EndpointStatus endpoint = process.heartbeat.endpoint();
        endpoint.set_leaving(endpoint.leaving() || process.heartbeat.leaving());
        this->endpointList.push_back(std::move(endpoint));
    }
    std::sort(this->endpointList.begin(), this->endpointList.end(), [](const auto &left, const auto &right) {
        return left.endpoint() < right.endpoint();
    });
    std::uint64_t hash = 0;
    for (const Wire::EndpointStatus &endpoint : this->endpointList) {
        const std::string bytes = endpoint.SerializeAsString();
        hash = XXH3_64bits_withSeed(bytes.data(), bytes.size(), hash);
    }
    this->endpointListNumber = std::max<std::uint64_t>(1, hash);
}

const std::vector<Wire::EndpointStatus> &Directory::endpoints() const
{
    return this->endpointList;
}

std::uint64_t Directory::number() const
{
    return this->endpointListNumber;
}

std::vector<Wire::EntryDigest> Directory::digests(std::uint64_t nowMs) const
{
    std::vector<Wire::EntryDigest> found;
    for (const auto &[process, state] : this->entries) {
        if (!state.heartbeat.has_digest() || nowMs - state.lastHeartbeatMs > this->silenceMs) {
            continue;
        }
        found.push_back(state.heartbeat.digest());
    }
    return found;
}

std::vector<Wire::ProcessStatus> Directory::processes(std::uint64_t nowMs) const
{
    std::vector<Wire::ProcessStatus> result;
    for (const auto &[name, process] : this->entries) {
        Wire::ProcessStatus status;
        status.set_process(name);
        *status.mutable_roles() = process.heartbeat.roles();
        status.set_availability_zone(process.heartbeat.availability_zone());
        status.set_revision(process.heartbeat.revision());
        status.set_silent_ms(nowMs - process.lastHeartbeatMs);
        status.set_leaving(process.heartbeat.leaving());
        result.push_back(std::move(status));
    }
    return result;
}

std::optional<std::uint64_t> Directory::lastHeartbeat(const std::string &endpoint, std::uint64_t incarnation) const
{
    std::optional<std::uint64_t> latest;
    for (const auto &[name, process] : this->entries) {
        const Wire::EndpointStatus &status = process.heartbeat.endpoint();
        if (!process.heartbeat.has_endpoint() || status.endpoint() != endpoint || status.incarnation() != incarnation) {
            continue;
        }
        latest = std::max(latest.value_or(0), process.lastHeartbeatMs);
    }
    return latest;
}

std::uint64_t Directory::inForceAfterMs() const
{
    return this->inForceMs;
}

} // namespace Apricothead
