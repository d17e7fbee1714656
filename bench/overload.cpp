// Goodput, fairness and latency beyond capacity, with one organisation flooding and a third of the pool lost.
#include "EnginePool.h"
#include "Workload.h"

#include <Apricothead/Coordination>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

using namespace Apricothead;
using namespace Apricothead::Bench;

namespace {

constexpr unsigned Seeds = 10;
constexpr unsigned Organisations = 10;
constexpr double WarmUpMs = 10000;
constexpr double RunMs = 70000;
constexpr double PumpMs = 20;
constexpr double TickMs = 500;
/** An answer is good when its first token comes within this. */
constexpr double InteractiveDeadlineMs = 4000;
constexpr double DraftDeadlineMs = 20000;
constexpr double ReportLagMs = 1000;

struct Setup {
    PoolShape shape;
    double load = 1;
    /** Organisation 0 asks for all beyond a half of the capacity; the others share that half. */
    bool flood = false;
    bool loseThird = false;
    bool limited = true;
    unsigned seed = 1;
};

struct Outcome {
    double goodPerSecond = 0;
    double p95 = 0;
    /** Share of requests without a good answer, of the organisations that stay within their share. */
    double lossWithin = 0;
    double draftGoodShare = 0;
};

class Trial
{
public:
    explicit Trial(Setup wanted)
        : setup(std::move(wanted)), workload(this->setup.seed, this->setup.shape.engines * 12), pool(this->poolOptions(), this->setup.seed)
    {
        const double capacity = this->pool.capacityPerSecond(Workload::meanPromptTokens(), Workload::meanOutputTokens());
        this->perSecond = capacity * this->setup.load;
        this->capacityPerSecond = capacity;
        for (unsigned i = 0; i < this->setup.shape.entries; ++i) {
            Entry &entry = this->entries.emplace_back();
            entry.queue = AdmissionQueue({.initialDrainPerSecond = capacity / this->setup.shape.entries});
        }
        for (std::size_t engine = 0; engine < this->setup.shape.engines; ++engine) {
            this->names.push_back("worker-" + std::to_string(engine));
            for (Entry &entry : this->entries) {
                entry.tracker.addOrUpdate(this->names.back(), "z", 1, {{"chat", "v1"}}, 1);
                entry.tracker.report(this->names.back(), {.capacity = EngineOptions().slots}, 1);
            }
        }
    }

    Outcome run()
    {
        this->pool.at(1, [this] {
            this->arrive();
        });
        this->pool.at(PumpMs, [this] {
            this->pump();
        });
        this->pool.at(TickMs, [this] {
            this->tick();
        });
        if (this->setup.loseThird) {
            this->pool.at(RunMs / 2, [this] {
                for (std::size_t engine = 0; engine < this->names.size(); engine += 3) {
                    this->pool.fail(engine);
                }
            });
        }
        this->pool.run(RunMs);
        const double seconds = (RunMs - WarmUpMs - DraftDeadlineMs) / 1000;
        return {.goodPerSecond = this->good / seconds,
                .p95 = quantileOf(this->times, 0.95),
                .lossWithin = this->within > 0 ? 1 - this->goodWithin / this->within : 0,
                .draftGoodShare = this->drafts > 0 ? this->goodDrafts / this->drafts : 0};
    }

private:
    struct Entry {
        EndpointTracker tracker;
        PrefixIndex prefixes;
        AdmissionQueue queue;
        unsigned running = 0;
        unsigned awaiting = 0;
    };
    struct Open {
        Job job;
        std::size_t entry = 0;
        unsigned organisation = 0;
        double arrivedMs = 0;
        RunHandle ticket;
    };

    EnginePoolOptions poolOptions()
    {
        EnginePoolOptions options{.engines = makeEngines(this->setup.shape, this->setup.seed), .reportLagMs = ReportLagMs};
        options.onReport = [this](std::size_t engine, const EngineReport &report) {
            for (Entry &entry : this->entries) {
                entry.tracker.report(this->names[engine],
                                     {.running = report.running, .queued = report.queued, .capacity = report.capacity, .ageMs = ReportLagMs},
                                     this->pool.nowMs());
            }
        };
        options.onFirstToken = [this](std::size_t, const Job &job) {
            Open &open = this->underway.at(job.id);
            --this->entries[open.entry].awaiting;
            this->entries[open.entry].tracker.recordFirstToken(open.ticket, this->pool.nowMs());
            this->count(open, this->pool.nowMs() - open.arrivedMs);
        };
        options.onDone = [this](std::size_t, const Job &job, bool whole) {
            const Open &open = this->underway.at(job.id);
            Entry &entry = this->entries[open.entry];
            entry.tracker.recordEnd(open.ticket, whole ? RunOutcome::Complete : RunOutcome::Failed, this->pool.nowMs());
            --entry.running;
            entry.awaiting -= open.ticket.awaiting ? 1 : 0;
            this->underway.erase(job.id);
        };
        return options;
    }

