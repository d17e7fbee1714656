#include "Report.h"

#include "../../State/ConfigurationLookup.h"

#include <algorithm>
#include <cstdio>
#include <map>

namespace Apricothead {
namespace {

using Lines = std::vector<std::string>;

constexpr std::uint64_t SilenceThresholdMs = 5000;
constexpr double MicrosPerUnit = 1e6;
constexpr std::int64_t MsPerMinute = 60'000;
constexpr std::int64_t MinutesPerHour = 60;
constexpr std::int64_t HoursPerDay = 24;
/** Maximum number of lines of each section; further items are only counted. */
constexpr std::size_t MaxIssues = 5;
constexpr std::size_t MaxRollouts = 2;
constexpr std::size_t MaxWithdrawnVersions = 3;
constexpr std::size_t MaxOrganisations = 3;

/** \returns \a text truncated to \a columns bytes, never within a UTF-8 character */
std::string truncate(std::string text, std::size_t columns)
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

std::string formatAge(std::int64_t ms)
{
    const std::int64_t minutes = std::max<std::int64_t>(ms, 0) / MsPerMinute;
    if (minutes < 2 * MinutesPerHour) {
        return std::to_string(minutes) + " min ago";
    }
    const std::int64_t hours = minutes / MinutesPerHour;
    return hours < 2 * HoursPerDay ? std::to_string(hours) + " h ago" : std::to_string(hours / HoursPerDay) + " d ago";
}

std::string formatCost(std::uint64_t micros)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f", static_cast<double>(micros) / MicrosPerUnit);
    return text;
}

/** Adds a section of at most \a maxLines lines with \a items, the last line giving the number of omitted items if there are more. */
void addSection(Lines &lines, const std::string &heading, const Lines &items, std::size_t maxLines)
{
    if (items.empty()) {
        return;
    }
    lines.push_back(heading);
    const std::size_t shown = items.size() <= maxLines ? items.size() : maxLines - 1;
    for (std::size_t i = 0; i < shown; ++i) {
        lines.push_back(truncate("  " + items[i], MaxReportColumns));
    }
    if (shown < items.size()) {
        lines.push_back("  and " + std::to_string(items.size() - shown) + " more");
    }
}

void addReplicaIssues(Lines &issues, const Wire::ClusterStatus &status)
{
    if (status.leader().empty()) {
        issues.emplace_back("no leader: nothing is admitted; start replicas");
    }
    for (const Wire::ReplicaStatus &replica : status.replicas()) {
        if (!replica.reachable()) {
            issues.push_back("replica " + truncate(replica.replica(), 10) + " at " + replica.address() + " is silent");
        }
    }
    if (!status.redundant()) {
        issues.emplace_back("replicas are not redundant: add or replace one");
    }
}

void addProcessIssues(Lines &issues, const Wire::ClusterStatus &status)
{
    for (const Wire::ProcessStatus &process : status.processes()) {
        if (process.silent_ms() > SilenceThresholdMs && !process.leaving()) {
            issues.push_back(process.process() + " silent for " + std::to_string(process.silent_ms() / 1000) + " s");
        }
    }
    for (const Wire::EndpointStatus &endpoint : status.endpoints()) {
        if (!endpoint.healthy() && !endpoint.leaving()) {
            issues.push_back("endpoint " + endpoint.endpoint() + " is not healthy");
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

void addModelIssues(Lines &issues, const ReportInput &input)
{
    for (const Wire::Model &model : input.configuration.models()) {
        if (model.stable_version().empty()) {
            issues.push_back("model " + model.id() + " has no stable version");
        } else if (!isServed(input.status, model)) {
            issues.push_back("no healthy endpoint serves " + model.stable_version());
        }
    }
}

Lines collectIssues(const ReportInput &input)
{
    Lines issues;
    if (!input.unreachable.empty()) {
        issues.push_back("replicas do not answer: " + input.unreachable);
        return issues;
    }
    addReplicaIssues(issues, input.status);
    addModelIssues(issues, input);
    addProcessIssues(issues, input.status);
    return issues;
}

std::string propagationStatus(const Wire::ClusterStatus &status)
{
    const auto outdated = std::count_if(status.processes().begin(), status.processes().end(), [&](const Wire::ProcessStatus &process) {
        return process.revision() < status.revision();
    });
    if (outdated > 0) {
        return "not yet on " + std::to_string(outdated) + " of " + std::to_string(status.processes_size()) + " processes";
    }
    return "in force everywhere after " + std::to_string(status.in_force_after_ms()) + " ms";
}

void addState(Lines &lines, const ReportInput &input, bool isHealthy)
{
    lines.emplace_back(isHealthy ? "apricothead: OK" : "apricothead: NEEDS ATTENTION");
    if (!input.unreachable.empty()) {
        return;
    }
    const Wire::ClusterStatus &status = input.status;
    const auto reachable = std::count_if(status.replicas().begin(), status.replicas().end(), [](const Wire::ReplicaStatus &replica) {
        return replica.reachable();
    });
    const auto healthy = std::count_if(status.endpoints().begin(), status.endpoints().end(), [](const Wire::EndpointStatus &endpoint) {
        return endpoint.healthy() && !endpoint.leaving();
    });
    lines.push_back("replicas " + std::to_string(reachable) + "/" + std::to_string(status.replicas_size()) + " up, endpoints " + std::to_string(healthy) + "/"
                    + std::to_string(status.endpoints_size()) + " healthy");
    lines.push_back(truncate("revision " + std::to_string(input.configuration.revision()) + ", " + formatAge(input.nowMs - input.configuration.changed_at_ms()),
                             MaxReportColumns));
    if (!input.configuration.last_change().empty()) {
        lines.push_back(truncate("  " + input.configuration.last_change(), MaxReportColumns));
    }
    lines.push_back(truncate("  " + propagationStatus(status), MaxReportColumns));
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

/** Adds two lines for each roll-out: its progress and its evidence. Open ones come first, then the most recent. */
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
    for (std::size_t i = 0; i < std::min(rollouts.size(), MaxRollouts); ++i) {
        const Wire::Rollout &rollout = rollouts[i];
        const std::string share = std::to_string(rollout.share_permille() / 10) + "." + std::to_string(rollout.share_permille() % 10);
        lines.push_back(
            truncate("  " + rollout.to_version() + " " + stateName(rollout.state()) + " at " + share + "% of " + rollout.model(), MaxReportColumns));
        lines.push_back(truncate("    " + (rollout.evidence().empty() ? "no evidence yet" : rollout.evidence()), MaxReportColumns));
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

/** \returns one line per organisation, ordered by latency, then by cost, highest first */
Lines organisationLines(const ReportInput &input)
{
    std::map<std::string, std::uint64_t> costs;
    std::map<std::string, double> latencies;
    for (const Wire::LedgerDay &day : input.ledger) {
        costs[day.organisation()] += day.cost_micros();
        latencies[day.organisation()] += 0;
    }
    for (const OrganisationMetrics &metrics : input.organisationMetrics) {
        latencies[metrics.organisation] = metrics.firstTokenP95Ms;
    }
    std::vector<std::pair<std::string, double>> sorted(latencies.begin(), latencies.end());
    std::sort(sorted.begin(), sorted.end(), [&](const auto &left, const auto &right) {
        return std::make_pair(left.second, costs[left.first]) > std::make_pair(right.second, costs[right.first]);
    });
    Lines items;
    for (const auto &[organisation, latency] : sorted) {
        const std::string latencyText = latency > 0 ? std::to_string(static_cast<long>(latency)) + " ms p95" : "latency unknown";
        items.push_back(truncate(organisation, 28) + ": " + latencyText + ", " + formatCost(costs[organisation]));
    }
    return items;
}

} // namespace

std::string renderReport(const ReportInput &input)
{
    const Lines issues = collectIssues(input);
    Lines lines;
    addState(lines, input, issues.empty());
    addSection(lines, "needs attention:", issues, MaxIssues);
    addRollouts(lines, input.configuration);
    addSection(lines, "withdrawn versions:", withdrawnVersions(input.configuration), MaxWithdrawnVersions);
    addSection(lines, "first token and cost today, worst first:", organisationLines(input), MaxOrganisations);
    std::string text;
    for (const std::string &line : lines) {
        text += line + "\n";
    }
    return text;
}

} // namespace Apricothead
