#pragma once

#include "TurnSchedule.h"

#include <cstdint>
#include <string>

namespace Apricothead {

/** \class ColdRateOptions
 * \ingroup Decisions_Module
 * \brief The bound on requests to a cold endpoint: \c ratio times the rate that it bears, and \c slack more, in any one second.
 */
struct ColdRateOptions {
    double ratio = 1.5;
    double slack = 5;
};

/** \class ColdRate
 * \ingroup Decisions_Module
 * \brief Decides when this gateway may send a request to an endpoint that is cold, so that all gateways together stay within its bound.
 *
 * Designed for the return of a whole availability zone: each gateway finds many endpoints idle, and one request from each gateway would be more than
 * a cold endpoint bears. A share of the rate is below one request a second with dozens of gateways, so they take turns.
 *
 * A gateway that is cut off goes on with the place and the number of gateways that it heard last, while the others divide the turns anew. There are
 * therefore so few turns that two such divisions at a time stay within the bound.
 * \sa TurnSchedule
 */
class ColdRate
{
public:
    ColdRate();
    explicit ColdRate(ColdRateOptions options);

    /** Sets the place of this gateway, from 0, among \a count gateways. Nothing is sent before the first. */
    void setPlace(std::uint32_t rank, std::uint32_t count);

    /** \returns the number of turns a second for an endpoint that bears \a perSecond requests */
    double turnsPerSecond(double perSecond) const;

    /** \returns whether the turn at \a timeMs, by a clock that all gateways share, is this gateway's and unused. \a perSecond must be positive. */
    bool canSend(const std::string &endpoint, double perSecond, std::uint64_t timeMs) const;

    void recordSent(const std::string &endpoint, double perSecond, std::uint64_t timeMs);

    /** Forgets an endpoint that is warm or gone. */
    void forget(const std::string &endpoint);

private:
    ColdRateOptions options;
    TurnSchedule turns;
};

} // namespace Apricothead