    /** Only requests that had time to be answered before the end are counted. */
    bool isCounted(double arrivedMs) const
    {
        return arrivedMs >= WarmUpMs && arrivedMs < RunMs - DraftDeadlineMs;
    }

    bool isWithin(unsigned organisation) const
    {
        return this->setup.flood && organisation != 0;
    }

    void count(const Open &open, double tookMs)
    {
        if (!this->isCounted(open.arrivedMs)) {
            return;
        }
        this->times.push_back(tookMs);
        if (tookMs > (open.job.draft ? DraftDeadlineMs : InteractiveDeadlineMs)) {
            return;
        }
        this->good += 1;
        this->goodDrafts += open.job.draft ? 1 : 0;
        this->goodWithin += this->isWithin(open.organisation) ? 1 : 0;
    }

    unsigned drawOrganisation()
    {
        const double others = this->setup.flood ? 0.5 * this->capacityPerSecond / this->perSecond : 1.0;
        if (this->setup.flood && this->workload.uniform() >= others) {
            return 0;
        }
        const unsigned first = this->setup.flood ? 1 : 0;
        return first + static_cast<unsigned>(this->workload.uniform() * (Organisations - first));
    }

    void arrive()
    {
        const double now = this->pool.nowMs();
        const Job job = this->workload.next();
        Open open{.job = job,
                  .entry = static_cast<std::size_t>(this->workload.uniform() * static_cast<double>(this->entries.size())),
                  .organisation = this->drawOrganisation(),
                  .arrivedMs = now};
        if (this->isCounted(now)) {
            this->drafts += job.draft ? 1 : 0;
            this->within += this->isWithin(open.organisation) ? 1 : 0;
        }
        this->underway[job.id] = open;
        if (!this->setup.limited) {
            this->dispatch(job.id);
        } else {
            const WaitingRequest request{.id = std::to_string(job.id),
                                         .organisation = "org-" + std::to_string(open.organisation),
                                         .priority = job.draft ? Wire::PRIORITY_DRAFT : Wire::PRIORITY_INTERACTIVE,
                                         .arrivedMs = now,
                                         .startByMs = now + (job.draft ? DraftDeadlineMs : InteractiveDeadlineMs) * 0.6};
            this->drop(this->entries[open.entry].queue.offer(request, now));
        }
        this->pool.at(now + this->workload.gapMs(this->perSecond), [this] {
            this->arrive();
        });
    }

    void drop(const std::vector<QueueRefusal> &refusals)
    {
        for (const QueueRefusal &refusal : refusals) {
            this->underway.erase(std::stoull(refusal.id));
        }
    }

    void pump()
    {
        const double now = this->pool.nowMs();
        for (Entry &entry : this->entries) {
            this->drop(entry.queue.expire(now));
            const DispatchWindow window = dispatchWindow(entry.tracker.table(), "chat", "v1", 1.0 / static_cast<double>(this->entries.size()));
            while (entry.running < window.running && entry.awaiting < window.awaiting) {
                const std::optional<WaitingRequest> next = entry.queue.popNext(now);
                if (!next) {
                    break;
                }
                this->dispatch(std::stoull(next->id));
            }
        }
        this->pool.at(now + PumpMs, [this] {
            this->pump();
        });
    }

