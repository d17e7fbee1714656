#pragma once

#include <cstdint>

namespace Apricothead {

/** \class EndpointPaceOptions
 * \ingroup Decisions_Module
 * \brief How the pace of an endpoint that has just started or recovered is found.
 */
struct EndpointPaceOptions {
    /** Requests under way at a started endpoint at first, those of all gateways together. */
    double initialWindow = 4;
    /** Fraction of the window that is left after an answer that was slow or failed. */
    double backoff = 0.5;
    /** An answer is slow when it took more than this many times as long as its peers take for the same work. */
    double slowFactor = 2.5;
    /** Answers that were at most this late in ms are never slow: they differ by queueing and by the network. */
    double minLateMs = 60;
    /** The endpoint is at pace when its window exceeds the mean load of its peers by this factor. */
    double spareFactor = 1.5;
    /** Timely answers in a row without which an endpoint is not at pace. */
    unsigned minTimely = 6;

    bool operator==(const EndpointPaceOptions &) const = default;
};

/** \class EndpointPace
 * \ingroup Decisions_Module
 * \brief Finds how many requests an endpoint that has just started or recovered can take, from how it answers.
 *
 * Designed for the return of many endpoints at once: each is idle, so that every gateway prefers it, and its first requests take several times as
 * long as elsewhere. A fixed ramp floods an endpoint that needs longer, and leaves idle one that was warm all along. The window on requests under
 * way grows by one with each timely answer, which doubles it in each round, until the first slow one; then it is halved, and grows by one in each
 * round (Jacobson, Congestion avoidance and control, 1988).
 *
 * A gateway sees few of the answers. It takes what other gateways have under way there as proof that their answers were timely, so that news of
 * the pace passes with the load reports and needs no message of its own.
 */
class EndpointPace
{
public:
    EndpointPace() = default;
    explicit EndpointPace(EndpointPaceOptions options);

    /** The endpoint has started, or is back from silence, an ejection or a pause that it asked for. */
    void start();

    /** \returns whether another request may be sent while \a inFlight are under way, those of other gateways included */
    bool canTake(std::uint64_t inFlight) const;

    /** Records the number of requests that the other gateways have under way. */
    void recordOthers(std::uint64_t inFlight);

    /** Records an answer whose first event came after \a tookMs. \a peerMs: the time that peers take for the same work, by their recent answers.
     * \a peerInFlight: the mean number of requests under way at a peer */
    void recordAnswer(double tookMs, double peerMs, double peerInFlight);

    /** Records an attempt that failed or was refused. */
    void recordFailure();

    /** \returns whether the endpoint takes what its peers take; it is not limited then */
    bool isAtPace() const;

    /** \returns the number of requests that may be under way; not meaningful at pace */
    double window() const;

private:
    void backOff();

    EndpointPaceOptions options;
    double limit = 0;
    unsigned timely = 0;
    /** No answer has been slow yet. */
    bool isDoubling = true;
    bool atPace = true;
};

} // namespace Apricothead
