#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Apricothead {

/** \class EndpointIncarnation
 * \ingroup Decisions_Module
 * \brief One start of an endpoint.
 */
struct EndpointIncarnation {
    std::string endpoint;
    /** Start of the incarnation, ms since 1970 by the endpoint's own clock. */
    std::int64_t bornMs = 0;

    bool operator==(const EndpointIncarnation &) const = default;
    bool operator<(const EndpointIncarnation &other) const;
};

/** \class SuspectRequest
 * \ingroup Decisions_Module
 * \brief What identifies a request as a possible cause of a crash.
 */
struct SuspectRequest {
    /** Equal for repeats of the same request, also under another id. */
    std::uint64_t fingerprint = 0;
    /** What other requests may have in common with it: the parts of its prompt but the last, or else the request as a whole. */
    std::vector<std::uint64_t> parts;

    bool operator==(const SuspectRequest &) const = default;
};

/** \class WithheldParts
 * \ingroup Decisions_Module
 * \brief Why a request is withheld.
 */
struct WithheldParts {
    /** Parts of the request whose evidence is equal. */
    std::vector<std::uint64_t> parts;
    /** Crashes at which they were in a request that awaited its answer. */
    std::uint32_t crashes = 0;
    /** Time until a trial may be due, in ms; nothing when only an operator can clear them. */
    std::optional<std::uint64_t> trialMs;
    /** Whether the request may be the trial: with the parts of several causes, it could not tell which of them is at fault. */
    bool canBeTrial = true;

    bool operator==(const WithheldParts &) const = default;
};

/** \class PartQuarantineOptions
 * \ingroup Decisions_Module
 * \brief Thresholds of PartQuarantine.
 */
struct PartQuarantineOptions {
    /** Incidents at which a part must have been before requests with it are withheld. */
    std::uint32_t minIncidents = 2;
    /** Distinct requests that must have had the part at these incidents. */
    std::size_t minRequests = 2;
    /** A part is not suspected when a request with it was answered within this time before a crash. */
    std::uint64_t answeredMemoryMs = 2000;
    /** Crashes within this time may have one cause. */
    std::uint64_t incidentMs = 300;
    /** Time for which this gateway keeps what it saw itself and has not reported. */
    std::uint64_t lossRetentionMs = 60000;
    /** Least time between two requests of this gateway for the trial of one part. */
    std::uint64_t trialRequestIntervalMs = 1000;
    /** While the leader was heard within this time, only the evidence of all gateways condemns a part: what this gateway has seen of a crash may
     * be the lesser half. */
    std::uint64_t contactTimeoutMs = 500;
};

/** \class PartQuarantine
 * \ingroup Decisions_Module
 * \brief Decides which requests a gateway withholds, since a part of them crashes the endpoints that answer it.
 *
 * Designed for this load: among sound requests are some with one part in common, at any share and at any gateway, each of which ends the endpoint
 * that begins to answer it and thereby all other requests that run there. Endpoints end for other causes too, at the same time.
 * - Evidence against a part is that a request with it awaited its answer when an endpoint crashed. It counts by incidents and by distinct
 *   requests: neither a lost rack nor the repeats of one request condemn a part. A request that was at several incidents itself is withheld alone.
 * - Evidence for a part is any answer to a request with it that began after the crash was known. It clears the part.
 * - Parts with equal evidence can't be told apart, so only requests with all of them are withheld. A part whose crashes are all explained by
 *   another part with more of them is not held to be at fault.
 *
 * The evidence of all gateways comes from the replicated state. What this gateway saw and has not reported yet keeps it from repeating a request;
 * it condemns a part only while no leader is heard.
 * \sa SuspectTable
 */
class PartQuarantine
{
public:
    using Suspects = google::protobuf::RepeatedPtrField<Wire::SuspectPart>;

    PartQuarantine() = default;
    explicit PartQuarantine(PartQuarantineOptions options);

    /** Replaces the evidence of all gateways. */
    void setSuspects(const Suspects &suspects, std::uint64_t nowMs);

