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
    /** Fraction of the limit that streams with a lost endpoint may use. The difference is reserved for them. */
    double lostFraction = 0.85;
};

/** What a repeated arrival is for. */
enum class RepeatCause {
    /** A failed attempt, or the answer of a small model that was dropped. */
    Ordinary,
    /** An answer that was lost with its endpoint or connection; the caller may have a part of it already. */
    LostAnswer,
};

/** \class RetryWindow
 * \ingroup Decisions_Module
 * \brief One gateway's share of the limit on repeated arrivals, per service, over a sliding window.
 *
 * Designed for this load pattern: on routes with several models, dropped answers of the smallest model use most of the limit at all times, and the
 * loss of many endpoints or connections needs many repeats at one moment. Escalations improve an answer; a lost answer earns nothing.
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
    bool tryAcquire(const std::string &service, std::uint64_t nowMs, RepeatCause cause = RepeatCause::Ordinary);

    /** \returns the repeated arrivals that are still allowed in the current window */
    double remaining(const std::string &service, std::uint64_t nowMs, RepeatCause cause = RepeatCause::Ordinary);

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
