#pragma once

#include "../Protocol/Messages.h"
#include "TokenBucket.h"

#include <map>
#include <string>
#include <vector>

namespace Apricothead {

/** \class SharedLimiterOptions
 * \ingroup Decisions_Module
 * \brief How the entries share an organisation's limits.
 */
struct SharedLimiterOptions {
    std::string entry;
    /** A bucket holds this much of its rate. */
    double burstSeconds = 2;
    /** Part of the limit that is split evenly, whatever the demand, so that a new caller finds some at each entry. */
    double evenFraction = 0.2;
    /** An entry whose digest is older than this no longer counts. */
    double digestValidMs = 5000;
    /** Demand is averaged over about this time. */
    double demandAveragingMs = 3000;
};

/** \class LimitDecision
 * \ingroup Decisions_Module
 * \brief Whether an organisation's limits allow a request, and when to come again if not.
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
 * \brief This entry's part of each organisation's token buckets.
 *
 * The entries tell each other their demand in a digest about once a second and each takes the matching part of the limit, so no
 * request costs a message. The parts of entries that see the same digests sum to the limit. An entry that hears nobody falls
 * back to an equal part among the entries it knows of.
 */
class SharedLimiter
{
public:
    explicit SharedLimiter(SharedLimiterOptions options);

    /** Sets the limits of an organisation; zero means none of that kind. */
    void configure(const std::string &organisation, const Wire::Limits &limits, double nowMs);

    /** \a entries that are live, this one included, whether or not their digests arrived. */
    void setLiveEntries(unsigned entries);

    /** Takes one request and \a tokens, as estimated, when the limits allow it. Refused requests count as demand too. */
    LimitDecision admit(const std::string &organisation, double tokens, double nowMs);

    /** An admitted request ended, having used \a actualTokens; one that did not run gives all back. */
    void release(const std::string &organisation, double estimatedTokens, double actualTokens, bool ran, double nowMs);

    /** \returns the demand to tell the other entries */
    std::vector<Wire::OrganisationDemand> digest(double nowMs);
    void receive(const std::string &entry, const std::vector<Wire::OrganisationDemand> &demands, double nowMs);

    /** \returns this entry's part of the organisation's limits, 0 to 1 */
    double share(const std::string &organisation, double nowMs) const;

private:
    struct Account {
        Wire::Limits limits;
        TokenBucket requests{0, 0, 0};
        TokenBucket tokens{0, 0, 0};
        double requestRate = 0;
        double tokenRate = 0;
        double demandUpdatedMs = 0;
        unsigned running = 0;
        double shareUpdatedMs = -1;
    };
    struct Peer {
        std::map<std::string, double> requestRates;
        double lastReceivedMs = 0;
    };

    void recordDemand(Account &account, double tokens, double nowMs) const;
    void applyShare(const std::string &organisation, Account &account, double nowMs, bool startsFull) const;

    SharedLimiterOptions options;
    unsigned liveEntries = 1;
    std::map<std::string, Account> accounts;
    std::map<std::string, Peer> peers;
};

} // namespace Apricothead
