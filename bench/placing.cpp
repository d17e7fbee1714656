// Replays named loads against model engines: our placing beside baselines, with the same arrivals.
#include "EnginePool.h"
#include "Fleet.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cmath>
#include <iostream>

using namespace Apricothead;
using namespace Apricothead::Bench;

namespace {

constexpr unsigned Seeds = 10;
constexpr std::array Placings{Placing::Ours, Placing::FirstComeFirstServed, Placing::RefuseAtFullQueue, Placing::LeastLoaded, Placing::HashOnly};

std::vector<FleetFigures> replayAll(const FleetOptions &options, const LoadPattern &pattern)
{
    std::vector<FleetFigures> all(Seeds);
    inParallel(Seeds, [&](std::size_t seed) {
        all[seed] = Fleet(options, seed + 1).replay(pattern);
    });
    return all;
}

template <class Figure>
Spread spreadOver(const std::vector<FleetFigures> &all, const Figure &figure)
{
    std::vector<double> values;
    values.reserve(all.size());
    for (const FleetFigures &figures : all) {
        values.push_back(figure(figures));
    }
    return spreadOf(values);
}

nlohmann::json asJson(const Spread &spread)
{
    return nlohmann::json::parse(spreadJson(spread));
}

/** Prints how one placing did under one load. \returns its mean worth */
double printReplay(const LoadPattern &pattern, Placing placing, const std::vector<FleetFigures> &all)
{
    const Spread worth = spreadOver(all, [](const FleetFigures &figures) {
        return figures.worth();
    });
    const nlohmann::json line{
        {"bench", "placing"},
        {"load", pattern.name},
        {"placing", placingName(placing)},
        {"seeds", Seeds},
        {"worth", asJson(worth)},
        {"late",
         asJson(spreadOver(all,
                           [](const FleetFigures &figures) {
                               return figures.lateShare();
                           }))},
        {"unserved",
         asJson(spreadOver(all,
                           [](const FleetFigures &figures) {
                               return figures.unservedShare();
                           }))},
        {"millionTokensRead",
         asJson(spreadOver(all,
                           [](const FleetFigures &figures) {
                               return figures.readTokens / 1e6;
                           }))},
    };
    std::cout << line.dump() << std::endl;
    return worth.mean;
}

/** What callers saw on a quiet day that was played on the users' bench, by kind. */
struct PlayedKind {
    double medianMs = 0;
    double lateShare = 0;
};

/** Prints the model's error against a played quiet day. */
void printCalibration(const std::array<PlayedKind, 3> &played)
{
    const FleetOptions options;
    const std::vector<FleetFigures> all = replayAll(options, loadPatterns().front());
    for (std::size_t kind = 0; kind < played.size(); ++kind) {
        const Spread median = spreadOver(all, [kind](FleetFigures figures) {
            return quantileOf(figures.kinds[kind].firstMs, 0.5);
        });
        const Spread late = spreadOver(all, [kind](const FleetFigures &figures) {
            const KindFigures &counted = figures.kinds[kind];
            return counted.asked > 0 ? static_cast<double>(counted.late) / counted.asked : 0;
        });
        const nlohmann::json line{
            {"bench", "placing"},
            {"calibration", options.kinds[kind].name},
            {"medianMs", asJson(median)},
            {"playedMedianMs", played[kind].medianMs},
            {"medianError", std::round(100 * (median.mean / played[kind].medianMs - 1)) / 100},
            {"late", asJson(late)},
            {"playedLate", played[kind].lateShare},
        };
        std::cout << line.dump() << std::endl;
    }
}

} // namespace

int main()
{
    // Means of two plays of Vrtula's quiet day, seeds 13 and 23, on the users' bench.
    printCalibration(
        {PlayedKind{.medianMs = 548, .lateShare = 0.024}, PlayedKind{.medianMs = 312, .lateShare = 0.006}, PlayedKind{.medianMs = 136, .lateShare = 0.023}});
    bool isAhead = true;
    for (const LoadPattern &pattern : loadPatterns()) {
        double ours = 0;
        double bestBaseline = 0;
        for (const Placing placing : Placings) {
            FleetOptions options;
            options.placing = placing;
            const double worth = printReplay(pattern, placing, replayAll(options, pattern));
            ours = placing == Placing::Ours ? worth : ours;
            bestBaseline = placing == Placing::Ours ? bestBaseline : std::max(bestBaseline, worth);
        }
        const std::string aim = "worth under " + pattern.name + " at least that of the best baseline";
        isAhead = printAim("placing", aim, ours, bestBaseline, ours >= bestBaseline) && isAhead;
    }
    return isAhead ? 0 : 1;
}
