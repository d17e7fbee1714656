#include "VersionCounts.h"

#include <algorithm>

namespace Apricothead {

std::uint64_t VersionCounts::endWait(Counts &counts, std::uint64_t startedMs, std::uint64_t nowMs)
{
    counts.waiting -= std::min<std::uint64_t>(counts.waiting, 1);
    counts.waitingSinceSumMs -= std::min(counts.waitingSinceSumMs, startedMs);
    return nowMs - std::min(nowMs, startedMs);
}

void VersionCounts::setRollouts(const google::protobuf::RepeatedPtrField<Wire::ServiceRollout> &rollouts)
{
    this->rollingServices.clear();
    for (const Wire::ServiceRollout &rollout : rollouts) {
        if (rollout.state() == Wire::SERVICE_ROLLOUT_STATE_RUNNING) {
            this->rollingServices.insert(rollout.service());
        }
    }
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

void VersionCounts::recordPace(const VersionRoute &key, const std::string &model, double gapMs)
{
    std::map<std::string, PaceCounts> &paces = this->counts[key].paces;
    if (paces.size() < VersionCounts::MaxModels || paces.contains(model)) {
        paces[model].record(gapMs);
    }
}

std::vector<Wire::VersionCount> VersionCounts::read(std::uint64_t nowMs) const
{
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
        if (!this->rollingServices.contains(key.service)) {
            continue;
        }
        for (const auto &[model, paces] : count.paces) {
            Wire::ModelPaces &listedPaces = *added.add_paces();
            listedPaces.set_model(model);
            paces.write(listedPaces);
        }
    }
    return listed;
}

} // namespace Apricothead
