// Cost at a quality target and latency of cascades, with good, noisy, late and absent ratings.
#include "EnginePool.h"

#include <Apricothead/Coordination>

#include <nlohmann/json.hpp>

#include <iostream>

using namespace Apricothead;
using namespace Apricothead::Bench;

namespace {

constexpr unsigned Seeds = 10;
constexpr unsigned Requests = 6000;
constexpr double CheapCost = 1;
constexpr double DearCost = 10;
constexpr double CheapMs = 900;
constexpr double DearMs = 3000;
constexpr double DearGood = 0.97;
constexpr double RatingTimeoutMs = 1500;
constexpr double QualitySlack = 0.01;
/** One answer of the dear tier in this many is rated, to learn how often ratings err. */
constexpr double ReferenceEvery = 5;

/** \brief One kind of request: how often it comes and how often the cheap tier does. */
struct Kind {
    std::string name;
    double share = 0;
    double cheapGood = 0;
};

const std::vector<Kind> Kinds{{"chat", 0.35, 0.97},
                              {"permit-summary", 0.25, 0.93},
                              {"survey-notes", 0.15, 0.75},
                              {"site-plan", 0.15, 0.3},
                              {"wiring", 0.1, 0.08}};

struct Ratings {
    std::string name;
    double flipped = 0;
    double absent = 0;
    double meanMs = 200;
};

const std::vector<Ratings> RatingKinds{{"good", 0, 0, 200}, {"noisy", 0.12, 0, 200}, {"late", 0, 0, 1500}, {"absent", 0, 1, 200}};

enum class Policy {
    AlwaysCheap,
    AlwaysDear,
    Fixed,
    Own,
};

struct Outcome {
    double cost = 0;
    double quality = 0;
    double p95 = 0;
};

class Trial
{
public:
    Trial(Policy wanted, Ratings given, unsigned seed) : policy(wanted), ratings(std::move(given)), random(seed)
    { }

    Outcome run()
    {
        std::vector<double> times;
        for (unsigned i = 0; i < Requests; ++i) {
            times.push_back(this->serve());
        }
        return {.cost = this->cost / Requests, .quality = this->good / Requests, .p95 = quantileOf(times, 0.95)};
    }

private:
    struct Rating {
        bool absent = false;
        double afterMs = 0;
        double value = 0;
    };

    double uniform()
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random);
    }

    const Kind &drawKind()
    {
        double draw = this->uniform();
        for (const Kind &kind : Kinds) {
            draw -= kind.share;
            if (draw < 0) {
                return kind;
            }
        }
        return Kinds.back();
    }

    double runMs(double mean)
    {
        return mean * (0.6 + 0.8 * this->uniform());
    }

    Rating rate(bool isGood)
    {
        const bool high = this->uniform() < this->ratings.flipped ? !isGood : isGood;
        return {.absent = this->uniform() < this->ratings.absent,
                .afterMs = std::exponential_distribution<double>(1 / this->ratings.meanMs)(this->random),
                .value = high ? 0.85 : 0.3};
    }

    /** \returns the time until the caller has the answer */
    double serve()
    {
        const Kind &kind = this->drawKind();
        CascadeProgress view{.organisation = "willow",
                             .kind = kind.name,
                             .tiers = {{"small", CheapCost, CheapMs}, {"large", DearCost, DearMs}},
                             .ratingTimeoutMs = RatingTimeoutMs};
        double spent = 0;
        bool isGood = false;
        std::optional<Rating> rating;
        while (true) {
            const CascadeDecision next = this->decide(view);
            if (next.action == CascadeAction::Deliver || next.action == CascadeAction::Refuse) {
                this->good += isGood ? 1 : 0;
                return spent;
            }
            if (next.action == CascadeAction::AwaitRating) {
                const bool inTime = !rating->absent && rating->afterMs <= RatingTimeoutMs;
                spent += inTime ? rating->afterMs : RatingTimeoutMs;
                view.ratingWaitedMs = inTime ? rating->afterMs : RatingTimeoutMs;
                view.ratingState = inTime ? RatingState::Arrived : RatingState::Absent;
                view.rating = rating->value;
                this->learn(kind.name, *rating, view.ratingThreshold);
                continue;
            }
            const bool cheap = next.tier == 0;
            this->cost += cheap ? CheapCost : DearCost;
            spent += this->runMs(cheap ? CheapMs : DearMs);
            isGood = this->uniform() < (cheap ? kind.cheapGood : DearGood);
            rating = this->rate(isGood);
            view.answered = next.tier;
            view.ratingState = RatingState::Awaited;
            view.ratingWaitedMs = 0;
            if (!cheap && !rating->absent && this->uniform() * ReferenceEvery < 1) {
                this->memory.recordReferenceRating(rating->value, view.ratingThreshold);
            }
        }
    }

    CascadeDecision decide(const CascadeProgress &view)
    {
        CascadeDecision deliver{.action = CascadeAction::Deliver};
        switch (this->policy) {
        case Policy::AlwaysCheap:
            return view.answered ? deliver : CascadeDecision{.action = CascadeAction::Run, .tier = 0};
        case Policy::AlwaysDear:
            return view.answered ? deliver : CascadeDecision{.action = CascadeAction::Run, .tier = 1};
        case Policy::Fixed:
            if (!view.answered) {
                return {.action = CascadeAction::Run, .tier = 0};
            }
            if (*view.answered == 1 || (view.ratingState == RatingState::Arrived && view.rating >= view.ratingThreshold)) {
                return deliver;
            }
            return view.ratingState == RatingState::Awaited ? CascadeDecision{.action = CascadeAction::AwaitRating}
                                                            : CascadeDecision{.action = CascadeAction::Run, .tier = 1};
        case Policy::Own:
            break;
        }
        return decideCascadeStep(view, this->memory, this->uniform());
    }

    /** A rating that is late for its request still teaches. */
    void learn(const std::string &kind, const Rating &rating, double threshold)
    {
        if (rating.absent) {
            this->memory.recordAbsentRating("willow", kind, "small");
            return;
        }
        this->memory.recordRating("willow", kind, "small", rating.value, threshold);
    }

    Policy policy;
    Ratings ratings;
    std::mt19937_64 random;
    CascadeHistory memory;
    double cost = 0;
    double good = 0;
};

