#pragma once

#include "EndpointRing.h"
#include "PrefixCacheEstimate.h"
#include "VersionSplit.h"

#include "../Protocol/Messages.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Apricothead {

/** \class PromptPart
 * \ingroup Decisions_Module
 * \brief A part of a prompt that other requests may share.
 */
struct PromptPart {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;

    bool operator==(const PromptPart &) const = default;
};

/** \class EndpointQuery
 * \ingroup Decisions_Module
 * \brief What a gateway asks when it looks for an endpoint for one attempt.
 */
struct EndpointQuery {
    std::string service;
    VersionRule versions;
    /** Endpoints that were tried already. */
    std::vector<std::string> avoid;
    /** Empty for a plain service. */
    std::vector<PromptPart> prompt;
    std::string model;
};

/** \class EndpointChoice
 * \ingroup Decisions_Module
 * \brief The endpoint of one attempt, and what was expected of it.
 */
struct EndpointChoice {
    std::string endpoint;
    std::string address;
    std::string version;
    double expectedMs = 0;
    /** Tokens that the engine has to read. */
    std::uint64_t uncachedTokens = 0;
    std::string model;
    /** \c home, \c spill, \c least-loaded or \c last-resort. */
    std::string reason;

    bool operator==(const EndpointChoice &) const = default;
};

/** \enum AttemptOutcome
 * \ingroup Decisions_Module
 * \brief How an attempt ended, as far as it speaks of its endpoint.
 */
enum class AttemptOutcome {
    Complete,
    /** The endpoint answered with an error of its own. */
    Failed,
    /** The connection broke, the answer was cut or spoiled, or nothing came. */
    Incomplete,
    /** No connection could be made. */
    Unreachable,
    /** The endpoint said that it did not run the request. */
    Refused,
    /** The caller left or the time was up. */
    Cancelled,
};

/** \class DirectEndpointsOptions
 * \ingroup Decisions_Module
 * \brief Bounds of DirectEndpoints.
 */
struct DirectEndpointsOptions {
    std::string availabilityZone;
    /** Prompt tokens that an engine reads in a ms, until measured. */
    double defaultTokensPerMs = 40;
    /** What another availability zone adds; a few hops. */
    double crossZoneMs = 4;
    /** Running requests slow each other: time that each adds to a first event. */
    double perRunningMs = 3;
    /** Failures in a row that eject an endpoint. */
    unsigned ejectAfterFailures = 3;
    /** Share of failures, over about ten attempts, that ejects. */
    double maxFailedShare = 0.35;
    std::uint64_t baseEjectionMs = 2000;
    /** An answer to a request sent this much later shows that an earlier one hangs: priorities reorder less than that. */
    std::uint64_t overtakenMarginMs = 800;
    /** What reading a prompt counts in a comparison: besides the request itself it delays all streams of the engine. */
    double prefillWeight = 2;
    /** Prompt tokens that an engine is thought to keep: less than any of the users' engines has memory for, as what runs takes some. */
    std::uint64_t cacheCapacityTokens = 350'000;
    /** What was sent lately is told to other gateways for this long: three heartbeats and their way. */
    std::uint64_t publishedPrefixMs = 450;
};

/** \class DirectEndpoints
 * \ingroup Decisions_Module
 * \brief The endpoints that a gateway sends work to by itself: who they are, how they do, and which one is next.
 *
 * Answers these loads: shared prompts (a hash of the shared parts names a home on a ring, so gateways agree without a message, and the work
 * spills to others when waiting at home costs more than reading the prompt anew), endpoints that fail, hang or go dark (ejected from few
 * samples, never more than half of a service), uneven gateways (gateways tell each other by way of the leader what they have sent,
 * since one long prompt holds an engine up for seconds). They also tell each other which
 * prompts they sent where: each then knows what every engine holds, and a prompt that has spilled is not read a third time.
 * Until they have heard, gateways would all send to the same least loaded engine: so each scores a sample of its own, the smaller the more
 * gateways there are (Mitzenmacher, How useful is old information?, 2000).
 */
class DirectEndpoints
{
public:
    DirectEndpoints();
    explicit DirectEndpoints(DirectEndpointsOptions options);
    DirectEndpoints(const DirectEndpoints &) = delete;
    DirectEndpoints &operator=(const DirectEndpoints &) = delete;

    /** \returns own work at each endpoint that has some, and the prompts sent lately, for the other gateways */
    std::vector<Wire::EndpointLoad> ownLoads(std::uint64_t nowMs);

    /** What all other gateways have sent; endpoints that are not named have none of it. */
    void setOtherLoads(const std::vector<Wire::EndpointLoad> &loads);

    void applyAnnouncement(const Wire::EndpointAnnouncement &announcement);

    /** Gateways that share the endpoints, this one included. */
    void setGatewayCount(std::uint32_t count);

