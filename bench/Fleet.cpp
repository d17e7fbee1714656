#include "Fleet.h"

#include <algorithm>
#include <map>
#include <numeric>

namespace Apricothead::Bench {
namespace {

constexpr std::size_t SmallestModel = 0;
constexpr std::size_t LargestModel = 1;
constexpr std::uint64_t ModelMix = 0x9E3779B97F4A7C15;
constexpr unsigned MostSends = 5;
constexpr unsigned MostCallerRetries = 1;
constexpr unsigned MostImpatientRetries = 4;
/** A refused caller comes back after this part of its time, as gateways tell it. */
constexpr double RetryAfterPart = 0.15;
/** Requests of one gateway at one engine from which the baseline with full queues refuses: an engine's slots, shared by the gateways. */
constexpr std::uint64_t FullQueue = 12;
/** A wrong answer of the smallest model earns this part, as the users state it. */
constexpr double PoorPart = 0.05;

std::string engineName(std::size_t engine)
{
    return "engine-" + std::to_string(engine);
}

std::size_t engineIndex(const std::string &name)
{
    return std::stoul(name.substr(name.find('-') + 1));
}

std::string zoneName(std::size_t zone)
{
    return "zone-" + std::to_string(zone);
}

std::uint64_t sharedId(const Arrival &arrival)
{
    return arrival.kind * 1'000'003 + arrival.subject + 1;
}

} // namespace

std::string placingName(Placing placing)
{
    switch (placing) {
    case Placing::Ours:
        return "ours";
    case Placing::FirstComeFirstServed:
        return "first-come-first-served";
    case Placing::RefuseAtFullQueue:
        return "refuse-at-full-queue";
    case Placing::LeastLoaded:
        return "least-loaded";
    case Placing::HashOnly:
        return "hash-only";
    }
    return {};
}

/** One caller's request, through all its attempts. */
struct Fleet::Call {
    Arrival arrival;
    std::uint64_t id = 0;
    Gateway *gateway = nullptr;
    std::size_t model = SmallestModel;
    std::vector<std::string> avoid;
    std::optional<EndpointChoice> choice;
    EndpointQuery question;
    double sentMs = 0;
    double firstMs = -1;
    double deadlineMs = 0;
    unsigned sends = 0;
    unsigned callerRetries = 0;
    bool wasAnswered = false;
    bool isEnded = false;
};

struct Fleet::Gateway {
    Gateway(const DirectEndpointsOptions &options, unsigned engines) : endpoints(options), running(engines)
    { }
    DirectEndpoints endpoints;
    /** For the baselines: own requests at each engine. */
    std::vector<std::uint64_t> running;
    std::size_t turn = 0;
};

double FleetFigures::worth() const
{
    double worth = 0;
    double owed = 0;
    for (const KindFigures &kind : this->kinds) {
        worth += kind.worth;
        owed += kind.owed;
    }
    return owed > 0 ? worth / owed : 0;
}

double FleetFigures::lateShare() const
{
    double late = 0;
    double asked = 0;
    for (const KindFigures &kind : this->kinds) {
        late += kind.late;
        asked += kind.asked;
    }
    return asked > 0 ? late / asked : 0;
}

double FleetFigures::unservedShare() const
{
    double unserved = 0;
    double asked = 0;
    for (const KindFigures &kind : this->kinds) {
        unserved += kind.unserved;
        asked += kind.asked;
    }
    return asked > 0 ? unserved / asked : 0;
}

Fleet::Fleet(FleetOptions given, std::uint64_t seed) : options(std::move(given)), random(seed)
{
    for (unsigned engine = 0; engine < this->options.engines; ++engine) {
        this->engines.push_back(std::make_unique<BatchEngine>(this->clock, this->options.engine));
    }
    for (unsigned number = 0; number < this->options.gateways; ++number) {
        DirectEndpointsOptions decisions = this->options.decisions;
        decisions.availabilityZone = zoneName(number % this->options.zones);
        auto gateway = std::make_unique<Gateway>(decisions, this->options.engines);
        gateway->endpoints.setGatewayCount(this->options.knowsGateways ? this->options.gateways : 1);
        for (unsigned engine = 0; engine < this->options.engines; ++engine) {
            this->announce(*gateway, engine, 1);
        }
        this->gateways.push_back(std::move(gateway));
    }
    this->figures.kinds.resize(this->options.kinds.size());
}

Fleet::~Fleet() = default;

FleetFigures Fleet::replay(const LoadPattern &pattern)
{
    for (const Arrival &arrival : drawArrivals(this->options.kinds, pattern, this->options.lengthMs, this->options.zones, this->random())) {
        this->clock.at(arrival.atMs, [this, arrival] {
            this->arrive(arrival);
        });
    }
    this->disturb(pattern);
    this->clock.after(this->options.heartbeatMs, [this] {
        this->tell();
    });
    constexpr double LongestDeadlineMs = 20000;
    this->clock.run(this->options.lengthMs + LongestDeadlineMs);
    for (const auto &engine : this->engines) {
        this->figures.readTokens += engine->readTokens();
        this->figures.askedTokens += engine->askedTokens();
        this->figures.preemptions += engine->preemptions();
    }
    return this->figures;
}

void Fleet::disturb(const LoadPattern &pattern)
{
    const auto lost = static_cast<std::size_t>(pattern.lostShare * static_cast<double>(this->engines.size()));
    for (std::size_t engine = 0; engine < lost; ++engine) {
        this->clock.at(pattern.fromMs, [this, engine] {
            this->engines[engine]->fail();
        });
        this->clock.at(pattern.untilMs, [this, engine, pattern] {
            this->restart(engine, pattern);
        });
    }
    if (pattern.slowness <= 1) {
        return;
    }
    this->clock.at(pattern.fromMs, [this, slowness = pattern.slowness] {
        this->engines.back()->setSlowness(slowness);
    });
    this->clock.at(pattern.untilMs, [this] {
        this->engines.back()->setSlowness(1);
    });
}

void Fleet::announce(Gateway &gateway, std::size_t engine, std::int64_t bornMs) const
{
    Wire::EndpointAnnouncement made;
    made.set_endpoint(engineName(engine));
    made.set_service("pool");
    made.set_address(engineName(engine));
    made.set_version("v1");
    made.set_availability_zone(zoneName(engine % this->options.zones));
    made.set_state(Wire::ANNOUNCED_STATE_READY);
    made.set_born_ms(bornMs);
    gateway.endpoints.applyAnnouncement(made);
}

void Fleet::restart(std::size_t engine, const LoadPattern &pattern)
{
    this->engines[engine]->restore();
    if (pattern.coldMs <= 0) {
        return;
    }
    this->engines[engine]->setSlowness(pattern.coldSlowness);
    this->clock.after(pattern.coldMs, [this, engine] {
        this->engines[engine]->setSlowness(1);
    });
    for (const auto &gateway : this->gateways) {
        this->announce(*gateway, engine, 2);
    }
}

void Fleet::tell()
{
    std::vector<std::vector<Wire::EndpointLoad>> told;
    told.reserve(this->gateways.size());
    for (const auto &gateway : this->gateways) {
        told.push_back(gateway->endpoints.takeOwnLoads());
    }
    for (std::size_t to = 0; to < this->gateways.size(); ++to) {
        std::map<std::string, Wire::EndpointLoad> sums;
        for (std::size_t from = 0; from < told.size(); ++from) {
            if (from == to) {
                continue;
            }
            for (const Wire::EndpointLoad &load : told[from]) {
                Wire::EndpointLoad &sum = sums[load.endpoint()];
                sum.set_endpoint(load.endpoint());
                sum.set_awaiting_ms(sum.awaiting_ms() + load.awaiting_ms());
                sum.set_running(sum.running() + load.running());
                if (!this->options.tellsPrompts) {
                    continue;
                }
                sum.mutable_prefixes()->MergeFrom(load.prefixes());
                sum.mutable_prefix_tokens()->MergeFrom(load.prefix_tokens());
            }
        }
        std::vector<Wire::EndpointLoad> loads;
        loads.reserve(sums.size());
        for (const auto &[name, sum] : sums) {
            loads.push_back(sum);
        }
        this->clock.after(this->options.tellingLagMs, [this, to, loads = std::move(loads)] {
            this->gateways[to]->endpoints.setOtherLoads(loads);
            this->gateways[to]->endpoints.recordOtherPrompts({loads.begin(), loads.end()});
        });
    }
    this->clock.after(this->options.heartbeatMs, [this] {
        this->tell();
    });
}

void Fleet::arrive(const Arrival &arrival)
{
    const RequestKind &kind = this->options.kinds[arrival.kind];
    auto call = std::make_shared<Call>();
    call->arrival = arrival;
    call->id = ++this->calls;
    const std::size_t perZone = std::max<std::size_t>(1, this->gateways.size() / this->options.zones);
    const std::size_t place = arrival.zone + this->options.zones * (call->id % perZone);
    call->gateway = this->gateways[place % this->gateways.size()].get();
    call->deadlineMs = arrival.atMs + (arrival.leavesAfterMs > 0 ? arrival.leavesAfterMs : kind.deadlineMs);
    this->clock.at(call->deadlineMs, [this, call] {
        if (!call->isEnded) {
            this->endAttempt(*call, AttemptOutcome::Cancelled);
            this->finish(*call, false);
        }
    });
    this->send(call);
}

bool Fleet::mayTake(const Call &call, std::size_t engine) const
{
    return std::find(call.avoid.begin(), call.avoid.end(), engineName(engine)) == call.avoid.end();
}

std::optional<std::size_t> Fleet::baselineEngine(const std::shared_ptr<Call> &call)
{
    Gateway &gateway = *call->gateway;
    const std::uint64_t hash = sharedId(call->arrival) * ModelMix >> 20;
    std::optional<std::size_t> best;
    for (std::size_t step = 0; step < this->engines.size(); ++step) {
        const bool isHashed = this->options.placing == Placing::HashOnly;
        const std::size_t engine = ((isHashed ? hash : gateway.turn) + step) % this->engines.size();
        if (!this->mayTake(*call, engine)) {
            continue;
        }
        if (this->options.placing != Placing::LeastLoaded) {
            best = engine;
            break;
        }
        best = !best || gateway.running[engine] < gateway.running[*best] ? engine : *best;
    }
    gateway.turn = best ? *best + 1 : gateway.turn;
    const bool isFull = best && this->options.placing == Placing::RefuseAtFullQueue && gateway.running[*best] >= FullQueue;
    return isFull ? std::nullopt : best;
}

std::optional<EndpointChoice> Fleet::chooseBaseline(const std::shared_ptr<Call> &call)
{
    const std::optional<std::size_t> engine = this->baselineEngine(call);
    return engine ? std::optional(EndpointChoice{.endpoint = engineName(*engine)}) : std::nullopt;
}

std::optional<EndpointChoice> Fleet::choose(const std::shared_ptr<Call> &call)
{
    const Arrival &arrival = call->arrival;
    call->question = EndpointQuery{
        .service = "pool",
        .avoid = call->avoid,
        .prompt = {{.id = sharedId(arrival), .tokens = static_cast<std::uint64_t>(arrival.sharedTokens)},
                   {.id = call->id << 24, .tokens = static_cast<std::uint64_t>(arrival.ownTokens)}},
        .model = call->model == SmallestModel ? "smallest" : "largest",
    };
    return this->options.placing == Placing::Ours ? call->gateway->endpoints.choose(call->question, static_cast<std::uint64_t>(this->clock.nowMs()))
                                                  : this->chooseBaseline(call);
}

void Fleet::send(const std::shared_ptr<Call> &call)
{
    const std::optional<EndpointChoice> choice = call->sends < MostSends ? this->choose(call) : std::nullopt;
    if (!choice) {
        this->refuse(call);
        return;
    }
    const auto nowMs = static_cast<std::uint64_t>(this->clock.nowMs());
    ++call->sends;
    call->choice = choice;
    call->sentMs = this->clock.nowMs();
    call->wasAnswered = false;
    call->gateway->endpoints.recordStart(call->question, *choice);
    const std::size_t engine = engineIndex(choice->endpoint);
    ++call->gateway->running[engine];
    const std::uint64_t modelPart = call->model * ModelMix;
    const std::uint64_t attempt = call->id * MostSends * 2 + call->sends;
    const auto guarded = [this, call, attempt](const std::function<void()> &action) {
        const bool isCurrent = !call->isEnded && call->choice && call->id * MostSends * 2 + call->sends == attempt;
        if (isCurrent) {
            action();
        }
    };
    const RequestKind &kind = this->options.kinds[call->arrival.kind];
    BatchJob job{
        .id = attempt,
        .prompt = {{.prefix = sharedId(call->arrival) ^ modelPart, .tokens = call->arrival.sharedTokens},
                   {.prefix = (call->id << 24) ^ modelPart, .tokens = call->arrival.ownTokens}},
        .outputTokens = call->arrival.outputTokens,
        .pace = call->model == SmallestModel ? this->options.smallestPace : this->options.largestPace,
        .priority = this->options.placing == Placing::Ours ? kind.priority : 5,
        .onFirstToken =
            [this, call, guarded] {
                guarded([this, call] {
                    this->firstToken(call);
                });
            },
        .onDone =
            [this, call, guarded](bool whole) {
                guarded([this, call, whole] {
                    this->done(call, whole);
                });
            },
    };
    this->clock.after(this->options.hopMs, [this, engine, job = std::move(job)]() mutable {
        this->engines[engine]->submit(std::move(job));
    });
}

void Fleet::endAttempt(Call &call, AttemptOutcome end)
{
    if (!call.choice) {
        return;
    }
    const std::size_t engine = engineIndex(call.choice->endpoint);
    call.gateway->endpoints.recordEnd(*call.choice, end, call.wasAnswered, static_cast<std::uint64_t>(this->clock.nowMs()));
    call.gateway->running[engine] -= 1;
    this->engines[engine]->cancel(call.id * MostSends * 2 + call.sends);
    call.choice.reset();
}

void Fleet::firstToken(const std::shared_ptr<Call> &call)
{
    const double nowMs = this->clock.nowMs();
    call->gateway->endpoints.recordAnswer(*call->choice, static_cast<std::uint64_t>(nowMs - call->sentMs), static_cast<std::uint64_t>(nowMs));
    call->wasAnswered = true;
    if (call->model == SmallestModel && !call->arrival.isEasy && call->firstMs < 0) {
        const ModelEscalation ladder;
        const double usedMs = nowMs - call->arrival.atMs;
        call->model = LargestModel;
        const std::optional<EndpointChoice> next = this->choose(call);
        call->model = SmallestModel;
        const bool wanted = next
            && ladder.shouldEscalate(
                {.confidence = 0, .objectiveLeftMs = this->options.kinds[call->arrival.kind].aimMs - usedMs, .expectedMs = next->expectedMs});
        if (wanted) {
            this->endAttempt(*call, AttemptOutcome::Complete);
            call->model = LargestModel;
            call->avoid.clear();
            this->send(call);
            return;
        }
    }
    call->firstMs = call->firstMs < 0 ? nowMs : call->firstMs;
}

void Fleet::done(const std::shared_ptr<Call> &call, bool whole)
{
    const std::string endpoint = call->choice->endpoint;
    this->endAttempt(*call, whole ? AttemptOutcome::Complete : AttemptOutcome::Incomplete);
    if (whole) {
        this->finish(*call, true);
        return;
    }
    call->avoid.push_back(endpoint);
    this->send(call);
}

void Fleet::refuse(const std::shared_ptr<Call> &call)
{
    const unsigned most = call->arrival.isImpatient ? MostImpatientRetries : MostCallerRetries;
    if (call->callerRetries == most) {
        this->finish(*call, false);
        return;
    }
    ++call->callerRetries;
    call->sends = 0;
    call->avoid.clear();
    // The attempts of the former try are over: their numbers may come again.
    call->id = ++this->calls;
    const double waitMs = call->arrival.isImpatient ? 1 : RetryAfterPart * (call->deadlineMs - this->clock.nowMs());
    this->clock.after(waitMs, [this, call] {
        if (!call->isEnded) {
            this->send(call);
        }
    });
}

void Fleet::finish(Call &call, bool served)
{
    call.isEnded = true;
    const RequestKind &kind = this->options.kinds[call.arrival.kind];
    KindFigures &counted = this->figures.kinds[call.arrival.kind];
    if (call.arrival.leavesAfterMs > 0) {
        return;
    }
    ++counted.asked;
    counted.owed += kind.worth;
    if (!served) {
        ++counted.unserved;
        return;
    }
    const double firstMs = call.firstMs - call.arrival.atMs;
    const bool isInAim = firstMs <= kind.aimMs;
    const bool isPoor = !call.arrival.isEasy && call.model == SmallestModel;
    counted.firstMs.push_back(firstMs);
    counted.inAim += isInAim ? 1 : 0;
    counted.late += isInAim ? 0 : 1;
    counted.worth += (isInAim ? kind.worth : kind.lateWorth) * (isPoor ? PoorPart : 1);
}

} // namespace Apricothead::Bench
