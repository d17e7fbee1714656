#pragma once

#include "../../Protocol/Messages.h"
#include "OperatorBackend.h"

#include <string>
#include <vector>

namespace Apricothead {

/** A report fits the screen of a phone. */
constexpr std::size_t ReportLines = 24;
constexpr std::size_t ReportColumns = 60;

/** \class ReportView
 * \ingroup Coordination_Module
 * \brief What a report is made from.
 */
struct ReportView {
    Wire::ClusterStatus status;
    Wire::Configuration configuration;
    /** Sums of the present day. */
    std::vector<Wire::LedgerDay> ledger;
    std::vector<OrganisationFigures> figures;
    std::int64_t nowMs = 0;
    /** Empty, or why the replicas could not be asked. */
    std::string unreachable;
};

/** \returns at most ReportLines lines of at most ReportColumns columns: is it well, what needs a hand, what changed, roll-outs, halted versions, latency and
 * cost */
std::string renderReport(const ReportView &view);

} // namespace Apricothead
