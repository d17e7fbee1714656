#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace Apricothead::Bench {

/** \class EngineOptions
 * \brief One model engine: continuous batching with a serial prefill, and a prefix cache.
 */
struct EngineOptions {
    unsigned slots = 16;
    /** Above 1 for an engine slower than the ordinary one. */
    double slowness = 1;
    double prefillMsPerToken = 0.2;
    double decodeBaseMs = 15;
    double decodeMsPerRun = 0.6;
    double cacheTokens = 60000;
    /** A batch that is full slows the prefill by this part. */
    double prefillInterference = 0.3;
};

/** \class Job
 * \brief One request as an engine sees it.
 */
struct Job {
    std::uint64_t id = 0;
    /** Requests with the same group share a prefix; the cache keeps the longest seen. */
    std::uint64_t group = 0;
    double prefixTokens = 0;
    double promptTokens = 0;
    double outputTokens = 0;
    bool draft = false;
    /** Tokens that each earlier turn of the group left, oldest first; empty for a first turn. */
    std::vector<double> turns;
};

/** \returns the name of what a group's prompt holds up to and with a turn */
std::uint64_t prefixName(std::uint64_t group, std::size_t turn);

/** \class EngineReport
 * \brief What an engine says of its load.
 */
struct EngineReport {
    unsigned running = 0;
    unsigned queued = 0;
    unsigned capacity = 1;
};

/** \class EnginePoolOptions
 * \brief A pool and its hooks. All times in ms of virtual time.
 */
struct EnginePoolOptions {
    std::vector<EngineOptions> engines;
    double reportEveryMs = 100;
    double reportLagMs = 1000;
    /** Share of cache events that are lost. */
    double eventGaps = 0.15;
    std::function<void(std::size_t engine, const EngineReport &report)> onReport;
    std::function<void(std::size_t engine, std::uint64_t prefix, bool evicted, double ageMs)> onCacheEvent;
    std::function<void(std::size_t engine, const Job &job)> onFirstToken;
    /** \a whole is false when the engine failed meanwhile. */
    std::function<void(std::size_t engine, const Job &job, bool whole)> onDone;
};

/** \class EnginePool
 * \brief A stand-in for a pool of engines, in virtual time.
 */
class EnginePool
{
public:
    EnginePool(EnginePoolOptions options, std::uint64_t seed);

    /** Calls \a action at \a timeMs. */
    void at(double timeMs, std::function<void()> action);

    /** Runs all events up to \a untilMs. */
    void run(double untilMs);
    double nowMs() const;

    void submit(std::size_t engine, const Job &job);

    void setSlowness(std::size_t engine, double slowness);
    /** Stops the engine: its runs end as not whole; later ones too, at once. */
    void fail(std::size_t engine);
    /** Stops all bytes and reports of the engine, without an end. */
    void silence(std::size_t engine);
    bool isAlive(std::size_t engine) const;

    /** \returns the share of prompt tokens that were found in a cache */
    double hitShare() const;

    /** \returns requests a second that the pool serves at most, without cache hits */
    double capacityPerSecond(double promptTokens, double outputTokens) const;

private:
    struct Cached {
        double tokens = 0;
        std::size_t turn = 0;
        std::list<std::uint64_t>::iterator recent;
    };
    struct Engine {
        EngineOptions options;
        std::deque<Job> interactive;
        std::deque<Job> drafts;
        std::unordered_map<std::uint64_t, Job> active;
        bool prefilling = false;
        bool alive = true;
        bool silent = false;
        unsigned epoch = 0;
        std::unordered_map<std::uint64_t, Cached> cache;
        std::list<std::uint64_t> byUse;
        double cachedTokens = 0;
    };
    struct Event {
        double timeMs = 0;
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return this->timeMs != other.timeMs ? this->timeMs > other.timeMs : this->number > other.number;
        }
    };

    void startPrefill(std::size_t engine);
    void endPrefill(std::size_t engine, const Job &job);
    void endDecode(std::size_t engine, const Job &job);
    double cacheHit(Engine &engine, const Job &job);
    void cacheStore(std::size_t engine, const Job &job);
    void tellCache(std::size_t engine, std::uint64_t prefix, bool evicted);
    void report();

    EnginePoolOptions options;
    std::mt19937_64 random;
    std::vector<Engine> engines;
    std::priority_queue<Event> events;
    std::uint64_t eventCount = 0;
    double clockMs = 0;
    double askedTokens = 0;
    double hitTokens = 0;
};

/** \class Spread
 * \brief A figure over the seeds.
 */
struct Spread {
    double mean = 0;
    double least = 0;
    double most = 0;
};

Spread spreadOf(const std::vector<double> &values);

/** \returns the \a share quantile of \a values, which it reorders; 0 when there are none */
double quantileOf(std::vector<double> &values, double share);

/** Calls \a job with 0 to \a count - 1 on a few threads. */
void inParallel(std::size_t count, const std::function<void(std::size_t)> &job);

/** \returns the text of \a spread as a JSON object, rounded */
std::string spreadJson(const Spread &spread);

/** Prints the JSON line of one aim. \returns whether it was met */
bool printAim(const std::string &bench, const std::string &aim, double value, double bound, bool met);

} // namespace Apricothead::Bench
