#pragma once

#include "support/Cluster.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace Apricothead::Test {

/** \class FaultSeries
 * \brief Faults drawn from a seed, which overlap: processes that are killed, frozen and stopped, connections that are cut, silent or refused, links
 * to a replica that hold messages for seconds and then let them through, and replicas whose disks are lost and that are replaced by empty ones at new
 * addresses, two at a time, planned or not.
 *
 * At most one entry, which carries a replica, is down at a time. Disks are lost only once the group has replaced those lost before, so that it never loses
 * more than the two that it bears. Deterministic but for the processes' own timing.
 */
class FaultSeries
{
public:
    /** Replicas that a Cluster has to have beside those of its entries. */
    static const std::vector<std::string> SoleReplicas;

    FaultSeries(Cluster &cluster, std::uint64_t seed);
    ~FaultSeries();
    FaultSeries(const FaultSeries &) = delete;
    FaultSeries &operator=(const FaultSeries &) = delete;

    /** Starts a fault. \returns how long to wait before the next call */
    std::chrono::milliseconds step();

    /** Ends all faults; none is to be started afterwards. */
    void healAll();

    /** \returns what was done, a line each. To be called after healAll(). */
    const std::string &story() const;

    /** \returns the replicas that stand beside those of the entries after all replacements */
    const std::vector<std::string> &replicas() const;

    /** \returns how many pairs of replacements were played at a time */
    unsigned pairs() const;

private:
    using Clock = std::chrono::steady_clock;
    struct Active {
        Clock::time_point until;
        std::function<void()> heal;
    };
    /** Ends faults when their time is over, also while the caller of step() waits for an answer that a fault holds up. */
    void runHealer();
    void stopHealer();
    void healDue(Clock::time_point now);
    void harmProcess(const std::string &name);
    void harmLinks(const std::string &before);
    void holdLinks();
    /** Replaces both replicas that stand beside those of the entries, each at a time of its own. */
    void replaceBoth();
    void replaceOne(std::string &name);
    bool isReplacing();
    std::string drawn(const std::vector<std::string> &names);
    std::chrono::milliseconds drawnMs(unsigned least, unsigned most);
    void note(const std::string &what);

    Cluster &cluster;
    std::mt19937_64 random;
    Clock::time_point start = Clock::now();
    /** Guards \c active and \c told. */
    std::mutex mutex;
    /** By process, or by what the relays stand before. */
    std::map<std::string, Active> active;
    std::string told;
    std::vector<std::string> soleReplicas = SoleReplicas;
    unsigned successors = 0;
    std::atomic<bool> isStopping = false;
    std::thread healer;
};

} // namespace Apricothead::Test
