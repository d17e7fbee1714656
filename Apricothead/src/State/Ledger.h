#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace Apricothead {

/** \returns the UTC day of \a timeMs (ms since 1970) as YYYY-MM-DD */
std::string utcDay(std::int64_t timeMs);

/** \returns \a usage with each count at most a billion, so that sums of money stay within 64 bits */
Wire::Usage boundedUsage(const Wire::Usage &usage);

/** \returns the larger of each count */
Wire::Usage largerUsage(const Wire::Usage &left, const Wire::Usage &right);

/** \returns the cost in millionths, rounded to the nearest. A run that failed costs nothing; one that was cut, cancelled or lost costs what it used */
std::uint64_t costMicros(const Wire::Version &version, const Wire::Usage &usage, Wire::Outcome outcome);

/** \class Ledger
 * \ingroup State_Module
 * \brief Sums of bills by organisation, day and version.
 */
class Ledger
{
public:
    /** Adds the bill of one settled record. */
    void add(const Wire::RequestRecord &settled);

    /** \returns the sums of \a organisation on \a day; an empty argument takes all */
    std::vector<Wire::LedgerDay> days(std::string_view organisation, std::string_view day) const;

    void save(Wire::StateSnapshot &snapshot) const;
    void restore(const Wire::StateSnapshot &snapshot);

private:
    using LedgerKey = std::tuple<std::string, std::string, std::string>;
    std::map<LedgerKey, Wire::LedgerDay> totals;
};

} // namespace Apricothead
