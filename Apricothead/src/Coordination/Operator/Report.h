#pragma once

#include "../../Protocol/Messages.h"
#include "OperatorBackend.h"

#include <string>
#include <vector>

namespace Apricothead {

/** The report fits the screen of a phone. */
constexpr std::size_t MaxReportLines = 24;
constexpr std::size_t MaxReportColumns = 60;

/** \class ReportInput
 * \ingroup Coordination_Module
 * \brief Data that a report is rendered from.
 */
struct ReportInput {
    Wire::ClusterStatus status;
    Wire::Configuration configuration;
    /** Sums of the current day. */
    std::vector<Wire::LedgerDay> ledger;
    std::vector<OrganisationMetrics> organisationMetrics;
    std::int64_t nowMs = 0;
    /** Error of the query when the replicas are unreachable, else empty. */
    std::string unreachable;
};

/** \returns the report, with at most MaxReportLines lines of at most MaxReportColumns columns: overall state, issues that need attention, last
 * change, roll-outs, withdrawn versions, latency and cost */
std::string renderReport(const ReportInput &input);

} // namespace Apricothead
