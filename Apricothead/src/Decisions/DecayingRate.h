#pragma once

#include <cstdint>

namespace Apricothead {

/** \class DecayingRate
 * \ingroup Decisions_Module
 * \brief Rate of events per second, in which older events count exponentially less. Times are ms of one monotonic clock.
 */
class DecayingRate
{
public:
    /** \a averagingMs: the age at which an event counts 1/e of a new one */
    explicit DecayingRate(double averagingMs);

    void add(double amount, double nowMs);
    double perSecond(double nowMs) const;

private:
    double averagingMs;
    double rate = 0;
    double updatedMs = 0;
};

} // namespace Apricothead
