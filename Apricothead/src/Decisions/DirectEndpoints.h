#pragma once

#include "ColdRate.h"
#include "EndpointLimits.h"
#include "EndpointPace.h"
#include "EndpointRing.h"
#include "LoadTotals.h"
#include "LruMap.h"
#include "PrefixCacheEstimate.h"
#include "PromptNews.h"
#include "PromptPart.h"
#include "VersionSplit.h"

#include "../Protocol/Messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Apricothead {

/** \class EndpointQuery
 * \ingroup Decisions_Module
 * \brief The inputs for choosing the endpoint of one attempt.
 */
struct EndpointQuery {
    std::string service;
    VersionRule versions;
    /** Endpoints that earlier attempts were sent to. */
    std::vector<std::string> avoid;
    /** Empty for a service that is not a language model. */
    std::vector<PromptPart> prompt;
    std::string model;
};

/** \class EndpointChoice
 * \ingroup Decisions_Module
 * \brief The endpoint of one attempt, with the prediction that it was chosen by.
 */
struct EndpointChoice {
    std::string endpoint;
    std::string address;
    /** Start of the endpoint's incarnation, ms since 1970 by its own clock. */
    std::int64_t bornMs = 0;
    std::string version;
    /** Predicted time to the first event. */
    double expectedMs = 0;
    /** Prompt tokens that the engine has to process, as its cache does not hold them. */
    std::uint64_t uncachedTokens = 0;
    std::string model;
    /** \c home, \c spill, \c least-loaded, \c last-resort or \c other-version. */
    std::string reason;

    bool operator==(const EndpointChoice &) const = default;
};

/** \enum AttemptOutcome
 * \ingroup Decisions_Module
 * \brief The outcome of an attempt, as evidence on the health of its endpoint.
 */
enum class AttemptOutcome {
    Complete,
    /** The endpoint answered with a server error. */
    Failed,
    /** The connection was lost, or the answer was truncated or invalid. */
    Incomplete,
    /** The gateway gave up waiting and may try another endpoint. */
    Overdue,
    /** The connection could not be established. */
    Unreachable,
    /** The endpoint reported that it did not run the request. */
    Refused,
    /** The caller disconnected or the deadline passed. */
    Cancelled,
};

/** \class ColdService
 * \ingroup Decisions_Module
 * \brief What a cold endpoint of a service bears, and how long it stays cold after its start.
 */
struct ColdService {
    double perSecond = 0;
    std::uint64_t startMs = 0;
};

/** \class DirectEndpointsOptions
 * \ingroup Decisions_Module
 * \brief Cost model, ejection thresholds and limits of DirectEndpoints.
 */
struct DirectEndpointsOptions {
    std::string availabilityZone;
    /** Prompt tokens that an engine processes per ms, assumed until the rate of the model has been measured. */
    double defaultTokensPerMs = 40;
    /** Added latency of an endpoint in another availability zone: a few network hops. */
    double crossZoneMs = 4;
    /** Time that each running request adds to the time to the first event of another one on the same engine. */
    double perRunningMs = 3;
    /** Number of consecutive failures at which an endpoint is ejected. */
    unsigned ejectAfterFailures = 3;
    /** Share of failed attempts, averaged over about the last ten, above which an endpoint is ejected. */
    double maxFailedShare = 0.35;
    /** Duration of the first ejection; it doubles with each further one until an attempt completes. */
    std::uint64_t baseEjectionMs = 2000;
    /** A request counts as hung once a request that was sent this much later has been answered. Scheduling by priority reorders requests by less
     * than this. */
    std::uint64_t overtakenMarginMs = 800;
    /** Weight of prefill time when endpoints are compared: prefill delays not only the request itself but all streams of the engine. */
    double prefillWeight = 2;
    /** Prompt tokens that an engine is assumed to keep in its cache. Lower than the memory of any engine in use, as running requests occupy a
     * part of it. */
    std::uint64_t cacheCapacityTokens = 350'000;
    /** Prefixes remembered for all endpoints together; each endpoint has an equal share. One takes about 200 bytes. */
    std::size_t maxPrefixes = 131'072;
    ColdRateOptions coldRate = {};
    /** How the pace of endpoints that have started or recovered is found; nothing: they are used like all others at once. */
    std::optional<EndpointPaceOptions> pace = {};
};

