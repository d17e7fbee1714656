#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Apricothead {

/** \returns the UTC date of \a timeMs (ms since the Unix epoch) as YYYY-MM-DD */
std::string utcDay(std::int64_t timeMs);

/** \returns \a usage with each count limited to 10^9, so that costs fit into 64 bits */
Wire::Usage boundedUsage(const Wire::Usage &usage);

/** \returns the maximum of \a left and \a right, count by count */
Wire::Usage largerUsage(const Wire::Usage &left, const Wire::Usage &right);

/**
 * \returns the cost in millionths of the currency, rounded to the nearest. A failed run costs nothing; a truncated, cancelled or lost run is billed
 * by its usage
 */
std::uint64_t costMicros(const Wire::Version &version, const Wire::Usage &usage, Wire::Outcome outcome);

/** \class Ledger
 * \ingroup State_Module
 * \brief Billing totals by organisation, day and version.
 */
class Ledger
{
public:
    /** Adds the usage and cost of one settled record. */
    void add(const Wire::RequestRecord &settled);

    /** \returns the totals of \a organisation on \a day; an empty argument matches all */
    std::vector<Wire::LedgerDay> days(std::string_view organisation, std::string_view day) const;

    void save(Wire::StateSnapshot &snapshot) const;
    void restore(const Wire::StateSnapshot &snapshot);

private:
    using LedgerKey = std::tuple<std::string, std::string, std::string>;
    std::map<LedgerKey, Wire::LedgerDay> totals;
};

} // namespace Apricothead
