#include "LoadTotals.h"

#include <algorithm>
#include <unordered_map>

namespace Apricothead {
namespace {

/** Rounds that are remembered: about two seconds without a confirmation. */
constexpr std::size_t MaxRounds = 32;

std::uint32_t difference(std::uint32_t total, std::uint32_t own)
{
    return total - std::min(total, own);
}

} // namespace

void LoadTotals::add(const std::vector<Wire::EndpointLoad> &loads)
{
    for (const Wire::EndpointLoad &load : loads) {
        Wire::EndpointLoad &sum = this->sums[load.endpoint()];
        sum.set_awaiting_ms(sum.awaiting_ms() + load.awaiting_ms());
        sum.set_running(sum.running() + load.running());
    }
}

void LoadTotals::appendTo(EndpointLoads &loads) const
{
    for (const auto &[endpoint, sum] : this->sums) {
        Wire::EndpointLoad *load = loads.Add();
        *load = sum;
        load->set_endpoint(endpoint);
    }
}

void OwnReports::record(std::uint64_t round, const EndpointLoads &loads, const SessionHashes &sessions)
{
    Report &report = this->reports[round];
    for (const Wire::EndpointLoad &load : loads) {
        report.loads[load.endpoint()] = {.awaitingMs = load.awaiting_ms(), .running = load.running()};
    }
    report.sessions.assign(sessions.begin(), sessions.end());
    while (this->reports.size() > MaxRounds) {
        this->reports.erase(this->reports.begin());
    }
}

void OwnReports::forgetBefore(std::uint64_t round)
{
    this->reports.erase(this->reports.begin(), this->reports.lower_bound(round));
}

std::vector<Wire::EndpointLoad> OwnReports::otherLoads(std::uint64_t round, const EndpointLoads &totals) const
{
    std::vector<Wire::EndpointLoad> others(totals.begin(), totals.end());
    const auto report = this->reports.find(round);
    if (report == this->reports.end()) {
        return others;
    }
    for (Wire::EndpointLoad &load : others) {
        const auto own = report->second.loads.find(load.endpoint());
        if (own == report->second.loads.end()) {
            continue;
        }
        load.set_awaiting_ms(difference(load.awaiting_ms(), own->second.awaitingMs));
        load.set_running(difference(load.running(), own->second.running));
    }
    return others;
}

std::vector<std::uint64_t> OwnReports::otherSessions(std::uint64_t round, const SessionHashes &sessions) const
{
    std::vector<std::uint64_t> others(sessions.begin(), sessions.end());
    const auto report = this->reports.find(round);
    if (report == this->reports.end()) {
        return others;
    }
    std::unordered_map<std::uint64_t, std::size_t> ownCounts;
    for (const std::uint64_t own : report->second.sessions) {
        ++ownCounts[own];
    }
    std::erase_if(others, [&ownCounts](std::uint64_t session) {
        const auto own = ownCounts.find(session);
        if (own == ownCounts.end() || own->second == 0) {
            return false;
        }
        --own->second;
        return true;
    });
    return others;
}

} // namespace Apricothead
