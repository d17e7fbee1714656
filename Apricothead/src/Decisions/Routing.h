#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class EndpointView
 * \ingroup Decisions_Module
 * \brief The state of one endpoint as known to an entry when it makes a decision. Times are in milliseconds of the entry's own clock.
 */
struct EndpointView {
    std::string endpoint;
    std::string availabilityZone;
    std::string model;
    std::string version;
    std::uint64_t incarnation = 0;
    bool healthy = true;
    bool leaving = false;
    bool connected = true;
    /** The latest load report of the endpoint, and its age. */
    unsigned reportedRunning = 0;
    unsigned reportedQueued = 0;
    unsigned capacity = 1;
    double reportAgeMs = 0;
    /** Active runs of this entry at the endpoint, and those of them that it started after the report was made. */
    unsigned ownRunning = 0;
    unsigned ownSinceReport = 0;
    /** Active runs of this entry when the report arrived, which the report includes. */
    unsigned ownAtReport = 0;
    /** Moving averages of this entry's measurements; 0 when there are none. */
    double firstTokenMs = 0;
    double errorShare = 0;
    /** Estimated share of this request's prompt that the endpoint has cached, 0 to 1. */
    double prefixShare = 0;
    /** Slow start: 0 when the endpoint was just added or returned to service, rising to 1. */
    double warmupProgress = 1;
    bool ejected = false;
    /** Time, on the clock of RoutingRequest::nowMs, at which the report had the age reportAgeMs; 0 when the view was made for this decision. */
    double observedMs = 0;
    /** Runs of this entry that wait for their first token at the endpoint. Does not depend on reports, so it is always up to date. */
    unsigned ownAwaiting = 0;
    /** Start time of the one that has waited longest, on the clock of RoutingRequest::nowMs; 0 when none waits. */
    double oldestAwaitingSinceMs = 0;
    /** Moving average of the measured divided by the predicted time to first token: 1 for an endpoint that is as fast as assumed, larger for a
     * slower one. */
    double latencyFactor = 1;
    /** Moving average of the time that a run occupies its slot in the batch; 0 when none was measured. */
    double runMs = 0;

    bool operator==(const EndpointView &) const = default;
};

/** \class PrefixCandidate
 * \ingroup Decisions_Module
 * \brief An endpoint that probably has a prefix of a request's prompt cached.
 * \sa PrefixIndex
 */
struct PrefixCandidate {
    std::string endpoint;
    /** Share of the prompt, 0 to 1, discounted by the age of the entry. */
    double share = 0;

    bool operator==(const PrefixCandidate &) const = default;
};

/** \class RoutingRequest
 * \ingroup Decisions_Module
 * \brief The properties of a request that routing depends on.
 */
struct RoutingRequest {
    std::string model;
    std::string version;
    std::string availabilityZone;
    double promptTokens = 0;
    /** Endpoints that earlier attempts were sent to. */
    std::vector<std::string> avoid;
    /** Cached prefixes in addition to EndpointView::prefixShare, for views that are used for many requests. */
    std::vector<PrefixCandidate> prefixes;
    /** Hash of the session, or of the first message when there is no session; 0 for no home endpoint. All entries assign the same home endpoint to it
     * without communication, so that the next turn of the session finds the cache at whichever entry it arrives. Used by RoutingTable. */
    std::uint64_t homeKey = 0;
    /** Share of the prompt that an earlier turn of the session has left in the cache of its endpoint; 0 for a first turn. */
    double homeShare = 0;
    /** The clock of EndpointView::observedMs; 0 when the views were made for this decision. */
    double nowMs = 0;
    /** EndpointTracker::typicalPromptMs(); 0 when unknown. */
    double typicalPromptMs = 0;
    /** Number of entries that share the endpoints, including this one. */
    unsigned entries = 1;

    bool operator==(const RoutingRequest &) const = default;
};

/** \class RoutingDecision
 * \ingroup Decisions_Module
 * \brief The chosen endpoint, or none, with the reason and a summary of the best alternatives.
 */
struct RoutingDecision {
    /** Empty when no endpoint can take the request. */
    std::string endpoint;
    std::uint64_t incarnation = 0;
    /** Kebab-case code, such as \c least-predicted-wait or \c no-healthy-endpoint. */
    std::string reason;
    /** The score of the endpoint: the predicted time to first token, with penalties. */
    double predictedMs = 0;
    /** The prediction for an endpoint with a latency factor of 1, without penalties. EndpointTracker derives the latency factor from it. */
    double baselineMs = 0;
    /** The part of baselineMs that is due to the prompt. */
    double prefillMs = 0;
    /** Scores in ms of up to three alternatives, in the form \c ep-2=140,ep-5=180. */
    std::string alternatives;

    bool operator==(const RoutingDecision &) const = default;
};

/** Source of uniformly distributed numbers in [0, 1). */
using RandomSource = std::function<double()>;

/** \returns the predicted time to first token of \a request at \a view in ms, with penalties. Whether the endpoint can take requests is not considered. */
double predictFirstTokenMs(const EndpointView &view, const RoutingRequest &request, double prefixShare);

/** Chooses an endpoint for \a request among \a endpoints. \returns the decision; never an endpoint that is leaving, unhealthy, disconnected or serving
 * another version */
RoutingDecision chooseEndpoint(const std::vector<EndpointView> &endpoints, const RoutingRequest &request, const RandomSource &random);

/** Stands for the absence of a home endpoint. */
constexpr std::uint32_t NoSlot = 0xFFFFFFFF;

/** Chooses among the endpoints of \a slots whose indices are in \a members, all of which serve the request's version. \a preferred and \a home are
 * indices of endpoints that are always scored. \sa RoutingTable */
RoutingDecision chooseEndpoint(const std::vector<EndpointView> &slots,
                               const std::vector<std::uint32_t> &members,
                               const std::vector<std::uint32_t> &preferred,
                               std::uint32_t home,
                               const RoutingRequest &request,
                               const RandomSource &random);

} // namespace Apricothead