    /** \returns nothing when no endpoint may take the request */
    std::optional<EndpointChoice> choose(const EndpointQuery &query, std::uint64_t nowMs) const;

    /** An attempt was sent. \sa recordEnd() */
    void recordStart(const EndpointQuery &query, const EndpointChoice &choice, std::uint64_t nowMs);
    /** The first event or the answer's head came after \a tookMs. */
    void recordAnswer(const EndpointChoice &choice, std::uint64_t tookMs, std::uint64_t nowMs);
    /** \a wasAnswered: whether recordAnswer() was called for it. */
    void recordEnd(const EndpointChoice &choice, AttemptOutcome outcome, bool wasAnswered, std::uint64_t nowMs);

    /** \returns whether \a choice, sent at \a startedMs, was overtaken by later requests of the same model: it hangs rather than waits */
    bool isOvertaken(const EndpointChoice &choice, std::uint64_t startedMs) const;

    /** \returns whether \a endpoint is known and was not said to be leaving, gone or silent */
    bool isReady(const std::string &endpoint) const;

    /** \returns endpoints of \a service that are ready */
    std::size_t readyCount(const std::string &service) const;

private:
    struct SentPrefix {
        std::uint64_t prefix = 0;
        std::uint64_t tokens = 0;
        std::uint64_t sentMs = 0;
    };
    /** What this gateway learned of an incarnation of an endpoint. */
    struct EndpointStats {
        std::uint64_t running = 0;
        /** Time that prompts sent here and not answered yet take, in ms. */
        double pendingPrefillMs = 0;
        /** Of all other gateways, some hundred ms ago. */
        double othersPendingPrefillMs = 0;
        std::uint64_t othersRunning = 0;
        unsigned consecutiveFailures = 0;
        unsigned ejections = 0;
        double failedShare = 0;
        std::uint64_t ejectedUntilMs = 0;
        /** Prompts sent since some hundred ms, the oldest first. */
        std::deque<SentPrefix> recentPrefixes;
        /** When the latest request was sent that has been answered, by model. */
        std::map<std::string, std::uint64_t> lastAnsweredSentMs;
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
        /** What is compared: \c expectedMs, less for a home that reads a prompt for all gateways. */
        double scoreMs = 0;
        double expectedMs = 0;
        std::uint64_t uncachedTokens = 0;
        bool isHome = false;
    };
    /** What the candidates of one question have in common. */
    struct CandidateSet {
        std::vector<std::uint64_t> prefixHashes;
        /** Null when the prompt has no shared part. */
        const KnownEndpoint *home = nullptr;
        /** Most of the prompt that any candidate holds or is about to read. */
        std::uint64_t maxCachedTokens = 0;
        std::vector<const KnownEndpoint *> candidates;
    };
    KnownEndpoint &findOrAdd(const std::string &endpoint);
    void removeEndpoint(const std::string &endpoint);
    void rebuildGroups(const std::string &service);
    bool canTake(const KnownEndpoint &endpoint, const EndpointQuery &query, bool includeEjected, std::uint64_t nowMs) const;
    CandidateSet findCandidates(const EndpointQuery &query, bool preferredVersions, bool includeEjected, std::uint64_t nowMs) const;
    std::size_t sampleSize(std::size_t members) const;
    void addSample(CandidateSet &candidateSet, const Group &group, const std::function<bool(const KnownEndpoint &)> &canTake) const;
    void
    addHolders(CandidateSet &candidateSet, const EndpointQuery &query, bool preferredVersions, const std::function<bool(const KnownEndpoint &)> &canTake) const;
    ScoredEndpoint score(const KnownEndpoint &endpoint, const EndpointQuery &query, const CandidateSet &candidateSet) const;
    double prefillMs(const std::string &model, std::uint64_t tokens) const;
    void eject(KnownEndpoint &endpoint, std::uint64_t nowMs) const;
    bool canEject(const std::string &service, std::uint64_t nowMs) const;

    DirectEndpointsOptions options;
    /** Sums over recent answers, old ones fading: the quotient of sums weighs long prompts as they weigh on an engine. */
    struct PrefillRate {
        double tokens = 0;
        double tookMs = 0;
    };
    std::map<std::string, PrefillRate> prefillRates;
    /** By service, then by version. */
    std::map<std::string, std::map<std::string, Group>> groups;
    /** Endpoints thought to hold a prompt, by its hash. */
    std::unordered_map<std::uint64_t, std::vector<const KnownEndpoint *>> holders;
    mutable std::minstd_rand random;
    std::uint32_t gatewayCount = 1;
    /** After what it changes when it goes. */
    std::map<std::string, KnownEndpoint> known;
};

/** \returns tokens of the parts of \a prompt that other requests may share: all but the last part */
std::uint64_t sharedTokens(const std::vector<PromptPart> &prompt);

} // namespace Apricothead
