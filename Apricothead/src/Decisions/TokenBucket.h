#pragma once

namespace Apricothead {

/** \class TokenBucket
 * \ingroup Decisions_Module
 * \brief Token bucket with a capacity and a refill rate. Times are ms of one monotonic clock; the rate is in tokens per second.
 */
class TokenBucket
{
public:
    TokenBucket(double ratePerSecond, double burst, double nowMs);

    /** Changes the rate and the capacity; the level is kept, but clamped to the new capacity. */
    void setRate(double ratePerSecond, double burst, double nowMs);

    /** \returns the time in ms until the bucket holds \a amount, or is full if \a amount exceeds its capacity; 0 when it does now */
    double waitMs(double amount, double nowMs) const;

    /** Removes \a amount. The level may become negative; later refill pays off the debt. A negative \a amount returns tokens. */
    void consume(double amount, double nowMs);

    double level(double nowMs) const;

private:
    double rate;
    double capacity;
    double storedTokens;
    double updatedMs;
};

} // namespace Apricothead