    /** Records that the leader was heard. */
    void recordContact(std::uint64_t nowMs);

    /** Records that the answer to a request with \a parts began at \a answeredMs and went on. \a endpoint: that answered. */
    void recordAnswered(const std::vector<std::uint64_t> &parts, const std::string &endpoint, std::uint64_t answeredMs);

    /** Records that \a request awaited its answer at an endpoint whose connection was lost. */
    void recordLoss(const EndpointIncarnation &endpoint, const SuspectRequest &request, std::uint64_t nowMs);
    /** Forgets the losses at \a endpoint: it has not crashed, or its crash is part of the evidence of all gateways. */
    void forgetLosses(const EndpointIncarnation &endpoint, std::uint64_t nowMs);

    /** \returns the parts of \a request that have not been answered lately */
    std::vector<std::uint64_t> unclearedParts(const SuspectRequest &request, std::uint64_t nowMs) const;

    /** \returns whether there is evidence against an uncleared part of \a request, however weak */
    bool isSuspect(const SuspectRequest &request, std::uint64_t nowMs) const;

    /** \returns why \a request must not be sent to an endpoint, nothing when it may */
    std::optional<WithheldParts> withheldParts(const SuspectRequest &request, std::uint64_t nowMs);

    /** \returns whether this gateway should ask for the trial of a part now; true at most once in a while for each part */
    bool shouldRequestTrial(const WithheldParts &withheld, std::uint64_t nowMs);

    /** \returns the suspect parts in requests that were answered, to be reported until they are suspect no more */
    std::vector<Wire::PartClearance> clearances() const;

    std::size_t suspectCount() const;
    std::size_t withheldCount() const;
    /** \returns the number of parts whose last answer is remembered */
    std::size_t answeredCount() const;

private:
    struct Suspect {
        std::set<EndpointIncarnation> crashes;
        /** The incidents of each request, by its fingerprint. */
        std::map<std::uint64_t, std::set<std::uint32_t>> requests;
        std::uint32_t incidents = 0;
        /** All crashes, also those that are no longer kept one by one. */
        std::uint32_t crashCount = 0;
        /** Count of crashes in the evidence of all gateways, and since when it is known here. */
        std::uint32_t sharedCrashCount = 0;
        std::uint64_t knownSinceMs = 0;
        std::uint32_t trials = 0;
        std::uint64_t trialWaitMs = 0;
        /** Not empty once a request with the part was answered after \c knownSinceMs. */
        std::string answeredBy;
    };
    struct Loss {
        EndpointIncarnation endpoint;
        std::uint64_t lostMs = 0;
        SuspectRequest request;
    };
    using Evidence = std::map<std::uint64_t, Suspect>;
    void update(std::uint64_t nowMs);
    bool isIsolated(std::uint64_t nowMs) const;
    Evidence withLosses() const;
    const Evidence &evidence() const;
    /** \returns a part that was in \a request at several incidents */
    std::optional<std::uint64_t> repeatedlyLostPart(const SuspectRequest &request) const;

    PartQuarantineOptions options;
    Evidence shared;
    std::deque<Loss> losses;
    /** The evidence of all gateways together with the losses. */
    Evidence suspects;
    std::optional<std::uint64_t> lastContactMs;
    /** Whether \c withheld follows from \c suspects rather than \c shared. */
    bool wasIsolated = true;
    /** Sets of parts with equal evidence; a request that has all of one set is withheld. */
    std::vector<std::set<std::uint64_t>> withheld;
    std::unordered_map<std::uint64_t, std::uint64_t> lastAnsweredMs;
    std::map<std::uint64_t, std::uint64_t> lastTrialRequestMs;
};

/** \returns \a part as it is shown to operators, in hexadecimal */
std::string partText(std::uint64_t part);

/** \returns the texts of \a parts, separated by commas */
std::string partsText(const std::vector<std::uint64_t> &parts);

} // namespace Apricothead