/** \class DirectEndpoints
 * \ingroup Decisions_Module
 * \brief Tracks the load, health and estimated caches of the endpoints that a gateway sends requests to directly, and chooses among them.
 *
 * Designed for these load patterns:
 * - Prompts with shared prefixes. Consistent hashing of the shared parts assigns each prompt a home endpoint, so that gateways agree on it
 *   without communication. A request goes to another endpoint when waiting at the home would cost more than processing the prompt again.
 * - Endpoints that fail, hang or become unreachable. They are ejected after few samples, and never more than about half of a service's
 *   endpoints at a time.
 * - Load that differs between gateways. Gateways exchange through the leader what they have sent, as one long prompt can occupy an engine for
 *   seconds. They also exchange which prompts they sent to which endpoint, so that each gateway can estimate the cache of every engine, and a
 *   prompt that was processed away from its home is not processed a third time elsewhere.
 * - Endpoints in need, which name a limit for the requests of all gateways together. \sa EndpointLimits
 * - Endpoints that have just started or recovered, which are idle and slow. Their pace is found from how they answer. \sa EndpointPace
 * - Many announcements at once: a start, a roll-out or an added third of the endpoints. They are recorded one by one, and the groups and rings are
 *   built at the next choice.
 *
 * Until these reports arrive, all gateways would send to the same least loaded engine. So each gateway scores a random sample of its own, which
 * is smaller the more gateways there are (Mitzenmacher, How useful is old information?, 2000).
 */
class DirectEndpoints
{
public:
    /** Models whose answers are measured at a time, at each endpoint and in all. */
    static constexpr std::size_t MaxModels = 32;
    /** The same, with the models of each service counted apart. */
    static constexpr std::size_t MaxServiceModels = 256;

    DirectEndpoints();
    explicit DirectEndpoints(DirectEndpointsOptions options);
    DirectEndpoints(const DirectEndpoints &) = delete;
    DirectEndpoints &operator=(const DirectEndpoints &) = delete;

    /** \returns this gateway's load at each endpoint, with the prompts sent since the last call, to be reported to the other gateways. Endpoints with
     * neither are left out. */
    std::vector<Wire::EndpointLoad> takeOwnLoads();
    /** \returns the number of prefixes sent that were left out of the reports since the start. \sa PromptNews::MaxPrefixesOfSender */
    std::uint64_t unreportedPrefixes() const;

    /** Sets the total load of all other gateways; an endpoint that is not listed has none. */
    void setOtherLoads(const std::vector<Wire::EndpointLoad> &loads);

    /** Records the prompts that other gateways sent, each reported once. */
    void recordOtherPrompts(const EndpointLoads &prompts);

    void applyAnnouncement(const Wire::EndpointAnnouncement &announcement);
    void applyAnnouncements(const std::vector<Wire::EndpointAnnouncement> &announcements);

    /** Sets the availability zones whose endpoints get nothing: neither as candidates nor as homes, last resorts or holders of a prompt. Endpoints
     * of a zone that is taken back count as just started, as they may have turned cold since their last heartbeats. */
    void setEvacuatedZones(std::set<std::string> zones, std::uint64_t nowMs);
    /** \returns the number of ready endpoints that are left out, by evacuated availability zone */
    std::map<std::string, std::size_t> evacuatedCounts() const;

    /** Sets what cold endpoints bear, by service; those of a service that is not listed bear any rate. */
    void setColdServices(std::map<std::string, ColdService> services);
    /** Sets this gateway's place among those that share the turns at cold endpoints. \a clockOffsetMs is what the clock that all gateways share is
     * ahead of that of \c nowMs. \sa ColdRate */
    void setGatewayPlace(std::uint32_t rank, std::uint32_t count, std::uint64_t clockOffsetMs);
    /** Records that an endpoint stays cold for \a coldMs. */
    void recordCold(const std::string &endpoint, std::uint64_t coldMs, std::uint64_t nowMs);
    /** Records that a request was sent, which uses up a turn if the endpoint is cold, and a permit if it limits its requests. */
    void recordSent(const std::string &endpoint, std::uint64_t nowMs);

    /** \returns the limits that endpoints name for the requests of all gateways together */
    EndpointLimits &limits();
    /** \returns the expected time in ms until a request may be sent to a limited endpoint that could take it, when \a ahead others wait before it;
     * nothing when no limit keeps it from an endpoint */
    std::optional<std::uint64_t> limitWaitMs(const EndpointQuery &query, std::size_t ahead, std::uint64_t nowMs) const;

    /** \returns how often the endpoints of a service were grouped anew: at most once for each choice, however many announcements preceded it */
    std::uint64_t rebuilds() const;

    /** \returns the number of known endpoints in any state */
    std::size_t endpointCount() const;
    /** \returns the number of measurements by model that are kept. Callers choose the names of models, so it is bounded. */
    std::size_t modelCount() const;
    /** \returns the number of prefixes that are remembered, over all endpoints */
    std::size_t prefixCount() const;

