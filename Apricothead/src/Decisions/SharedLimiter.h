#pragma once

#include "DecayingRate.h"
#include "TokenBucket.h"

#include "../Protocol/Messages.h"

#include <map>
#include <string>
#include <vector>

namespace Apricothead {

/** \class SharedLimiterOptions
 * \ingroup Decisions_Module
 * \brief Options of a SharedLimiter: how the entries divide an organisation's limits among themselves.
 */
struct SharedLimiterOptions {
    std::string entry;
    /** Capacity of a bucket, as seconds of its rate. */
    double burstSeconds = 2;
    /** Fraction of the limit that is split evenly regardless of demand, so that a new caller finds capacity at every entry. */
    double evenFraction = 0.2;
    /** The demand of an entry whose last digest is older than this is ignored. */
    double digestValidMs = 5000;
    /** Approximate averaging time of the measured demand. */
    double demandAveragingMs = 3000;
};

/** \class LimitDecision
 * \ingroup Decisions_Module
 * \brief Whether an organisation's limits allow a request, and when to retry if not.
 */
struct LimitDecision {
    bool allowed = false;
    /** \c within-limits, \c organisation-request-limit, \c organisation-token-limit or \c organisation-concurrency-limit. */
    std::string reason;
    double retryAfterMs = 0;

    bool operator==(const LimitDecision &) const = default;
};

/** \class SharedLimiter
 * \ingroup Decisions_Module
 * \brief This entry's share of each organisation's token buckets.
 *
 * The entries exchange their demand in a digest about once a second, and each uses the corresponding share of the limit, so that
 * no request needs a message. The shares of entries that have the same digests sum to the limit. An entry that receives no
 * digests falls back to an equal share among the entries it knows of.
 */
class SharedLimiter
{
public:
    explicit SharedLimiter(SharedLimiterOptions options);

    /** Sets the limits of an organisation; a limit of zero means unlimited. */
    void configure(const std::string &organisation, const Wire::Limits &limits, double nowMs);

    /** Sets the number of live entries, including this one, whether or not their digests have arrived. */
    void setLiveEntries(unsigned entries);

    /** Consumes one request and the estimated \a tokens when the limits allow it. Refused requests also count as demand. */
    LimitDecision admit(const std::string &organisation, double tokens, double nowMs);

    /** Records the end of an admitted request that used \a actualTokens. One that did not run returns everything it consumed. */
    void release(const std::string &organisation, double estimatedTokens, double actualTokens, bool ran, double nowMs);

    /** \returns the demand at this entry, to be sent to the other entries */
    std::vector<Wire::OrganisationDemand> digest(double nowMs);
    void receive(const std::string &entry, const std::vector<Wire::OrganisationDemand> &demands, double nowMs);

    /** \returns the number of demands of other entries that are kept */
    std::size_t otherDemandCount() const;

    /** \returns this entry's share of the organisation's limits, 0 to 1 */
    double share(const std::string &organisation, double nowMs) const;

private:
    struct Account {
        explicit Account(double demandAveragingMs);

        Wire::Limits limits;
        TokenBucket requests{0, 0, 0};
        TokenBucket tokens{0, 0, 0};
        DecayingRate requestRate;
        DecayingRate tokenRate;
        unsigned running = 0;
        double shareUpdatedMs = -1;
    };
    struct Peer {
        std::map<std::string, double> requestRates;
        double lastReceivedMs = 0;
    };

    void applyShare(const std::string &organisation, Account &account, double nowMs, bool startsFull) const;

    SharedLimiterOptions options;
    unsigned liveEntries = 1;
    std::map<std::string, Account> accounts;
    std::map<std::string, Peer> peers;
};

} // namespace Apricothead
