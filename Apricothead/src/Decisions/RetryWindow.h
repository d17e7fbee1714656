#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Apricothead {

/** \class RetryWindowOptions
 * \ingroup Decisions_Module
 * \brief The limit on repeated arrivals (retried requests) at a service, which all gateways share.
 */
struct RetryWindowOptions {
    /** Repeated arrivals allowed per request. */
    double ratio = 0.9;
    std::uint64_t windowMs = 10000;
    /** Repeated arrivals allowed in addition, for all gateways together. */
    double slack = 56;
    /** Fraction of the limit that is used. The rest is a margin for a limit that is checked over differently aligned windows. */
    double usedFraction = 0.7;
};

/** \class RetryWindow
 * \ingroup Decisions_Module
 * \brief One gateway's share of the limit on repeated arrivals, per service, over a sliding window.
 *
 * Each gateway applies the ratio to its own requests, so the sum over all gateways also keeps it, without any message between
 * them. Only the slack is split.
 */
class RetryWindow
{
public:
    RetryWindow() = default;
    explicit RetryWindow(RetryWindowOptions options);

    /** Sets the number of gateways that share the slack, including this one. */
    void setGateways(std::uint32_t gateways);

    void recordRequest(const std::string &service, std::uint64_t nowMs);

    /** \returns whether one more repeated arrival is allowed; if so, it is counted */
    bool tryAcquire(const std::string &service, std::uint64_t nowMs);

    /** \returns the repeated arrivals that are still allowed in the current window */
    double remaining(const std::string &service, std::uint64_t nowMs);

private:
    struct Counts {
        std::deque<std::uint64_t> requests;
        std::deque<std::uint64_t> repeats;
    };
    Counts &pruned(const std::string &service, std::uint64_t nowMs);

    RetryWindowOptions options;
    std::uint32_t gateways = 8;
    std::map<std::string, Counts> counts;
};

} // namespace Apricothead
