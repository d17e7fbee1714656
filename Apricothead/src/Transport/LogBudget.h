#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Apricothead {

/** \class LogBudgetOptions
 * \ingroup Transport_Module
 * \brief Lines of one kind a second.
 */
struct LogBudgetOptions {
    /** Lines of one event below the level of a warning: above what an instance serves in ordinary load. */
    std::uint32_t ordinary = 100;
    /** Warnings and errors of one event: failures are kept longer than successes. */
    std::uint32_t failures = 300;
};

/** \class LogOmission
 * \ingroup Transport_Module
 * \brief Lines of one event that were left out since the last count.
 */
struct LogOmission {
    std::string event;
    std::uint64_t lines = 0;

    bool operator==(const LogOmission &) const = default;
};

/** \class LogBudget
 * \ingroup Transport_Module
 * \brief Bounds the volume of a log under load: a number of lines a second for each event, and a count of what was left out.
 */
class LogBudget
{
public:
    LogBudget() = default;
    explicit LogBudget(LogBudgetOptions options);

    /** \returns whether a line of \a event may be written in the second \a now */
    bool take(std::string_view event, bool isFailure, std::uint64_t now);

    /** A line was lost after all: nobody read the log. */
    void lost(std::string_view event);

    /** \returns what was left out in seconds before \a now, once */
    std::vector<LogOmission> omissions(std::uint64_t now);

private:
    struct Used {
        std::uint64_t second = 0;
        std::uint32_t lines = 0;
    };

    LogBudgetOptions options;
    std::map<std::pair<std::string, bool>, Used, std::less<>> used;
    std::map<std::string, std::uint64_t, std::less<>> omitted;
    std::uint64_t reportedSecond = 0;
};

} // namespace Apricothead
