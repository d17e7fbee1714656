#include "LoadPattern.h"

#include <algorithm>
#include <cmath>

namespace Apricothead::Bench {
namespace {

constexpr double MsPerSecond = 1000;
/** Spreads of the users' prompts and answers around their means, of a log-normal distribution. */
constexpr double SharedSpread = 0.7;
constexpr double OwnSpread = 1.0;
constexpr double OutputSpread = 1.2;
constexpr double MostTimesMean = 4;
/** Share of requests that the smallest model answers well, as the users state it. */
constexpr double EasyShare = 0.54;
constexpr double HotTenantShare = 0.1;
constexpr double SubjectSkew = 0.3;

class Draw
{
public:
    explicit Draw(std::uint64_t seed) : random(seed * 7919 + 11)
    { }

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    double gapMs(double perSecond)
    {
        return std::exponential_distribution<double>(perSecond / MsPerSecond)(this->random);
    }

    double spread(double mean, double sigma)
    {
        const double drawn = std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(this->random);
        return std::max(1.0, mean * std::min(MostTimesMean, drawn));
    }

    /** A subject; the first ones are asked for more often. */
    std::uint64_t subject(unsigned subjects)
    {
        return static_cast<std::uint64_t>(subjects * std::pow(this->uniform(), 1 / (1 - SubjectSkew)));
    }

private:
    std::mt19937_64 random;
};

/** A subject's shared part has the same length in all its requests. */
double tokensOfSubject(const RequestKind &kind, std::uint64_t subject)
{
    return Draw(subject * 31 + kind.priority).spread(kind.sharedTokens, SharedSpread);
}

Arrival drawArrival(const RequestKind &kind, std::size_t index, const LoadPattern &pattern, std::size_t zones, double atMs, Draw &draw)
{
    const bool isOn = atMs >= pattern.fromMs && atMs < pattern.untilMs;
    Arrival made{.atMs = atMs, .kind = index, .subject = draw.subject(kind.subjects)};
    const bool isHot = isOn && index == 0 && draw.uniform() < pattern.hotKeyShare;
    made.subject = isHot ? 0 : made.subject;
    const double extra = isOn ? HotTenantShare * (pattern.hotTenant - 1) : 0;
    const bool isHotTenant = draw.uniform() < extra / (1 + extra);
    made.subject = isHotTenant ? kind.subjects - 1 - made.subject % std::max(1U, kind.subjects / 10) : made.subject;
    const double longer = isOn ? pattern.longerAnswers : 1;
    made.sharedTokens = tokensOfSubject(kind, made.subject) / longer;
    made.ownTokens = draw.spread(kind.ownTokens, OwnSpread) / longer;
    made.outputTokens = std::ceil(draw.spread(kind.outputTokens, OutputSpread) * longer);
    made.zone = static_cast<std::size_t>(draw.uniform() * static_cast<double>(zones));
    made.zone = isOn && made.zone == 0 && draw.uniform() < pattern.shiftedShare ? 1 : made.zone;
    made.isEasy = draw.uniform() < EasyShare;
    made.isImpatient = draw.uniform() < (isOn ? pattern.impatientShare : 0);
    made.leavesAfterMs = draw.uniform() < (isOn ? pattern.leavingShare : 0) ? draw.uniform() * MsPerSecond : 0;
    return made;
}

} // namespace

std::vector<RequestKind> vrtulaKinds()
{
    return {
        {.name = "long-draft",
         .perSecond = 14.6,
         .sharedTokens = 13300,
         .ownTokens = 3720,
         .outputTokens = 120,
         .aimMs = 4000,
         .deadlineMs = 20000,
         .worth = 3.2,
         .lateWorth = 0.97,
         .priority = 1,
         .subjects = 125},
        {.name = "summary",
         .perSecond = 11,
         .sharedTokens = 6300,
         .ownTokens = 2890,
         .outputTokens = 52,
         .aimMs = 3000,
         .deadlineMs = 10000,
         .worth = 2.7,
         .lateWorth = 0.8,
         .priority = 0,
         .subjects = 140},
        {.name = "question",
         .perSecond = 21.7,
         .sharedTokens = 350,
         .ownTokens = 1110,
         .outputTokens = 172,
         .aimMs = 2000,
         .deadlineMs = 20000,
         .worth = 0.34,
         .lateWorth = 0.1,
         .priority = 2,
         .subjects = 279},
    };
}

std::vector<LoadPattern> loadPatterns()
{
    return {
        {.name = "calm"},
        {.name = "burst", .burst = 1.7},
        {.name = "hot-key", .hotKeyShare = 0.4},
        {.name = "hot-tenant", .hotTenant = 7.5},
        {.name = "impatient", .burst = 1.3, .impatientShare = 0.4},
        {.name = "leaving", .burst = 1.3, .leavingShare = 0.2},
        {.name = "zone-shift", .shiftedShare = 0.8},
        {.name = "third-lost", .lostShare = 0.33},
        {.name = "one-slow", .slowness = 5},
        {.name = "long-answers", .longerAnswers = 3},
    };
}

std::vector<Arrival> drawArrivals(const std::vector<RequestKind> &kinds, const LoadPattern &pattern, double lengthMs, std::size_t zones, std::uint64_t seed)
{
    std::vector<Arrival> arrivals;
    Draw draw(seed);
    for (std::size_t index = 0; index < kinds.size(); ++index) {
        double atMs = 0;
        while (true) {
            const bool isOn = atMs >= pattern.fromMs && atMs < pattern.untilMs;
            const double factor = isOn ? pattern.burst * (1 + HotTenantShare * (pattern.hotTenant - 1)) : 1;
            atMs += draw.gapMs(kinds[index].perSecond * factor);
            if (atMs >= lengthMs) {
                break;
            }
            arrivals.push_back(drawArrival(kinds[index], index, pattern, zones, atMs, draw));
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(), [](const Arrival &first, const Arrival &second) {
        return first.atMs < second.atMs;
    });
    return arrivals;
}

} // namespace Apricothead::Bench
