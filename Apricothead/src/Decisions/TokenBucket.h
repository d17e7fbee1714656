#pragma once

namespace Apricothead {

/** \class TokenBucket
 * \ingroup Decisions_Module
 * \brief Tokens that flow in at a rate up to a bound. Times in ms of one monotonic clock, rate in tokens a second.
 */
class TokenBucket
{
public:
    TokenBucket(double ratePerSecond, double burst, double nowMs);

    /** Changes rate and bound; the level stays, within the new bound. */
    void setRate(double ratePerSecond, double burst, double nowMs);

    /** \returns the time until \a amount, or a full bucket if that is less, is there; 0 when it is there now */
    double waitMs(double amount, double nowMs) const;

    /** Takes \a amount, also below zero: the debt is paid by later inflow. A negative amount gives back. */
    void consume(double amount, double nowMs);

    double level(double nowMs) const;

private:
    double rate;
    double capacity;
    double storedTokens;
    double updatedMs;
};

} // namespace Apricothead
