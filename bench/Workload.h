#pragma once

#include "EnginePool.h"

namespace Apricothead::Bench {

/** \class PoolShape
 * \brief One of the pools that the benches use: how many unlike engines in how many availability zones.
 */
struct PoolShape {
    std::string name;
    unsigned engines = 12;
    unsigned zones = 3;
    unsigned entries = 3;
};

/** \returns the pools of Mulgrave and Vrtuľa, and one of 200 workers */
std::vector<PoolShape> poolShapes();

/** \returns engines of unlike pace, drawn from \a seed */
std::vector<EngineOptions> makeEngines(const PoolShape &shape, std::uint64_t seed);

/** \class Workload
 * \brief Draws requests: turns of sessions whose prompts grow, and long drafts over job histories that are used again.
 */
class Workload
{
public:
    Workload(std::uint64_t seed, unsigned openSessions);

    Job next();
    /** \returns the time to the next arrival at \a perSecond requests a second, in ms */
    double gapMs(double perSecond);
    double uniform();

    /** \returns mean tokens of a prompt and of an answer, for the capacity */
    static double meanPromptTokens();
    static double meanOutputTokens();

private:
    struct Session {
        std::uint64_t group = 0;
        double tokens = 0;
        unsigned turnsLeft = 0;
        std::vector<double> turns;
    };

    Session newSession();

    std::mt19937_64 random;
    std::vector<Session> sessions;
    std::uint64_t groups = 0;
    std::uint64_t jobs = 0;
};

} // namespace Apricothead::Bench
