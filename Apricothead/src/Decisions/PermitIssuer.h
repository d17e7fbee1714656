#pragma once

#include "PermitTerms.h"

#include "../Protocol/Messages.h"
#include "../Protocol/RequestLimit.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Apricothead {

using EndpointLimitReports = google::protobuf::RepeatedPtrField<Wire::EndpointLimitReport>;

/** \class PermitIssuerOptions
 * \ingroup Decisions_Module
 * \brief Bounds of a PermitIssuer.
 */
struct PermitIssuerOptions {
    /** Permits of an endpoint that may be issued and unused at a time: \c burstSeconds of its limit, and \c minBurst more. */
    double burstSeconds = 0.9;
    double minBurst = 2;
    /** Time beyond the end of a permit after which a gateway that reports nothing of it has used it or lost it. */
    std::uint64_t reportGraceMs = 500;
    /** Answers that gateways received within this time of each other may have overtaken one another. The lowest limit of them counts. */
    std::uint64_t overtakingMs = 300;
    /** For how long the reports of a gateway that is gone are kept. */
    std::uint64_t retentionMs = 10'000;
    /** Reports of gateways that are older get no permits. */
    std::uint64_t reportValidMs = 1000;
};

/** \class PermitIssuer
 * \ingroup Decisions_Module
 * \brief Shares the request limits that endpoints name among the gateways, on the leader.
 *
 * Designed for limits far below the number of gateways: with hundreds of gateways and one request a second, equal shares would leave most of the limit
 * unused, and most callers without it. Each limited endpoint has one token bucket here. Gateways report what they could use, and get single permits,
 * drawn by their demand, those with waiting requests first. A permit ends by itself after a second, so that a gateway that is cut off, frozen or
 * gone takes nothing for longer; one that was not used is issued again.
 *
 * In a window of t seconds an endpoint gets at most t times its limit, and the permits that may be unused at a time.
 * \sa EndpointLimits
 */
class PermitIssuer
{
public:
    PermitIssuer();
    explicit PermitIssuer(PermitIssuerOptions options);

    /** Forgets what was issued, as a replica does that has just become the leader. Begins without tokens, as the former leader's permits may still be
     * used. \a issuer: never used before by any replica, not 0 */
    void restart(std::uint64_t issuer, std::uint64_t nowMs);
    std::uint64_t issuer() const;

    /** Records what a gateway reported of all endpoints that limit their requests. */
    void receive(const std::string &gateway, const EndpointLimitReports &reports, std::uint64_t nowMs);

    /** \returns the limits that are in force, and those that have ended lately */
    std::vector<Wire::EndpointLimit> limits(std::uint64_t nowMs) const;
    /** \returns a number that changes with what limits() lists, but for their ages */
    std::uint64_t limitsVersion() const;

    /** \returns permits for those of \a gateways that can use some, and the weight of the others to those for which it has changed by much, by gateway */
    std::map<std::string, std::vector<Wire::EndpointPermits>> issue(const std::set<std::string> &gateways, std::uint64_t nowMs);

private:
    struct Account {
        /** The last that the gateway saw the endpoint say. */
        std::optional<RequestLimit> statement;
        double demand = 0;
        std::uint32_t waiting = 0;
        std::uint32_t wanted = 0;
        std::uint64_t reportedMs = 0;
        std::uint64_t issued = 0;
        /** Those of the issued permits that were used, or can't be used any more. */
        std::uint64_t settled = 0;
        /** When permits were issued that may still be used, and the sum of all up to them. */
        std::deque<std::pair<std::uint64_t, std::uint64_t>> issuedAtMs;
        /** The gateway's count of the permits that it did not use. */
        std::uint64_t unused = 0;
        /** Permits that were not used, to be issued again. */
        std::uint64_t returned = 0;
        /** The weight of the others that the gateway was told last. */
        std::optional<double> toldWeight;

        double weight() const;
        std::uint64_t outstanding() const;
    };
    struct Endpoint {
        std::int64_t bornMs = 0;
        std::string service;
        std::optional<RequestLimit> limit;
        double tokens = 1;
        std::uint64_t refilledMs = 0;
        std::map<std::string, Account> accounts;
    };
    void receive(Account &account, const Wire::EndpointLimitReport &report, std::uint64_t nowMs);
    /** Finds out what the endpoint said last, of what the gateways saw. */
    void mergeStatements(Endpoint &endpoint);
    /** \returns the permits that may be unused at a time */
    double burst(const Endpoint &endpoint) const;
    static std::uint64_t outstanding(const Endpoint &endpoint);
    void refill(Endpoint &endpoint, std::uint64_t nowMs) const;
    void settleEnded(Endpoint &endpoint, std::uint64_t nowMs) const;
    void prune(std::uint64_t nowMs);
    bool isFresh(const Account &account, std::uint64_t nowMs) const;
    /** Draws the gateways that get the permits that \a endpoint has tokens for. \returns the number for each */
    std::map<std::string, std::uint32_t> draw(Endpoint &endpoint, const std::set<std::string> &gateways, std::uint64_t nowMs);

    PermitIssuerOptions options;
    std::uint64_t issuerId = 0;
    std::uint64_t version = 0;
    std::map<std::string, Endpoint> endpoints;
    std::minstd_rand random;
};

} // namespace Apricothead
