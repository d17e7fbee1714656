#include "Workload.h"

#include <algorithm>

namespace Apricothead::Bench {

namespace {

constexpr double DraftShare = 0.2;
constexpr double MsPerSecond = 1000;
constexpr unsigned MostTurns = 8;

} // namespace

std::vector<PoolShape> poolShapes()
{
    return {{.name = "mulgrave", .engines = 12, .zones = 3, .entries = 3},
            {.name = "vrtula", .engines = 20, .zones = 4, .entries = 4},
            {.name = "workers-200", .engines = 200, .zones = 4, .entries = 6}};
}

std::vector<EngineOptions> makeEngines(const PoolShape &shape, std::uint64_t seed)
{
    std::mt19937_64 random(seed * 7919 + 17);
    std::uniform_real_distribution<double> slowness(0.7, 1.5);
    std::vector<EngineOptions> engines(shape.engines);
    for (EngineOptions &engine : engines) {
        engine.slowness = slowness(random);
    }
    return engines;
}

Workload::Workload(std::uint64_t seed, unsigned openSessions) : random(seed * 104729 + 3)
{
    for (unsigned i = 0; i < openSessions; ++i) {
        this->sessions.push_back(this->newSession());
        // Sessions are met in the middle of their lives.
        this->sessions.back().tokens += std::uniform_real_distribution<double>(0, 1500)(this->random);
    }
}

Workload::Session Workload::newSession()
{
    std::uniform_int_distribution<unsigned> turns(2, MostTurns);
    std::uniform_real_distribution<double> tokens(200, 900);
    return {.group = ++this->groups, .tokens = tokens(this->random), .turnsLeft = turns(this->random)};
}

Job Workload::next()
{
    const bool draft = this->uniform() < DraftShare;
    Session &session = this->sessions[static_cast<std::size_t>(this->uniform() * static_cast<double>(this->sessions.size()))];
    const double added = draft ? 600 + 1400 * this->uniform() : 80 + 320 * this->uniform();
    const double output = draft ? 250 + 350 * this->uniform() : 40 + 160 * this->uniform();
    Job job{.id = ++this->jobs,
            .group = session.group,
            .prefixTokens = session.tokens,
            .promptTokens = session.tokens + added,
            .outputTokens = output,
            .draft = draft,
            .turns = session.turns};
    session.tokens = job.promptTokens + output;
    session.turns.push_back(job.promptTokens);
    if (--session.turnsLeft == 0) {
        session = this->newSession();
    }
    return job;
}

double Workload::gapMs(double perSecond)
{
    return std::exponential_distribution<double>(perSecond)(this->random) * MsPerSecond;
}

double Workload::uniform()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

double Workload::meanPromptTokens()
{
    return 2000;
}

double Workload::meanOutputTokens()
{
    return 181;
}

} // namespace Apricothead::Bench
