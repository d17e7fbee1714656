#include "EndpointPace.h"

#include <algorithm>

namespace Apricothead {

EndpointPace::EndpointPace(EndpointPaceOptions given) : options(given)
{ }

void EndpointPace::start()
{
    this->limit = this->options.initialWindow;
    this->timely = 0;
    this->isDoubling = true;
    this->atPace = false;
}

bool EndpointPace::canTake(std::uint64_t inFlight) const
{
    return this->atPace || static_cast<double>(inFlight) < this->limit;
}

void EndpointPace::recordOthers(std::uint64_t inFlight)
{
    if (this->isDoubling) {
        this->limit = std::max(this->limit, static_cast<double>(inFlight));
    }
}

void EndpointPace::recordAnswer(double tookMs, double peerMs, double peerInFlight)
{
    if (this->atPace) {
        return;
    }
    const bool isSlow = tookMs > this->options.slowFactor * peerMs && tookMs > peerMs + this->options.minLateMs;
    if (isSlow) {
        this->backOff();
        return;
    }
    ++this->timely;
    this->limit += this->isDoubling ? 1 : 1 / this->limit;
    const bool exceedsPeers = this->limit > this->options.spareFactor * std::max(peerInFlight, 1.0);
    this->atPace = exceedsPeers && this->timely >= this->options.minTimely;
}

void EndpointPace::recordFailure()
{
    if (!this->atPace) {
        this->backOff();
    }
}

void EndpointPace::backOff()
{
    this->limit = std::max(1.0, this->options.backoff * this->limit);
    this->timely = 0;
    this->isDoubling = false;
}

bool EndpointPace::isAtPace() const
{
    return this->atPace;
}

double EndpointPace::window() const
{
    return this->limit;
}

} // namespace Apricothead
