#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Apricothead::Bench {

/** \class RequestKind
 * \brief Requests of one route, as the users state them.
 */
struct RequestKind {
    std::string name;
    double perSecond = 10;
    double sharedTokens = 6000;
    double ownTokens = 2000;
    double outputTokens = 60;
    double aimMs = 3000;
    double deadlineMs = 10000;
    double worth = 1;
    double lateWorth = 0.3;
    unsigned priority = 1;
    /** Shared parts that requests draw from. */
    unsigned subjects = 125;
};

/** \class LoadPattern
 * \brief What happens between two moments of a replay, by name.
 */
struct LoadPattern {
    std::string name;
    double fromMs = 8000;
    double untilMs = 20000;
    double burst = 1;
    /** Share of the requests of one kind that asks for one subject. */
    double hotKeyShare = 0;
    /** One tenant of ten sends this many times its usual. */
    double hotTenant = 1;
    /** Share of callers that ask again at once when they are not served within their aim. */
    double impatientShare = 0;
    /** Share of callers that leave within a second. */
    double leavingShare = 0;
    /** Share of the first zone's callers that come to the second zone. */
    double shiftedShare = 0;
    double lostShare = 0;
    /** Lost engines start anew, and are slower by this for so long. */
    double coldSlowness = 1;
    double coldMs = 0;
    double slowness = 1;
    /** Prompts shrink and answers grow by this. */
    double longerAnswers = 1;
};

/** \class Arrival
 * \brief One request of a replay.
 */
struct Arrival {
    double atMs = 0;
    std::size_t kind = 0;
    std::uint64_t subject = 0;
    double sharedTokens = 0;
    double ownTokens = 0;
    double outputTokens = 0;
    std::size_t zone = 0;
    /** The smallest model can answer it. */
    bool isEasy = true;
    bool isImpatient = false;
    /** 0 when the caller stays. */
    double leavesAfterMs = 0;
};

/** \returns the kinds of requests of Vrtuľa's fleet */
std::vector<RequestKind> vrtulaKinds();

/** \returns the named loads that placing has to stand */
std::vector<LoadPattern> loadPatterns();

/** \returns the requests of \a lengthMs, in order; the same for the same \a seed */
std::vector<Arrival> drawArrivals(const std::vector<RequestKind> &kinds, const LoadPattern &pattern, double lengthMs, std::size_t zones, std::uint64_t seed);

} // namespace Apricothead::Bench
