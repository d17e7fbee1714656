#include "Report.h"

#include "../../State/ConfigurationLookup.h"

#include <algorithm>
#include <cstdio>
#include <map>

namespace Apricothead {
namespace {

using Lines = std::vector<std::string>;

constexpr std::uint64_t SilentMs = 5000;
constexpr double MicrosOfUnit = 1e6;
constexpr std::int64_t MsOfMinute = 60'000;
constexpr std::int64_t MinutesOfHour = 60;
constexpr std::int64_t HoursOfDay = 24;
/** Most lines of each section; the rest is counted. */
constexpr std::size_t MostHands = 5;
constexpr std::size_t MostRollouts = 2;
constexpr std::size_t MostWithdrawn = 3;
constexpr std::size_t MostOrganisations = 3;

/** Cuts \a text to \a columns, never within a UTF-8 character. */
std::string cut(std::string text, std::size_t columns)
{
    if (text.size() <= columns) {
        return text;
    }
    std::size_t end = columns - 1;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) {
        --end;
    }
    text.resize(end);
    return text + "~";
}

std::string age(std::int64_t ms)
{
    const std::int64_t minutes = std::max<std::int64_t>(ms, 0) / MsOfMinute;
    if (minutes < 2 * MinutesOfHour) {
        return std::to_string(minutes) + " min ago";
    }
    const std::int64_t hours = minutes / MinutesOfHour;
    return hours < 2 * HoursOfDay ? std::to_string(hours) + " h ago" : std::to_string(hours / HoursOfDay) + " d ago";
}

std::string money(std::uint64_t micros)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", static_cast<double>(micros) / MicrosOfUnit);
    return text;
}

/** Adds at most \a most of \a items under a heading, and says how many were left out. */
void addSection(Lines &lines, const std::string &heading, const Lines &items, std::size_t most)
{
    if (items.empty()) {
        return;
    }
    lines.push_back(heading);
    const std::size_t shown = items.size() <= most ? items.size() : most - 1;
    for (std::size_t i = 0; i < shown; ++i) {
        lines.push_back(cut("  " + items[i], ReportColumns));
    }
    if (shown < items.size()) {
        lines.push_back("  and " + std::to_string(items.size() - shown) + " more");
    }
}

void addReplicaHands(Lines &hands, const Wire::ClusterStatus &status)
{
    if (status.leader().empty()) {
        hands.emplace_back("no leader: nothing is admitted; start replicas");
    }
    for (const Wire::ReplicaStatus &replica : status.replicas()) {
        if (!replica.reachable()) {
            hands.push_back("replica " + cut(replica.replica(), 10) + " at " + replica.address() + " is silent");
        }
    }
    if (!status.redundant()) {
        hands.emplace_back("replicas are not redundant: add or replace one");
    }
}

void addProcessHands(Lines &hands, const Wire::ClusterStatus &status)
{
    for (const Wire::ProcessStatus &process : status.processes()) {
        if (process.silent_ms() > SilentMs && !process.leaving()) {
            hands.push_back(process.process() + " silent for " + std::to_string(process.silent_ms() / 1000) + " s");
        }
    }
    for (const Wire::EndpointStatus &endpoint : status.endpoints()) {
        if (!endpoint.healthy() && !endpoint.leaving()) {
            hands.push_back("endpoint " + endpoint.endpoint() + " is not healthy");
        }
    }
}

bool isServed(const Wire::ClusterStatus &status, const Wire::Model &model)
{
    for (const Wire::EndpointStatus &endpoint : status.endpoints()) {
        for (const Wire::ServedVersion &served : endpoint.served()) {
            if (endpoint.healthy() && !endpoint.leaving() && served.model() == model.id() && served.version() == model.stable_version()) {
                return true;
            }
        }
    }
    return false;
}

void addModelHands(Lines &hands, const ReportView &view)
{
    for (const Wire::Model &model : view.configuration.models()) {
        if (model.stable_version().empty()) {
            hands.push_back("model " + model.id() + " has no stable version");
        } else if (!isServed(view.status, model)) {
            hands.push_back("no healthy endpoint serves " + model.stable_version());
        }
    }
}

Lines handsNeeded(const ReportView &view)
{
    Lines hands;
    if (!view.unreachable.empty()) {
        hands.push_back("replicas don't answer: " + view.unreachable);
        return hands;
    }
    addReplicaHands(hands, view.status);
    addModelHands(hands, view);
    addProcessHands(hands, view.status);
    return hands;
}

std::string inForce(const Wire::ClusterStatus &status)
{
    const auto behind = std::count_if(status.processes().begin(), status.processes().end(), [&](const Wire::ProcessStatus &process) {
        return process.revision() < status.revision();
    });
    if (behind > 0) {
        return "not yet on " + std::to_string(behind) + " of " + std::to_string(status.processes_size()) + " processes";
    }
    return "in force everywhere after " + std::to_string(status.in_force_after_ms()) + " ms";
}

