#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class EndpointView
 * \ingroup Decisions_Module
 * \brief What an entry knows of one endpoint when it decides. Times are in milliseconds of the entry's own clock.
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
    /** The endpoint's own report, and how old it is. */
    unsigned reportedRunning = 0;
    unsigned reportedQueued = 0;
    unsigned capacity = 1;
    double reportAgeMs = 0;
    /** Runs this entry has under way there, and those it started after the report was made. */
    unsigned ownRunning = 0;
    unsigned ownSinceReport = 0;
    /** Runs of this entry that the report counts too. */
    unsigned ownAtReport = 0;
    /** Moving averages of what this entry measured there; 0 when nothing was. */
    double firstTokenMs = 0;
    double errorShare = 0;
    /** Share of this request's prefix thought to be in the endpoint's cache, 0 to 1. */
    double prefixShare = 0;
    /** 0 right after the endpoint appeared or came back, rising to 1. */
    double warmupProgress = 1;
    bool ejected = false;
    /** Reading of RoutingRequest::nowMs for which reportAgeMs holds; 0 when the view was made for this decision. */
    double observedMs = 0;
    /** Runs of this entry that wait for their first token there. Needs no report, so it is never late. */
    unsigned ownAwaiting = 0;
    /** Reading of RoutingRequest::nowMs at which the longest waiting of them started; 0 when none waits. */
    double oldestAwaitingSinceMs = 0;
    /** Measured over predicted time to first token, a moving average: 1 for an endpoint as quick as assumed. */
    double latencyFactor = 1;
    /** Moving average of the time a run holds its slot in the batch; 0 when none was measured. */
    double runMs = 0;

    bool operator==(const EndpointView &) const = default;
};

/** \class PrefixCandidate
 * \ingroup Decisions_Module
 * \brief An endpoint thought to hold a part of a request's prefix in its cache.
 * \sa PrefixIndex
 */
struct PrefixCandidate {
    std::string endpoint;
    /** Share of the prompt, 0 to 1, already discounted by the age of the hint. */
    double share = 0;

    bool operator==(const PrefixCandidate &) const = default;
};

/** \class RoutingRequest
 * \ingroup Decisions_Module
 * \brief What routing needs to know of a request.
 */
struct RoutingRequest {
    std::string model;
    std::string version;
    std::string availabilityZone;
    double promptTokens = 0;
    /** Endpoints that an earlier attempt has tried. */
    std::vector<std::string> avoid;
    /** Hints beside EndpointView::prefixShare, for views that serve many requests. */
    std::vector<PrefixCandidate> prefixes;
    /** Hash of the session, or of the first message where there is none; 0 for no home. All entries then agree on a home endpoint for
     * it without a message, so that its next turn finds the cache whichever entry it comes to. Used by RoutingTable. */
    std::uint64_t homeKey = 0;
    /** Share of the prompt that an earlier turn of the session has left in a cache; 0 for a first turn. */
    double homeShare = 0;
    /** The clock of EndpointView::observedMs; 0 when the views were made for this decision. */
    double nowMs = 0;
    /** EndpointTracker::typicalPromptMs(); 0 when unknown. */
    double typicalPromptMs = 0;
    /** Entries that share the endpoints, this one included. */
    unsigned entries = 1;

    bool operator==(const RoutingRequest &) const = default;
};

/** \class RoutingDecision
 * \ingroup Decisions_Module
 * \brief The chosen endpoint, or none, with the reason and the best alternatives in short.
 */
struct RoutingDecision {
    /** Empty when no endpoint may take the request. */
    std::string endpoint;
    std::uint64_t incarnation = 0;
    /** Kebab-case code, as \c least-predicted-wait or \c no-healthy-endpoint. */
    std::string reason;
    double predictedMs = 0;
    /** The prediction for an endpoint of ordinary pace without penalties; EndpointTracker learns the pace from it. */
    double baselineMs = 0;
    /** The part of it that the prompt takes. */
    double prefillMs = 0;
    /** Scores of up to three alternatives, as \c ep-2=140,ep-5=180. */
    std::string alternatives;

    bool operator==(const RoutingDecision &) const = default;
};

/** Source of uniformly distributed numbers in [0, 1). */
using RandomSource = std::function<double()>;

/** \returns the predicted time to first token of \a request at \a view in ms, without regard to what forbids the endpoint */
double predictFirstTokenMs(const EndpointView &view, const RoutingRequest &request, double prefixShare);

/** Chooses an endpoint for \a request among \a endpoints. \returns the decision; never an endpoint that is leaving, unhealthy or of another version */
RoutingDecision chooseEndpoint(const std::vector<EndpointView> &endpoints, const RoutingRequest &request, const RandomSource &random);

/** No home endpoint. */
constexpr std::uint32_t NoSlot = 0xFFFFFFFF;

/** As above, among the endpoints of \a slots that \a members name, all of which serve the request's version. \a preferred and \a home
 * are always scored. \sa RoutingTable */
RoutingDecision chooseEndpoint(const std::vector<EndpointView> &slots,
                               const std::vector<std::uint32_t> &members,
                               const std::vector<std::uint32_t> &preferred,
                               std::uint32_t home,
                               const RoutingRequest &request,
                               const RandomSource &random);

} // namespace Apricothead
