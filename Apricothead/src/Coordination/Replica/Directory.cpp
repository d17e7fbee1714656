#include "Directory.h"

#include <xxhash.h>

#include <algorithm>

namespace Apricothead {
namespace {

bool isListedOtherwise(const Wire::Heartbeat &former, const Wire::Heartbeat &latter)
{
    return former.has_endpoint() != latter.has_endpoint() || former.leaving() != latter.leaving()
        || former.endpoint().SerializeAsString() != latter.endpoint().SerializeAsString();
}

} // namespace

Directory::Directory(std::uint64_t silence, std::uint64_t forget) : silenceMs(silence), forgetMs(forget)
{ }

void Directory::recordHeartbeat(const Wire::Heartbeat &heartbeat, std::uint64_t nowMs)
{
    Known &process = this->known[heartbeat.process()];
    const bool older = process.heartbeat.has_endpoint() && heartbeat.endpoint().incarnation() < process.heartbeat.endpoint().incarnation();
    if (older) {
        // A message of the process's former run that arrived late.
        return;
    }
    const bool wasSilent = nowMs - process.heardMs > this->silenceMs;
    const bool changed = wasSilent || isListedOtherwise(process.heartbeat, heartbeat);
    process.heartbeat = heartbeat;
    process.heardMs = nowMs;
    if (changed) {
        this->listEndpoints(nowMs);
    }
    this->checkInForce(nowMs);
}

void Directory::expire(std::uint64_t nowMs)
{
    std::erase_if(this->known, [&](const auto &entry) {
        return nowMs - entry.second.heardMs > this->forgetMs;
    });
    this->listEndpoints(nowMs);
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
    const bool everywhere = std::all_of(this->known.begin(), this->known.end(), [this](const auto &entry) {
        return entry.second.heartbeat.revision() >= this->revision;
    });
    if (everywhere) {
        this->inForceMs = std::max<std::uint64_t>(1, nowMs - this->revisionAtMs);
    }
}

void Directory::listEndpoints(std::uint64_t nowMs)
{
    this->listed.clear();
    for (const auto &[name, process] : this->known) {
        if (!process.heartbeat.has_endpoint() || nowMs - process.heardMs > this->silenceMs) {
            continue;
        }
        Wire::EndpointStatus endpoint = process.heartbeat.endpoint();
        endpoint.set_leaving(endpoint.leaving() || process.heartbeat.leaving());
        this->listed.push_back(std::move(endpoint));
    }
    std::sort(this->listed.begin(), this->listed.end(), [](const auto &left, const auto &right) {
        return left.endpoint() < right.endpoint();
    });
    std::uint64_t hash = 0;
    for (const Wire::EndpointStatus &endpoint : this->listed) {
        const std::string bytes = endpoint.SerializeAsString();
        hash = XXH3_64bits_withSeed(bytes.data(), bytes.size(), hash);
    }
    this->listedNumber = std::max<std::uint64_t>(1, hash);
}

const std::vector<Wire::EndpointStatus> &Directory::endpoints() const
{
    return this->listed;
}

std::uint64_t Directory::number() const
{
    return this->listedNumber;
}

std::vector<Wire::EntryDigest> Directory::digests(std::uint64_t nowMs) const
{
    std::vector<Wire::EntryDigest> found;
    for (const auto &[process, state] : this->known) {
        if (!state.heartbeat.has_digest() || nowMs - state.heardMs > this->silenceMs) {
            continue;
        }
        found.push_back(state.heartbeat.digest());
    }
    return found;
}

std::vector<Wire::ProcessStatus> Directory::processes(std::uint64_t nowMs) const
{
    std::vector<Wire::ProcessStatus> result;
    for (const auto &[name, process] : this->known) {
        Wire::ProcessStatus status;
        status.set_process(name);
        *status.mutable_roles() = process.heartbeat.roles();
        status.set_availability_zone(process.heartbeat.availability_zone());
        status.set_revision(process.heartbeat.revision());
        status.set_silent_ms(nowMs - process.heardMs);
        status.set_leaving(process.heartbeat.leaving());
        result.push_back(std::move(status));
    }
    return result;
}

std::optional<std::uint64_t> Directory::lastHeard(const std::string &endpoint, std::uint64_t incarnation) const
{
    std::optional<std::uint64_t> latest;
    for (const auto &[name, process] : this->known) {
        const Wire::EndpointStatus &status = process.heartbeat.endpoint();
        if (!process.heartbeat.has_endpoint() || status.endpoint() != endpoint || status.incarnation() != incarnation) {
            continue;
        }
        latest = std::max(latest.value_or(0), process.heardMs);
    }
    return latest;
}

std::uint64_t Directory::inForceAfterMs() const
{
    return this->inForceMs;
}

} // namespace Apricothead