Outcome measure(Policy policy, const std::string &name, const Ratings &ratings)
{
    std::vector<Outcome> outcomes(Seeds);
    inParallel(Seeds, [&](std::size_t index) {
        outcomes[index] = Trial(policy, ratings, static_cast<unsigned>(index) + 1).run();
    });
    std::vector<double> costs;
    std::vector<double> qualities;
    std::vector<double> times;
    for (const Outcome &outcome : outcomes) {
        costs.push_back(outcome.cost);
        qualities.push_back(outcome.quality);
        times.push_back(outcome.p95);
    }
    const nlohmann::json line{{"bench", "cascade"},
                              {"ratings", ratings.name},
                              {"policy", name},
                              {"seeds", Seeds},
                              {"cost", nlohmann::json::parse(spreadJson(spreadOf(costs)))},
                              {"quality", nlohmann::json::parse(spreadJson(spreadOf(qualities)))},
                              {"p95_ms", nlohmann::json::parse(spreadJson(spreadOf(times)))}};
    std::cout << line.dump() << std::endl;
    return {.cost = spreadOf(costs).mean, .quality = spreadOf(qualities).mean, .p95 = spreadOf(times).mean};
}

} // namespace

int main()
{
    for (const Ratings &ratings : RatingKinds) {
        measure(Policy::AlwaysCheap, "always-cheap", ratings);
        const Outcome dear = measure(Policy::AlwaysDear, "always-dear", ratings);
        const Outcome fixed = measure(Policy::Fixed, "fixed", ratings);
        const Outcome own = measure(Policy::Own, "apricothead", ratings);
        const bool sameQuality = own.quality >= dear.quality - QualitySlack;
        const double ratio = own.cost / dear.cost;
        if (ratings.name != "absent") {
            printAim("cascade",
                     ratings.name + " ratings: cost over always-dear's at its quality (quality " + (sameQuality ? "kept)" : "missed)"),
                     ratio,
                     0.6,
                     sameQuality && ratio <= 0.6);
        }
        const double againstFixed = own.cost / fixed.cost;
        const bool noWorse = againstFixed <= 1 && own.quality >= std::min(fixed.quality, dear.quality) - QualitySlack;
        printAim("cascade", ratings.name + " ratings: cost over the fixed cascade's, at no less quality", againstFixed, 1, noWorse);
    }
    return 0;
}