void addState(Lines &lines, const ReportView &view, bool isWell)
{
    lines.emplace_back(isWell ? "apricothead: WELL" : "apricothead: NEEDS A HAND");
    if (!view.unreachable.empty()) {
        return;
    }
    const Wire::ClusterStatus &status = view.status;
    const auto reachable = std::count_if(status.replicas().begin(), status.replicas().end(), [](const Wire::ReplicaStatus &replica) {
        return replica.reachable();
    });
    const auto healthy = std::count_if(status.endpoints().begin(), status.endpoints().end(), [](const Wire::EndpointStatus &endpoint) {
        return endpoint.healthy() && !endpoint.leaving();
    });
    lines.push_back("replicas " + std::to_string(reachable) + "/" + std::to_string(status.replicas_size()) + " up, endpoints " + std::to_string(healthy) + "/"
                    + std::to_string(status.endpoints_size()) + " healthy");
    lines.push_back(
        cut("revision " + std::to_string(view.configuration.revision()) + ", " + age(view.nowMs - view.configuration.changed_at_ms()), ReportColumns));
    if (!view.configuration.last_change().empty()) {
        lines.push_back(cut("  " + view.configuration.last_change(), ReportColumns));
    }
    lines.push_back(cut("  " + inForce(status), ReportColumns));
}

std::string stateName(Wire::RolloutState state)
{
    switch (state) {
    case Wire::ROLLOUT_STATE_RUNNING:
        return "running";
    case Wire::ROLLOUT_STATE_PAUSED:
        return "paused";
    case Wire::ROLLOUT_STATE_HALTED:
        return "halted";
    case Wire::ROLLOUT_STATE_DONE:
        return "done";
    default:
        return "unknown";
    }
}

/** Two lines for each roll-out: how far it is, and its evidence. The newest come first. */
void addRollouts(Lines &lines, const Wire::Configuration &configuration)
{
    std::vector<Wire::Rollout> rollouts(configuration.rollouts().begin(), configuration.rollouts().end());
    std::sort(rollouts.begin(), rollouts.end(), [](const Wire::Rollout &left, const Wire::Rollout &right) {
        return std::make_pair(isOpen(left), left.changed_revision()) > std::make_pair(isOpen(right), right.changed_revision());
    });
    if (rollouts.empty()) {
        return;
    }
    lines.push_back("roll-outs: " + std::to_string(rollouts.size()));
    for (std::size_t i = 0; i < std::min(rollouts.size(), MostRollouts); ++i) {
        const Wire::Rollout &rollout = rollouts[i];
        const std::string share = std::to_string(rollout.share_permille() / 10) + "." + std::to_string(rollout.share_permille() % 10);
        lines.push_back(cut("  " + rollout.to_version() + " " + stateName(rollout.state()) + " at " + share + "% of " + rollout.model(), ReportColumns));
        lines.push_back(cut("    " + (rollout.evidence().empty() ? "no evidence yet" : rollout.evidence()), ReportColumns));
    }
}

Lines withdrawnVersions(const Wire::Configuration &configuration)
{
    Lines items;
    for (const Wire::Version &version : configuration.versions()) {
        if (version.state() != Wire::VERSION_STATE_WITHDRAWN) {
            continue;
        }
        items.insert(items.begin(), version.id() + ": " + (version.withdrawal_reason().empty() ? "no reason given" : version.withdrawal_reason()));
    }
    return items;
}

/** One line for each organisation, the worst latency first, then the highest cost. */
Lines organisationLines(const ReportView &view)
{
    std::map<std::string, std::uint64_t> costs;
    std::map<std::string, double> latencies;
    for (const Wire::LedgerDay &day : view.ledger) {
        costs[day.organisation()] += day.cost_micros();
        latencies[day.organisation()] += 0;
    }
    for (const OrganisationFigures &figures : view.figures) {
        latencies[figures.organisation] = figures.firstTokenP95Ms;
    }
    std::vector<std::pair<std::string, double>> sorted(latencies.begin(), latencies.end());
    std::sort(sorted.begin(), sorted.end(), [&](const auto &left, const auto &right) {
        return std::make_pair(left.second, costs[left.first]) > std::make_pair(right.second, costs[right.first]);
    });
    Lines items;
    for (const auto &[organisation, latency] : sorted) {
        const std::string known = latency > 0 ? std::to_string(static_cast<long>(latency)) + " ms p95" : "latency unknown";
        items.push_back(cut(organisation, 28) + ": " + known + ", " + money(costs[organisation]));
    }
    return items;
}

} // namespace

std::string renderReport(const ReportView &view)
{
    const Lines hands = handsNeeded(view);
    Lines lines;
    addState(lines, view, hands.empty());
    addSection(lines, "needs a hand:", hands, MostHands);
    addRollouts(lines, view.configuration);
    addSection(lines, "withdrawn versions:", withdrawnVersions(view.configuration), MostWithdrawn);
    addSection(lines, "first token and cost today, worst first:", organisationLines(view), MostOrganisations);
    std::string text;
    for (const std::string &line : lines) {
        text += line + "\n";
    }
    return text;
}

} // namespace Apricothead
