#pragma once

#include "BatchEngine.h"
#include "LoadPattern.h"

#include <Apricothead/Decisions>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Apricothead::Bench {

/** \enum Placing
 * \brief How gateways place requests: ours, or a baseline.
 */
enum class Placing {
    /** DirectEndpoints, with what gateways tell each other. */
    Ours,
    /** The next engine in turn, requests in the order in which they come. */
    FirstComeFirstServed,
    /** As before, and refused where the engine's queue is full. */
    RefuseAtFullQueue,
    /** The engine with the fewest requests that this gateway knows of. */
    LeastLoaded,
    /** The engine that the shared part's hash names. */
    HashOnly,
};

std::string placingName(Placing placing);

/** \class FleetOptions
 * \brief Engines and gateways of one replay. Gateways hear of each other's work with the lag of the real ones.
 */
struct FleetOptions {
    unsigned engines = 18;
    unsigned gateways = 6;
    unsigned zones = 4;
    BatchEngineOptions engine;
    DirectEndpointsOptions decisions;
    std::vector<RequestKind> kinds = vrtulaKinds();
    Placing placing = Placing::Ours;
    /** Whether gateways tell each other the prompts that they sent, besides their work. */
    bool tellsPrompts = true;
    /** Whether gateways know of how many they are. */
    bool knowsGateways = true;
    double heartbeatMs = 100;
    double tellingLagMs = 75;
    double hopMs = 1.5;
    double lengthMs = 34000;
    /** Engine time of the smallest and the largest model for the same work, as the users state it. */
    double smallestPace = 0.3;
    double largestPace = 3;
};

/** \class KindFigures
 * \brief How the requests of one kind ended.
 */
struct KindFigures {
    unsigned asked = 0;
    unsigned inAim = 0;
    unsigned late = 0;
    unsigned unserved = 0;
    double worth = 0;
    double owed = 0;
    std::vector<double> firstMs;
};

/** \class FleetFigures
 * \brief How one replay went. Callers that leave by themselves owe nothing.
 */
struct FleetFigures {
    std::vector<KindFigures> kinds;
    double readTokens = 0;
    double askedTokens = 0;
    std::uint64_t preemptions = 0;

    /** \returns the share of what the answers could have been worth */
    double worth() const;
    double lateShare() const;
    double unservedShare() const;
};

/** \class Fleet
 * \brief Replays a load pattern against engines in virtual time, with the decisions of the product or a baseline's.
 */
class Fleet
{
public:
    Fleet(FleetOptions options, std::uint64_t seed);
    ~Fleet();

    FleetFigures replay(const LoadPattern &pattern);

private:
    struct Call;
    struct Gateway;

    void arrive(const Arrival &arrival);
    void send(const std::shared_ptr<Call> &call);
    std::optional<EndpointChoice> choose(const std::shared_ptr<Call> &call);
    std::optional<EndpointChoice> chooseBaseline(const std::shared_ptr<Call> &call);
    std::optional<std::size_t> baselineEngine(const std::shared_ptr<Call> &call);
    bool mayTake(const Call &call, std::size_t engine) const;
    void firstToken(const std::shared_ptr<Call> &call);
    void done(const std::shared_ptr<Call> &call, bool whole);
    void endAttempt(Call &call, AttemptOutcome end);
    void refuse(const std::shared_ptr<Call> &call);
    void finish(Call &call, bool served);
    void tell();
    void disturb(const LoadPattern &pattern);
    /** An engine that was lost starts anew, cold. */
    void restart(std::size_t engine, const LoadPattern &pattern);
    void announce(Gateway &gateway, std::size_t engine, std::int64_t bornMs) const;

    FleetOptions options;
    VirtualClock clock;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<BatchEngine>> engines;
    std::vector<std::unique_ptr<Gateway>> gateways;
    FleetFigures figures;
    std::uint64_t calls = 0;
};

} // namespace Apricothead::Bench