    /** Sets the number of gateways that share the endpoints, including this one. */
    void setGatewayCount(std::uint32_t count);

    /** \returns nothing when no endpoint can take the request */
    std::optional<EndpointChoice> choose(const EndpointQuery &query, std::uint64_t nowMs) const;

    /** Records that an attempt was sent to the endpoint of \a choice. \sa recordEnd() */
    void recordStart(const EndpointQuery &query, const EndpointChoice &choice);
    /** Records that the first event or the head of the answer arrived \a tookMs after the attempt was sent. */
    void recordAnswer(const EndpointChoice &choice, std::uint64_t tookMs, std::uint64_t nowMs);
    /** Records that an endpoint said in an answer that it leaves. It gets nothing more until it starts anew, whatever its heartbeats say. */
    void recordLeaving(const std::string &endpoint);
    /** Records that an endpoint wants no requests for \a pauseMs. */
    void recordPause(const std::string &endpoint, std::uint64_t pauseMs, std::uint64_t nowMs);
    /** \returns the time in ms until some ready endpoint of \a service takes requests again; 0 when one does now or none is known */
    std::uint64_t pauseLeftMs(const std::string &service, std::uint64_t nowMs) const;

    /** Ejects an endpoint that refuses connections. */
    void recordCrash(const std::string &endpoint, std::uint64_t nowMs);
    /** Records the end of an attempt. \a wasAnswered: whether recordAnswer() was called for it. */
    void recordEnd(const EndpointChoice &choice, AttemptOutcome outcome, bool wasAnswered, std::uint64_t nowMs);

    /** \returns whether requests for the same model that were sent later than the attempt \a choice, sent at \a startedMs, have been answered.
     * The attempt then hangs rather than waits in a queue. Also true when the endpoint is no longer known. */
    bool isOvertaken(const EndpointChoice &choice, std::uint64_t startedMs) const;

    /** \returns whether \a endpoint is known and ready, not leaving, gone or silent */
    bool isReady(const std::string &endpoint) const;

    /** \returns the number of ready endpoints of \a service */
    std::size_t readyCount(const std::string &service) const;

