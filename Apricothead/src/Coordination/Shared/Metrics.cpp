#include "Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>

#include <array>
#include <map>
#include <sstream>
#include <utility>

namespace Apricothead {
namespace {

namespace Statistics = boost::accumulators;

constexpr std::array<double, 3> Quantiles{0.5, 0.95, 0.99};
/** The P-square method needs 2 n + 3 markers for n quantiles; with fewer values the maximum is reported. */
constexpr std::size_t MinQuantileSamples = 2 * Quantiles.size() + 3;
constexpr std::array<const char *, 3> QuantileNames{"p50", "p95", "p99"};

using Distribution = Statistics::accumulator_set<
    double,
    Statistics::stats<Statistics::tag::count, Statistics::tag::mean, Statistics::tag::max, Statistics::tag::extended_p_square_quantile>>;

using MetricKey = std::pair<std::string, std::string>;

void appendDistribution(const MetricKey &key, const Distribution &distribution, std::vector<MetricLine> &lines)
{
    const auto add = [&](const char *statistic, double value) {
        lines.push_back({.name = key.first, .label = key.second, .statistic = statistic, .value = value});
    };
    add("count", static_cast<double>(Statistics::count(distribution)));
    add("mean", Statistics::mean(distribution));
    add("max", Statistics::max(distribution));
    const bool hasEnoughSamples = Statistics::count(distribution) >= MinQuantileSamples;
    for (std::size_t index = 0; index < Quantiles.size(); ++index) {
        const double estimate = Statistics::quantile(distribution, Statistics::quantile_probability = Quantiles[index]);
        add(QuantileNames[index], hasEnoughSamples ? estimate : Statistics::max(distribution));
    }
}

} // namespace

struct Metrics::Private {
    std::map<MetricKey, std::uint64_t> counters;
    std::map<MetricKey, Distribution> distributions;
};

Metrics::Metrics() : d(std::make_unique<Private>())
{ }

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::string_view label, std::uint64_t amount)
{
    this->d->counters[{std::string(name), std::string(label)}] += amount;
}

void Metrics::observe(std::string_view name, std::string_view label, double value)
{
    const MetricKey key{std::string(name), std::string(label)};
    auto position = this->d->distributions.find(key);
    if (position == this->d->distributions.end()) {
        const Distribution empty(Statistics::extended_p_square_probabilities = Quantiles);
        position = this->d->distributions.emplace(key, empty).first;
    }
    position->second(value);
}

std::vector<MetricLine> Metrics::read() const
{
    std::vector<MetricLine> lines;
    for (const auto &[key, value] : this->d->counters) {
        lines.push_back({.name = key.first, .label = key.second, .statistic = {}, .value = static_cast<double>(value)});
    }
    for (const auto &[key, distribution] : this->d->distributions) {
        appendDistribution(key, distribution, lines);
    }
    return lines;
}

std::string formatMetrics(const std::vector<MetricLine> &lines)
{
    std::ostringstream text;
    for (const MetricLine &line : lines) {
        text << "apricothead_" << line.name << "{label=\"" << line.label << "\"";
        if (!line.statistic.empty()) {
            text << ",statistic=\"" << line.statistic << "\"";
        }
        text << "} " << line.value << '\n';
    }
    return text.str();
}

} // namespace Apricothead
