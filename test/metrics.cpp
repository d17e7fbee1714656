#define BOOST_TEST_MODULE metrics
#include "main.h"

#include <Apricothead/Coordination>

using namespace Apricothead;

namespace {

double valueOf(const Metrics &metrics, const std::string &name, const std::string &statistic)
{
    for (const MetricLine &line : metrics.read()) {
        if (line.name == name && line.statistic == statistic) {
            return line.value;
        }
    }
    return -1;
}

} // namespace

BOOST_AUTO_TEST_CASE(countersAndQuantiles)
{
    constexpr int Values = 1000;
    Metrics metrics;
    for (int value = 1; value <= Values; ++value) {
        metrics.count("requests", "org-1");
        metrics.observe("first_token_ms", "org-1", value);
    }
    BOOST_TEST(valueOf(metrics, "requests", "") == Values);
    BOOST_TEST(valueOf(metrics, "first_token_ms", "max") == Values);
    BOOST_TEST(valueOf(metrics, "first_token_ms", "p50") == 500, boost::test_tools::tolerance(0.05));
    BOOST_TEST(valueOf(metrics, "first_token_ms", "p95") == 950, boost::test_tools::tolerance(0.05));
    BOOST_TEST(formatMetrics(metrics.read()).find("apricothead_requests{label=\"org-1\"} 1000") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(aFewValuesHaveQuantilesToo)
{
    Metrics metrics;
    metrics.observe("first_token_ms", "org-1", 20);
    metrics.observe("first_token_ms", "org-1", 30);
    BOOST_TEST(valueOf(metrics, "first_token_ms", "p50") >= 20);
    BOOST_TEST(valueOf(metrics, "first_token_ms", "p95") >= 20);
    BOOST_TEST(valueOf(metrics, "first_token_ms", "p95") <= 30);
}
