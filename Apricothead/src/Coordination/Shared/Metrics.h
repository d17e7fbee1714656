#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothead {

/** \class MetricLine
 * \ingroup Coordination_Module
 * \brief One value of a counter or of a distribution's statistic.
 */
struct MetricLine {
    std::string name;
    /** For example an organisation or a version; may be empty. */
    std::string label;
    /** For example \c p95; empty for a counter. */
    std::string statistic;
    double value = 0;

    auto operator<=>(const MetricLine &) const = default;
};

/** \class Metrics
 * \ingroup Coordination_Module
 * \brief Counters and distributions of one task, based on Boost.Accumulators. Not thread-safe; used on the task's thread only.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    void count(std::string_view name, std::string_view label = {}, std::uint64_t amount = 1);
    /** Adds \a value to the distribution. Names end in their unit, as in \c first_token_ms. */
    void observe(std::string_view name, std::string_view label, double value);

    /** \returns all values, sorted by name and label; distributions as count, mean, p50, p95, p99 and max */
    std::vector<MetricLine> read() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/** \returns the values in the text exposition format, one per line */
std::string formatMetrics(const std::vector<MetricLine> &lines);

} // namespace Apricothead
