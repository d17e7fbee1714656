#pragma once

#include "support/Cluster.h"

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace Apricothead::Test {

/** \class FaultSeries
 * \brief Faults drawn from a seed, which overlap: processes that are killed, frozen and stopped, connections that are cut, silent or refused.
 *
 * At most one entry, which carries a replica, is down at a time: that is what three replicas bear. Deterministic but for the processes' own timing.
 */
class FaultSeries
{
public:
    FaultSeries(Cluster &cluster, std::uint64_t seed);

    /** Starts a fault, or ends those whose time is over. \returns how long to wait before the next call */
    std::chrono::milliseconds step();

    /** Ends all faults. */
    void healAll();

    /** \returns what was done, a line each */
    const std::string &story() const;

private:
    using Clock = std::chrono::steady_clock;
    struct Active {
        Clock::time_point until;
        std::function<void()> heal;
    };
    void healDue(Clock::time_point now);
    void harmProcess(const std::string &name);
    void harmLinks(const std::string &before);
    std::string drawn(const std::vector<std::string> &names);
    std::chrono::milliseconds drawnMs(unsigned least, unsigned most);
    void note(const std::string &what);

    Cluster &cluster;
    std::mt19937_64 random;
    Clock::time_point start = Clock::now();
    /** By process, or by what the relays stand before. */
    std::map<std::string, Active> active;
    std::string told;
};

} // namespace Apricothead::Test
