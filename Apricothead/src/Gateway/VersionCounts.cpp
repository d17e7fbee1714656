#include "VersionCounts.h"

#include <algorithm>

namespace Apricothead {
namespace {

void addPaces(google::protobuf::RepeatedField<std::uint32_t> &listed, const PaceCounts &paces)
{
    std::size_t used = paces.size();
    while (used > 0 && paces[used - 1] == 0) {
        --used;
    }
    for (std::size_t index = 0; index < used; ++index) {
        listed.Add(static_cast<std::uint32_t>(paces[index]));
    }
}

} // namespace

void VersionCounts::setRollouts(const google::protobuf::RepeatedPtrField<Wire::ServiceRollout> &rollouts)
{
    this->rollingServices.clear();
    for (const Wire::ServiceRollout &rollout : rollouts) {
        if (rollout.state() != Wire::SERVICE_ROLLOUT_STATE_RUNNING) {
            continue;
        }
        this->rollingServices.insert(rollout.service());
        if (std::exchange(this->orders[{rollout.service(), rollout.target()}], rollout.order()) == rollout.order()) {
            continue;
        }
        for (auto &[key, count] : this->counts) {
            if (key.service == rollout.service() && key.version == rollout.target()) {
                count = {.open = count.open, .waiting = count.waiting, .waitingSinceSumMs = count.waitingSinceSumMs};
            }
        }
    }
}

std::uint64_t VersionCounts::recordStreamStart(const VersionRoute &key, std::uint64_t nowMs)
{
    this->streams[++this->lastStream] = {.key = key, .startedMs = nowMs};
    return this->lastStream;
}

void VersionCounts::recordEvent(std::uint64_t stream)
{
    const auto found = this->streams.find(stream);
    if (found != this->streams.end()) {
        ++found->second.events;
    }
}

void VersionCounts::recordStreamEnd(std::uint64_t stream, std::uint64_t nowMs)
{
    const auto found = this->streams.find(stream);
    if (found == this->streams.end()) {
        return;
    }
    const Stream &ended = found->second;
    ++this->counts[ended.key].endedPaces[paceClass(nowMs - std::min(nowMs, ended.startedMs), ended.events)];
    this->streams.erase(found);
}

std::uint64_t VersionCounts::endWait(Counts &counts, std::uint64_t startedMs, std::uint64_t nowMs)
{
    counts.waiting -= std::min<std::uint64_t>(counts.waiting, 1);
    counts.waitingSinceSumMs -= std::min(counts.waitingSinceSumMs, startedMs);
    return nowMs - std::min(nowMs, startedMs);
}

void VersionCounts::recordStart(const VersionRoute &key, std::uint64_t nowMs)
{
    Counts &count = this->counts[key];
    ++count.open;
    ++count.waiting;
    count.waitingSinceSumMs += nowMs;
}

void VersionCounts::recordAnswer(const VersionRoute &key, bool failed, std::uint64_t startedMs, std::uint64_t nowMs)
{
    Counts &count = this->counts[key];
    ++count.answers;
    count.failed += failed ? 1 : 0;
    count.timeSumMs += VersionCounts::endWait(count, startedMs, nowMs);
}

void VersionCounts::recordEnd(const VersionRoute &key)
{
    Counts &count = this->counts[key];
    count.open -= std::min<std::uint64_t>(count.open, 1);
}

void VersionCounts::recordUnanswered(const VersionRoute &key, bool wasGivenUp, std::uint64_t startedMs, std::uint64_t nowMs)
{
    this->recordEnd(key);
    Counts &count = this->counts[key];
    const std::uint64_t waitedMs = VersionCounts::endWait(count, startedMs, nowMs);
    count.timeSumMs += wasGivenUp ? waitedMs : 0;
}

std::vector<Wire::VersionCount> VersionCounts::read(std::uint64_t nowMs) const
{
    std::map<VersionRoute, PaceCounts> openPaces;
    for (const auto &[number, stream] : this->streams) {
        ++openPaces[stream.key][paceClass(nowMs - std::min(nowMs, stream.startedMs), stream.events)];
    }
    std::vector<Wire::VersionCount> listed;
    for (const auto &[key, count] : this->counts) {
        Wire::VersionCount &added = listed.emplace_back();
        added.set_service(key.service);
        added.set_version(key.version);
        added.set_route(key.route);
        added.set_answers(count.answers);
        added.set_failed(count.failed);
        added.set_open(count.open);
        added.set_time_sum_ms(static_cast<double>(count.timeSumMs));
        added.set_waiting_sum_ms(static_cast<double>(count.waiting * nowMs - count.waitingSinceSumMs));
        const auto order = this->orders.find({key.service, key.version});
        added.set_order(order == this->orders.end() ? 0 : order->second);
        if (this->rollingServices.contains(key.service)) {
            addPaces(*added.mutable_ended_paces(), count.endedPaces);
            addPaces(*added.mutable_open_paces(), openPaces[key]);
        }
    }
    return listed;
}

} // namespace Apricothead
