// Processor time for one routing decision with few and many workers in view.
#include "EnginePool.h"

#include <Apricothead/Coordination>

#include <nlohmann/json.hpp>

#include <chrono>
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
        tracker.announce(name, "z" + std::to_string(i % 4), 1, {{"chat", "v1"}, {"chat", "v2"}}, 1);
        tracker.report(name, {.running = i % 16, .queued = i % 3, .capacity = 16}, 1);
    }
    tracker.tick(60000);
    std::vector<std::vector<PrefixBlock>> chains;
    for (std::uint64_t i = 0; i < KnownSessions; ++i) {
        chains.push_back({{.hash = i * 8 + 2, .share = 1}, {.hash = i * 8 + 1, .share = 0.7}, {.hash = 1, .share = 0.2}});
        prefixes.noteDispatch(chains.back(), "worker-" + std::to_string(i % workers), 50000);
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
        const RunTicket ticket = tracker.started(decision, 60001);
        tracker.finished(ticket, RunEnd::Neutral, 60001);
    }
    const double took = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
    return found == Decisions ? took / Decisions : 1e9;
}

} // namespace

int main()
{
    std::vector<double> means;
    for (const unsigned workers : {15U, 200U, 1600U}) {
        std::vector<double> micros;
        for (unsigned seed = 1; seed <= Seeds; ++seed) {
            micros.push_back(microsPerDecision(workers, seed));
        }
        const Spread spread = spreadOf(micros);
        means.push_back(spread.mean);
        const nlohmann::json line{{"bench", "decision"}, {"workers", workers}, {"seeds", Seeds}, {"micros", nlohmann::json::parse(spreadJson(spread))}};
        std::cout << line.dump() << std::endl;
    }
    printAim("decision", "microseconds for one decision with 200 workers", means[1], BoundMicros, means[1] < BoundMicros);
    const double growth = means[2] / means[1];
    printAim("decision", "growth of the time from 200 to 1,600 workers (8 times as many)", growth, 8, growth < 8);
    return 0;
}
