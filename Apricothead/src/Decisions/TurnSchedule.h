#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Apricothead {

/** \class TurnSchedule
 * \ingroup Decisions_Module
 * \brief Divides the time at an endpoint into turns, each of which belongs to one gateway, which may send one request in it.
 *
 * Needs no message for each turn: gateways that know their place and a common clock agree. Unused turns are lost rather than saved, so there are no
 * bursts. A gateway that is cut off goes on with the division that it heard last.
 */
class TurnSchedule
{
public:
    /** Sets the place of this gateway, from 0, among \a count gateways. It has no turns before the first. */
    void setPlace(std::uint32_t rank, std::uint32_t count);

    /** \returns whether the turn at \a timeMs, by a clock that all gateways share, is this gateway's and unused. \a perSecond must be positive. */
    bool canSend(const std::string &endpoint, double perSecond, std::uint64_t timeMs) const;

    void recordSent(const std::string &endpoint, double perSecond, std::uint64_t timeMs);

    void forget(const std::string &endpoint);

private:
    std::uint32_t rank = 0;
    std::uint32_t count = 0;
    /** The turn in which the last request was sent, by endpoint. */
    std::map<std::string, std::uint64_t> usedTurns;
};

} // namespace Apricothead