    /** \returns the number of ready endpoints of \a service that have not found their pace */
    std::size_t pacedCount(const std::string &service) const;

private:
    struct SentPrefix {
        std::uint64_t prefix = 0;
        std::uint64_t tokens = 0;
    };
    /** Load and health of one incarnation of an endpoint, as seen by this gateway. */
    struct EndpointStats {
        std::uint64_t running = 0;
        /** Predicted prefill time of the prompts of this gateway that were sent and not answered yet. */
        double pendingPrefillMs = 0;
        /** The load of all other gateways, a few hundred ms old. */
        double othersPendingPrefillMs = 0;
        std::uint64_t othersRunning = 0;
        unsigned consecutiveFailures = 0;
        unsigned ejections = 0;
        double failedShare = 0;
        std::uint64_t ejectedUntilMs = 0;
        /** Unlike an ejection, a pause that the endpoint asked for holds even when no other endpoint is left. */
        std::uint64_t pausedUntilMs = 0;
        std::uint64_t coldUntilMs = 0;
        EndpointPace pace;
        bool isLeaving = false;
        /** Prompts sent since the last report, the oldest first. */
        std::vector<SentPrefix> unreportedPrefixes;
        /** When the most recently sent request that has been answered was sent, by the hash of the model. */
        LruMap<std::uint64_t, std::uint64_t> lastAnsweredSentMs{MaxModels};
    };
    struct KnownEndpoint : EndpointStats {
        explicit KnownEndpoint(DirectEndpoints &owner);
        Wire::EndpointAnnouncement announcement;
        PrefixCacheEstimate cache;
    };
    /** The ready endpoints of one service and version. */
    struct Group {
        std::vector<const KnownEndpoint *> members;
        EndpointRing ring;
    };
    struct ScoredEndpoint {
        const KnownEndpoint *endpoint = nullptr;
        /** The value that is compared: \c expectedMs with weighted prefill time, reduced for a home that processes a prompt for all gateways. */
        double scoreMs = 0;
        double expectedMs = 0;
        std::uint64_t uncachedTokens = 0;
        bool isHome = false;
    };
    /** The candidate endpoints of one query. */
    struct CandidateSet {
        std::vector<std::uint64_t> prefixHashes;
        /** Null when the prompt has no shared part or no endpoint can take it. */
        const KnownEndpoint *home = nullptr;
        /** The largest number of leading prompt tokens that any candidate has cached or is about to process. */
        std::uint64_t maxCachedTokens = 0;
        std::vector<const KnownEndpoint *> candidates;
    };
    static bool isReady(const KnownEndpoint &endpoint);
    /** \returns whether \a endpoint is ready and its availability zone is not evacuated */
    bool isEligible(const KnownEndpoint &endpoint) const;
    static std::uint64_t inFlight(const KnownEndpoint &endpoint);
    /** The endpoint has started or recovered. */
    void startPace(KnownEndpoint &endpoint) const;
    /** Records for the pace that an answer to \a choice took \a tookMs. */
    void recordPace(KnownEndpoint &endpoint, const EndpointChoice &choice, double tookMs);
    double meanInFlightAtPace(const std::string &service) const;
    /** Removes candidates that may not take another request at their pace, unless there are no others. */
    static void preferOpen(std::vector<const KnownEndpoint *> &candidates);
    /** \returns the rate that \a endpoint bears while it is cold; 0 when it is warm or bears any */
    double coldRateOf(const KnownEndpoint &endpoint, std::uint64_t nowMs) const;
    KnownEndpoint &findOrAdd(const std::string &endpoint);
    void removeEndpoint(const std::string &endpoint);
    /** Divides the prefixes that may be remembered among the known endpoints. */
    void dividePrefixes();
    void rebuildGroups(const std::string &service) const;
    bool canTake(const KnownEndpoint &endpoint, const EndpointQuery &query, bool includeEjected, std::uint64_t nowMs) const;
    /** \returns whether \a endpoint could take the request but for a limit that it names */
    bool canTakeWithinLimit(const KnownEndpoint &endpoint, const EndpointQuery &query, bool includeEjected, std::uint64_t nowMs) const;
    /** \returns whether a ready endpoint is of a version of that rank, even if it can't take the request now */
    bool hasVersion(const EndpointQuery &query, VersionRank rank) const;
    CandidateSet findCandidates(const EndpointQuery &query, VersionRank rank, bool includeEjected, std::uint64_t nowMs) const;
    std::size_t sampleSize(std::size_t members) const;
    void addSample(CandidateSet &candidateSet, const Group &group, const std::function<bool(const KnownEndpoint &)> &canTake) const;
    /** Adds the endpoints for which this gateway holds permits, which end unused if a sample leaves them out. */
    void addPermitted(CandidateSet &candidateSet,
                      const EndpointQuery &query,
                      VersionRank rank,
                      const std::function<bool(const KnownEndpoint &)> &canTake,
                      std::uint64_t nowMs) const;
    void addHolders(CandidateSet &candidateSet, const EndpointQuery &query, VersionRank rank, const std::function<bool(const KnownEndpoint &)> &canTake) const;
    ScoredEndpoint score(const KnownEndpoint &endpoint, const EndpointQuery &query, const CandidateSet &candidateSet) const;
    double prefillMs(const std::string &model, std::uint64_t tokens) const;
    void eject(KnownEndpoint &endpoint, std::uint64_t nowMs) const;
    bool canEject(const std::string &service, std::uint64_t nowMs) const;

    DirectEndpointsOptions options;
    /** Exponentially decaying sums over the answers. The quotient of the sums gives long prompts the weight that they have in an engine's work. */
    struct PrefillRate {
        double tokens = 0;
        double tookMs = 0;
    };
    LruMap<std::uint64_t, PrefillRate> prefillRates{MaxModels};
    /** Services that have answered this gateway. */
    std::set<std::string> answeredServices;
    /** Mean by which answers of endpoints at pace took longer than predicted, by service and model. */
    LruMap<std::pair<std::string, std::uint64_t>, double> peerDelayMs{MaxServiceModels};
    /** By service, then by version. Derived from \c known, and outdated for the services in \c changedServices. */
    mutable std::map<std::string, std::map<std::string, Group>> groups;
    mutable std::set<std::string> changedServices;
    mutable std::uint64_t rebuildCount = 0;
    /** Endpoints that probably have a prefix cached, by its hash. */
    std::unordered_map<std::uint64_t, std::vector<const KnownEndpoint *>> holders;
    /** Prefixes that wait to be reported, over all endpoints. */
    std::size_t unreportedCount = 0;
    std::uint64_t unreportedDropped = 0;
    mutable std::minstd_rand random;
    std::uint32_t gatewayCount = 1;
    std::set<std::string> evacuatedZones;
    ColdRate coldRate;
    EndpointLimits requestLimits;
    std::map<std::string, ColdService> coldServices;
    std::uint64_t clockOffsetMs = 0;
    /** Declared after \c holders, which the caches of the endpoints refer to. */
    std::map<std::string, KnownEndpoint> known;
};

} // namespace Apricothead