    void dispatch(std::uint64_t id)
    {
        Open &open = this->underway.at(id);
        Entry &entry = this->entries[open.entry];
        const double now = this->pool.nowMs();
        std::vector<PrefixBlock> chain{{.hash = prefixName(open.job.group, open.job.turns.size()), .share = 1}};
        if (!open.job.turns.empty()) {
            chain.push_back({.hash = prefixName(open.job.group, open.job.turns.size() - 1), .share = open.job.turns.back() / open.job.promptTokens});
        }
        const RoutingRequest request{.model = "chat",
                                     .version = "v1",
                                     .promptTokens = open.job.promptTokens,
                                     .prefixes = entry.prefixes.lookup(chain, now),
                                     .homeKey = open.job.group,
                                     .homeShare = open.job.turns.empty() ? 0 : chain.back().share,
                                     .nowMs = now,
                                     .typicalPromptMs = entry.tracker.typicalPromptMs(),
                                     .entries = static_cast<unsigned>(this->entries.size())};
        const RoutingDecision decision = entry.tracker.table().choose(request, [this] {
            return this->workload.uniform();
        });
        if (decision.endpoint.empty()) {
            this->underway.erase(id);
            return;
        }
        entry.prefixes.recordDispatch(chain, decision.endpoint, now);
        open.ticket = entry.tracker.recordStart(decision, now);
        ++entry.running;
        ++entry.awaiting;
        // The queue has given the draft its turn; behind the engine's interactive requests it would lose it again.
        Job job = open.job;
        job.draft = job.draft && !this->setup.limited;
        this->pool.submit(std::stoul(decision.endpoint.substr(std::string("worker-").size())), job);
    }

    void tick()
    {
        for (Entry &entry : this->entries) {
            entry.tracker.tick(this->pool.nowMs());
        }
        this->pool.at(this->pool.nowMs() + TickMs, [this] {
            this->tick();
        });
    }

    Setup setup;
    Workload workload;
    EnginePool pool;
    std::vector<Entry> entries;
    std::vector<std::string> names;
    std::unordered_map<std::uint64_t, Open> underway;
    std::vector<double> times;
    double perSecond = 0;
    double capacityPerSecond = 0;
    double good = 0;
    double goodDrafts = 0;
    double drafts = 0;
    double within = 0;
    double goodWithin = 0;
};

Outcome measure(const Setup &setup)
{
    std::vector<Outcome> outcomes(Seeds);
    inParallel(Seeds, [&](std::size_t index) {
        Setup own = setup;
        own.seed = static_cast<unsigned>(index) + 1;
        outcomes[index] = Trial(own).run();
    });
    const auto spread = [&](double Outcome::*field) {
        std::vector<double> values;
        values.reserve(outcomes.size());
        for (const Outcome &outcome : outcomes) {
            values.push_back(outcome.*field);
        }
        return spreadOf(values);
    };
    const nlohmann::json line{{"bench", "overload"},
                              {"pool", setup.shape.name},
                              {"load", setup.load},
                              {"flood", setup.flood},
                              {"third_lost", setup.loseThird},
                              {"policy", setup.limited ? "apricothead" : "no-limits"},
                              {"seeds", Seeds},
                              {"goodput_per_s", nlohmann::json::parse(spreadJson(spread(&Outcome::goodPerSecond)))},
                              {"ttft_p95_ms", nlohmann::json::parse(spreadJson(spread(&Outcome::p95)))},
                              {"loss_within_share", nlohmann::json::parse(spreadJson(spread(&Outcome::lossWithin)))},
                              {"drafts_good_share", nlohmann::json::parse(spreadJson(spread(&Outcome::draftGoodShare)))}};
    std::cout << line.dump() << std::endl;
    return {.goodPerSecond = spread(&Outcome::goodPerSecond).mean, .lossWithin = spread(&Outcome::lossWithin).mean};
}

void checkPool(const PoolShape &shape)
{
    double atCapacity = 0;
    double atFour = 0;
    for (const double load : {0.5, 1.0, 2.0, 4.0}) {
        measure({.shape = shape, .load = load, .limited = false});
        const double good = measure({.shape = shape, .load = load}).goodPerSecond;
        atCapacity = load == 1.0 ? good : atCapacity;
        atFour = good;
    }
    const double ratio = atFour / atCapacity;
    printAim("overload", shape.name + ": goodput at 4 times capacity over that at 1", ratio, 0.95, ratio >= 0.95);
    measure({.shape = shape, .load = 4, .flood = true, .limited = false});
    const double loss = measure({.shape = shape, .load = 4, .flood = true}).lossWithin;
    printAim("overload", shape.name + ": loss of organisations within their share while one floods", loss, 0.05, loss < 0.05);
    measure({.shape = shape, .load = 1, .loseThird = true});
}

} // namespace

int main()
{
    for (const PoolShape &shape : poolShapes()) {
        checkPool(shape);
    }
    return 0;
}
