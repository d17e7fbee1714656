#pragma once

#include "../../Protocol/Messages.h"
#include "OperatorBackend.h"

#include <string>
#include <vector>

namespace Apricothead {

/** A report fits the screen of a phone. */
constexpr std::size_t MaxReportLines = 24;
constexpr std::size_t MaxReportColumns = 60;

/** \class ReportInput
 * \ingroup Coordination_Module
 * \brief What a report is made from.
 */
struct ReportInput {
    Wire::ClusterStatus status;
    Wire::Configuration configuration;
    /** Sums of the present day. */
    std::vector<Wire::LedgerDay> ledger;
    std::vector<OrganisationMetrics> organisationMetrics;
    std::int64_t nowMs = 0;
    /** Empty, or why the replicas could not be asked. */
    std::string unreachable;
};

/** \returns at most MaxReportLines lines of at most MaxReportColumns columns: is it well, what needs a hand, what changed, roll-outs, halted versions, latency
 * and cost */
std::string renderReport(const ReportInput &input);

} // namespace Apricothead
