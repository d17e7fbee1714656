#pragma once

#include "Cluster.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Apricothead::Test {

/** \enum LoadKind
 * \brief The kinds of requests a Load sends.
 */
enum class LoadKind {
    Plain,
    Streamed,
    Order,
};

/** \class LoadResult
 * \brief One request of a Load and its answer.
 */
struct LoadResult {
    LoadKind kind = LoadKind::Plain;
    std::string key;
    unsigned entry = 0;
    HttpAnswer answer;

    /** \returns true when the caller has the whole answer to its own request */
    bool isWhole(unsigned tokens) const;
    /** \returns true when the caller was refused with verdict not-run, or never reached the entry */
    bool isNotRun() const;
};

/** \class Load
 * \brief Sends requests of all kinds to entries from several threads until it is stopped.
 */
class Load
{
public:
    Load(const Cluster &cluster, std::vector<unsigned> entries, unsigned threads, unsigned tokens);
    ~Load();
    Load(const Load &) = delete;
    Load &operator=(const Load &) = delete;

    /** Sends nothing more to \a entry, as a balancer that has seen it leave. */
    void avoid(unsigned entry);
    /** Ends when the requests under way have been answered. */
    std::vector<LoadResult> stop();
    std::size_t sent() const;

private:
    void work(unsigned thread);
    LoadResult request(unsigned entry, LoadKind kind, const std::string &key) const;

    const Cluster &cluster;
    std::vector<unsigned> entries;
    unsigned tokens;
    std::atomic<bool> isStopped = false;
    std::atomic<unsigned> next = 0;
    std::atomic<unsigned> avoided = ~0U;
    mutable std::mutex mutex;
    std::vector<LoadResult> results;
    std::vector<std::thread> threads;
};

/** \returns a line for each answer of \a results that is neither whole nor refused as not run, empty when there is none */
std::string badAnswers(const std::vector<LoadResult> &results, unsigned tokens);

/** \returns a line for each request whose runs do not fit its answer: whole is one run, not run is none; \a mayMove allows a repeatable one more */
std::string badRuns(const Cluster &cluster, const std::vector<LoadResult> &results, unsigned tokens, bool mayMove = false);

/** \returns how many of \a results are whole */
std::size_t wholeCount(const std::vector<LoadResult> &results, unsigned tokens);

} // namespace Apricothead::Test
