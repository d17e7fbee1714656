// Processor time for one routing decision with few and many workers in view.
#include "EnginePool.h"

#include <Apricothead/Coordination>
#include <Apricothead/Decisions>

#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <iostream>
#include <memory>

using namespace Apricothead;
using namespace Apricothead::Bench;

namespace {

constexpr unsigned Seeds = 10;
constexpr unsigned Decisions = 20000;
constexpr unsigned KnownSessions = 5000;
constexpr double BoundMicros = 20;

/** \returns microseconds for one decision: prefix lookup, choice and bookkeeping */
double microsPerDecision(unsigned workers, unsigned seed)
{
    EndpointTracker tracker;
    PrefixIndex prefixes;
    std::mt19937_64 engine(seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    const RandomSource random = [&] {
        return uniform(engine);
    };
    for (unsigned i = 0; i < workers; ++i) {
        const std::string name = "worker-" + std::to_string(i);
        tracker.addOrUpdate(name, "z" + std::to_string(i % 4), 1, {{"chat", "v1"}, {"chat", "v2"}}, 1);
        tracker.report(name, {.running = i % 16, .queued = i % 3, .capacity = 16}, 1);
    }
    tracker.tick(60000);
    std::vector<std::vector<PrefixBlock>> chains;
    for (std::uint64_t i = 0; i < KnownSessions; ++i) {
        chains.push_back({{.hash = i * 8 + 2, .share = 1}, {.hash = i * 8 + 1, .share = 0.7}, {.hash = 1, .share = 0.2}});
        prefixes.recordDispatch(chains.back(), "worker-" + std::to_string(i % workers), 50000);
    }
    for (unsigned i = 0; i < workers; ++i) {
        tracker.report("worker-" + std::to_string(i), {.running = i % 16, .queued = i % 3, .capacity = 16}, 60000);
    }
    tracker.tick(60000);
    RoutingRequest request{.model = "chat", .version = "v1", .availabilityZone = "z1", .promptTokens = 2000, .homeShare = 0.7, .nowMs = 60001, .entries = 3};
    std::size_t found = 0;
    const auto start = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < Decisions; ++i) {
        const std::vector<PrefixBlock> &chain = chains[i % chains.size()];
        request.prefixes = prefixes.lookup(chain, 60001);
        request.homeKey = i % chains.size() + 1;
        const RoutingDecision decision = tracker.table().choose(request, random);
        found += decision.endpoint.empty() ? 0 : 1;
        const RunHandle ticket = tracker.recordStart(decision, 60001);
        tracker.recordEnd(ticket, RunOutcome::Neutral, 60001);
    }
    const double took = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
    return found == Decisions ? took / Decisions : 1e9;
}

/** \returns the endpoints of a gateway, each with some work and some prompts in its memory */
std::unique_ptr<DirectEndpoints> makeDirectEndpoints(unsigned workers)
{
    auto endpoints = std::make_unique<DirectEndpoints>(DirectEndpointsOptions{.availabilityZone = "z1"});
    for (unsigned i = 0; i < workers; ++i) {
        Wire::EndpointAnnouncement made;
        made.set_endpoint("worker-" + std::to_string(i));
        made.set_service("pool");
        made.set_address("10.0.0.1:" + std::to_string(i));
        made.set_version("v1");
        made.set_availability_zone("z" + std::to_string(i % 4));
        made.set_state(Wire::ANNOUNCED_STATE_READY);
        made.set_born_ms(1);
        endpoints->applyAnnouncement(made);
    }
    return endpoints;
}

/** \returns microseconds for one decision of a gateway that sends straight to the engines: choice and bookkeeping */
double microsPerDirectDecision(unsigned workers, unsigned seed)
{
    const std::unique_ptr<DirectEndpoints> endpoints = makeDirectEndpoints(workers);
    std::mt19937_64 engine(seed);
    std::size_t found = 0;
    const auto decide = [&](std::uint64_t nowMs) {
        const EndpointQuery asked{.service = "pool",
                                  .prompt
                                  = {{.id = engine() % 20, .tokens = 1200}, {.id = engine() % KnownSessions, .tokens = 6000}, {.id = engine(), .tokens = 3000}},
                                  .model = "large"};
        const std::optional<EndpointChoice> choice = endpoints->choose(asked, nowMs);
        found += choice ? 1 : 0;
        endpoints->recordStart(asked, *choice);
        endpoints->recordAnswer(*choice, 300, nowMs);
        endpoints->recordEnd(*choice, AttemptOutcome::Complete, true, nowMs);
    };
    for (unsigned i = 0; i < Decisions; ++i) {
        decide(i);
    }
    endpoints->takeOwnLoads();
    const auto start = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < Decisions; ++i) {
        decide(3 * Decisions + i);
    }
    const double took = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
    return found == 2 * Decisions ? took / Decisions : 1e9;
}

/** Prints the times of decisions with each number of workers. \returns their means */
std::vector<double> measure(const std::string &name, const std::vector<unsigned> &sizes, const std::function<double(unsigned, unsigned)> &micros)
{
    std::vector<double> means;
    for (const unsigned workers : sizes) {
        std::vector<double> measured;
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            measured.push_back(micros(workers, seed));
        }
        const Spread spread = spreadOf(measured);
        means.push_back(spread.mean);
        const nlohmann::json line{{"bench", name}, {"workers", workers}, {"seeds", Seeds}, {"micros", nlohmann::json::parse(spreadJson(spread))}};
        std::cout << line.dump() << std::endl;
    }
    return means;
}

} // namespace

int main()
{
    const std::vector<double> means = measure("decision", {15, 200, 1600}, microsPerDecision);
    printAim("decision", "microseconds for one decision with 200 workers", means[1], BoundMicros, means[1] < BoundMicros);
    const double growth = means[2] / means[1];
    printAim("decision", "growth of the time from 200 to 1,600 workers (8 times as many)", growth, 8, growth < 8);
    const std::vector<unsigned> sizes{18, 52, 200, 1600};
    const std::vector<double> direct = measure("direct-decision", sizes, microsPerDirectDecision);
    for (std::size_t index = 0; index < sizes.size(); ++index) {
        const std::string aim = "microseconds for one decision of a gateway with " + std::to_string(sizes[index]) + " workers";
        printAim("direct-decision", aim, direct[index], BoundMicros, direct[index] < BoundMicros);
    }
    const double directGrowth = direct[3] / direct[0];
    printAim("direct-decision", "growth of the time from 18 to 1,600 workers (89 times as many)", directGrowth, 89, directGrowth < 89);
    return 0;
}
