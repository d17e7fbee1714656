#pragma once

#include "DecayingRate.h"
#include "TurnSchedule.h"

#include "../Protocol/Messages.h"
#include "../Protocol/RequestLimit.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class EndpointLimitsOptions
 * \ingroup Decisions_Module
 * \brief What EndpointLimits asks for, and what it allows without a leader.
 */
struct EndpointLimitsOptions {
    /** Share of a limit that all gateways together use by turns while no leader issues permits. Others may have permits meanwhile. */
    double turnShare = 0.25;
    /** Permits issued before are used up or ended after this time without the leader. */
    std::uint64_t leaderSilenceMs = 1000;
    /** Requests a second at which an endpoint that names less, even 0, is asked again: nothing else tells whether its limit has ended. */
    double minPerSecond = 0.25;
    /** Demand for which permits are wanted in advance. */
    double demandMs = 300;
    double demandAveragingMs = 3000;
    /** Demand in requests a second below which no permits are wanted in advance. */
    double minDemand = 0.05;
    /** For how long a limit that has ended is reported. */
    std::uint64_t endRetentionMs = 5000;
};

/** \class LimitSighting
 * \ingroup Decisions_Module
 * \brief What the head of an answer said of its endpoint's request limit.
 */
struct LimitSighting {
    std::string endpoint;
    std::int64_t bornMs = 0;
    std::string service;
    /** Requests a second that the endpoint takes from all gateways together; nothing when it named no limit. */
    std::optional<double> perSecond;
    /** When the request was sent that the answer belongs to. */
    std::uint64_t sentMs = 0;
};

/** \class LimitConfirmation
 * \ingroup Decisions_Module
 * \brief What the leader says of the limits, in answer to a gateway's reports.
 */
struct LimitConfirmation {
    /** All that the leader knows; nothing when they have not changed since it listed them. */
    std::optional<std::vector<Wire::EndpointLimit>> limits;
    std::vector<Wire::EndpointPermits> permits;
    std::uint64_t issuer = 0;
    /** The latest round of reports that the leader has received. */
    std::uint64_t reportRound = 0;
    /** How long ago the gateway sent the question that the leader answers. Permits are valid from then on. */
    std::uint64_t askedAgoMs = 0;
};

/** \class EndpointLimits
 * \ingroup Decisions_Module
 * \brief Keeps this gateway within its part of the request limits that endpoints name in their answers.
 *
 * A limit binds all gateways together, whatever the requests are for: first ones, repeats, parts of streams. A gateway that has seen an endpoint name
 * one sends it nothing more without a permit of the leader, who shares each limit by demand. Without a leader, gateways take turns.
 *
 * \sa PermitIssuer, TurnSchedule, updatedLimit()
 */
class EndpointLimits
{
public:
    EndpointLimits();
    explicit EndpointLimits(EndpointLimitsOptions options);

    /** Sets this gateway's place among those that take turns. \a clockOffsetMs is what the clock that all gateways share is ahead of that of \c nowMs. */
    void setPlace(std::uint32_t rank, std::uint32_t count, std::uint64_t clockOffsetMs);

    /** Records the head of an answer. \returns whether the limit in force at this gateway changed */
    bool recordAnswer(const LimitSighting &sighting, std::uint64_t nowMs);

    /** \returns the limit in force, in requests a second; nothing when there is none */
    std::optional<double> perSecond(const std::string &endpoint, std::int64_t bornMs) const;

    /** \returns whether a request may be sent now */
    bool canSend(const std::string &endpoint, std::int64_t bornMs, std::uint64_t nowMs) const;
    void recordSent(const std::string &endpoint, std::int64_t bornMs, std::uint64_t nowMs);

    /** \returns the endpoints of \a service for which this gateway holds permits */
    std::vector<std::string> permitted(const std::string &service, std::uint64_t nowMs) const;

    /** Records a request that an endpoint of \a service is wanted for. */
    void recordDemand(const std::string &service, std::uint64_t nowMs);
    /** Sets how many requests for \a service wait for an endpoint. */
    void setWaiting(const std::string &service, std::uint32_t count);

    /** \returns what the leader is told in \a round */
    std::vector<Wire::EndpointLimitReport> reports(std::uint64_t round, std::uint64_t nowMs);
    void confirm(const LimitConfirmation &confirmation, std::uint64_t nowMs);

    /** \returns the expected time in ms until this gateway may send another request to a limited endpoint of \a service, when \a ahead others wait
     * before it; nothing when none is limited. Only endpoints for which \a isUsable holds count. */
    std::optional<std::uint64_t>
    waitMs(const std::string &service, std::size_t ahead, const std::function<bool(const std::string &)> &isUsable, std::uint64_t nowMs) const;

    void forget(const std::string &endpoint);

    /** \returns the number of endpoints whose limit is in force */
    std::size_t limitedCount() const;
    /** \returns the number of permits that may be used now */
    std::size_t permitCount(std::uint64_t nowMs) const;

private:
    struct Known {
        std::int64_t bornMs = 0;
        std::string service;
        /** What this gateway saw itself. */
        std::optional<RequestLimit> seen;
        /** The first round that reported it, 0 before. */
        std::uint64_t seenRound = 0;
        /** What the leader said of all gateways' reports. */
        std::optional<RequestLimit> told;
        /** The leader's last list has the endpoint. */
        bool isListed = false;
        /** Ends of the permits that are held, the earliest first. */
        std::deque<std::uint64_t> permitEndsMs;
        /** Of the permits of the current issuer. */
        std::uint64_t issued = 0;
        std::uint64_t used = 0;
        std::uint64_t unused = 0;
        /** Weight of the other gateways that share the limit; nothing when the leader has told none. \sa permitWeight() */
        std::optional<double> othersWeight;

        /** What is newest of \c seen and \c told; null when nothing is known. */
        const RequestLimit *newest(std::uint64_t confirmedRound) const;
    };
    std::optional<double> limitOf(const Known &known) const;
    /** \a askedAgoMs: how long ago the list was asked for at the latest, and how old the ages in it may be */
    void applyList(const std::vector<Wire::EndpointLimit> &limits, std::uint64_t askedAgoMs, std::uint64_t nowMs);
    void applyTold(const Wire::EndpointLimit &limit, std::uint64_t askedAgoMs, std::uint64_t nowMs);
    void applyPermits(const Wire::EndpointPermits &permits, std::uint64_t endMs);
    /** Drops the permits that have ended. */
    static void dropEnded(Known &known, std::uint64_t nowMs);
    static bool hasPermit(const Known &known, std::uint64_t nowMs);
    /** Gives back all permits, which were issued for a higher limit. */
    static void dropPermits(Known &known);
    static void resetPermits(Known &known);
    Wire::EndpointLimitReport report(const std::string &endpoint, const Known &known, std::uint64_t nowMs) const;
    double demandOf(const std::string &service, std::uint64_t nowMs) const;
    std::uint32_t waitingFor(const std::string &service) const;
    bool hasLeader(std::uint64_t nowMs) const;
    double turnsPerSecond(double limit) const;

    EndpointLimitsOptions options;
    std::map<std::string, Known> known;
    std::map<std::string, DecayingRate> demand;
    std::map<std::string, std::uint32_t> waiting;
    TurnSchedule turns;
    std::uint32_t gatewayCount = 1;
    std::uint64_t clockOffsetMs = 0;
    std::uint64_t issuer = 0;
    std::uint64_t confirmedRound = 0;
    /** When the leader last answered; nothing before the first time. */
    std::optional<std::uint64_t> confirmedMs;
};

} // namespace Apricothead
