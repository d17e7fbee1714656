#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace Apricothead {

/** \class RetryWindowOptions
 * \ingroup Decisions_Module
 * \brief The bound on repeated arrivals at a service that all gateways share.
 */
struct RetryWindowOptions {
    /** Repeated arrivals allowed for each request. */
    double ratio = 0.9;
    std::uint64_t windowMs = 10000;
    /** Repeated arrivals allowed beside, for all gateways together. */
    double slack = 56;
    /** Part of both that is used: the rest covers windows that are cut differently elsewhere. */
    double usedFraction = 0.7;
};

/** \class RetryWindow
 * \ingroup Decisions_Module
 * \brief One gateway's part of the bound on repeated arrivals, for each service, over a sliding window.
 *
 * The ratio binds each gateway by its own requests, so the sum over gateways keeps it without a message; only the slack is split.
 */
class RetryWindow
{
public:
    RetryWindow() = default;
    explicit RetryWindow(RetryWindowOptions options);

    /** \a gateways: how many share the slack, this one included. */
    void setGateways(std::uint32_t gateways);

    void recordRequest(const std::string &service, std::uint64_t nowMs);

    /** \returns whether one more arrival is allowed; an allowed one is counted */
    bool tryAcquire(const std::string &service, std::uint64_t nowMs);

    /** \returns what is left in the window */
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
