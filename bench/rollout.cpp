// Requests that reach a bad version before it is stopped, and false halts of good ones.
#include "EnginePool.h"
#include "Workload.h"

#include <Apricothead/Coordination>
#include <Apricothead/State>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iostream>

using namespace Apricothead;
using namespace Apricothead::Bench;

namespace {

constexpr unsigned Seeds = 40;
constexpr unsigned GoodRuns = 1000;
constexpr double DecideEveryMs = 1000;
constexpr double DigestLagMs = 1000;
constexpr double CommitMs = 50;
/** From the commit until the configuration is in force at the last entry. */
constexpr double InForceMs = 500;
constexpr double RatingTimeoutMs = 6000;
constexpr double RatedShare = 0.9;
constexpr double UsualFailed = 0.005;
constexpr double UsualLowRated = 0.04;
constexpr double TurnsBadMs = 120000;
constexpr double GoodRunMs = 900000;
constexpr double BadRunMs = 600000;
/** Virtual time starts here, since the state machine knows no time 0. */
constexpr std::int64_t EpochMs = 1'000'000'000;

enum class Fault {
    Mixed,
    Errors,
    LowRatings,
    Slow,
};

enum class Controller {
    ByEvidence,
    /** Shares grow with time alone. */
    ByTime,
    /** And a halt when a tenth of at least 50 answers failed. */
    ByTimeWithThreshold,
};

struct Setup {
    PoolShape shape;
    Controller controller = Controller::ByEvidence;
    double perSecond = 6;
    double badShare = 0;
    Fault fault = Fault::Mixed;
    bool afterRollout = false;
    unsigned seed = 1;
    double runMs = BadRunMs;
};

struct Outcome {
    double reached = 0;
    double stoppedAfterMs = -1;
    bool withdrawn = false;
    bool finished = false;
};

/** \brief What an answer will be like. */
struct Fate {
    std::string version;
    std::size_t entry = 0;
    double sentMs = 0;
    bool failed = false;
    bool lowRated = false;
    double slowness = 1;
    double firstTokenMs = 0;
};

struct Entry {
    EvidenceStore book;
    RolloutController controller;
    Wire::Configuration configuration;
};

class Trial
{
public:
    explicit Trial(Setup wanted) : setup(std::move(wanted)), workload(this->setup.seed, 50), pool(this->poolOptions(), this->setup.seed)
    {
        for (unsigned i = 0; i < this->setup.shape.entries; ++i) {
            this->entries.push_back({.book = EvidenceStore({.entry = "entry-" + std::to_string(i)}), .controller = RolloutController(), .configuration = {}});
        }
        this->configure();
    }

    Outcome run()
    {
        this->pool.at(1, [this] {
            this->arrive();
        });
        this->pool.at(DecideEveryMs, [this] {
            this->decide();
        });
        if (this->setup.controller != Controller::ByEvidence && !this->setup.afterRollout) {
            const std::vector<unsigned> shares{100, 300, 1000};
            for (std::size_t i = 0; i < shares.size(); ++i) {
                this->pool.at(60000.0 * static_cast<double>(i + 1), [this, share = shares[i]] {
                    this->stepByTime(share);
                });
            }
        }
        this->pool.run(this->setup.runMs);
        return this->outcome;
    }

private:
    EnginePoolOptions poolOptions()
    {
        EnginePoolOptions options{.engines = makeEngines(this->setup.shape, this->setup.seed), .reportEveryMs = 1e9};
        options.onReport = [](std::size_t, const EngineReport &) {};
        options.onFirstToken = [this](std::size_t, const Job &job) {
            Fate &fate = this->fates.at(job.id);
            fate.firstTokenMs = (this->pool.nowMs() - fate.sentMs) * fate.slowness;
        };
        options.onDone = [this](std::size_t, const Job &job, bool) {
            this->ended(job.id);
        };
        return options;
    }

    std::int64_t wallMs() const
    {
        return EpochMs + static_cast<std::int64_t>(this->pool.nowMs());
    }

    void change(const Wire::ConfigurationChange &wanted)
    {
        Wire::Command command;
        command.set_time_ms(this->wallMs());
        command.set_command_id("operator-" + std::to_string(this->index));
        command.set_expected_revision(this->machine.configuration().revision());
        *command.mutable_change() = wanted;
        this->machine.apply(command, ++this->index);
        this->spreadConfiguration(0);
    }

    void configure()
    {
        Wire::ConfigurationChange change;
        change.mutable_put_model()->set_id("chat");
        change.mutable_put_model()->set_kind(Wire::MODEL_KIND_CHAT);
        this->change(change);
        for (const std::string id : {"v1", "v2"}) {
            change.mutable_put_version()->set_id(id);
            change.mutable_put_version()->set_model("chat");
            this->change(change);
        }
        change.mutable_put_model()->set_id("chat");
        change.mutable_put_model()->set_kind(Wire::MODEL_KIND_CHAT);
        change.mutable_put_model()->set_stable_version("v1");
        this->change(change);
        change.mutable_put_organisation()->set_id("willow");
        change.mutable_put_organisation()->add_allowances()->set_model("chat");
        this->change(change);
        change.mutable_start_rollout()->set_model("chat");
        change.mutable_start_rollout()->set_to_version("v2");
        change.mutable_start_rollout()->set_share_permille(20);
        this->change(change);
        if (this->setup.afterRollout) {
            this->setShare(1000, Wire::ROLLOUT_STATE_DONE);
        }
    }

    void setShare(unsigned share, Wire::RolloutState state)
    {
        Wire::ConfigurationChange change;
        change.mutable_set_rollout()->set_model("chat");
        change.mutable_set_rollout()->set_share_permille(share);
        change.mutable_set_rollout()->set_state(state);
        this->change(change);
    }

    void stepByTime(unsigned share)
    {
        if (!this->outcome.withdrawn) {
            this->setShare(share, share == 1000 ? Wire::ROLLOUT_STATE_DONE : Wire::ROLLOUT_STATE_RUNNING);
        }
    }

    void spreadConfiguration(double delayMs)
    {
        if (delayMs <= 0) {
            for (Entry &entry : this->entries) {
                entry.configuration = this->machine.configuration();
            }
            return;
        }
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            const double due = this->pool.nowMs() + delayMs * static_cast<double>(i + 1) / static_cast<double>(this->entries.size());
            this->pool.at(due, [this, i, configuration = this->machine.configuration()] {
                this->entries[i].configuration = configuration;
            });
        }
    }

    bool isBadNow() const
    {
        return !this->setup.afterRollout || this->pool.nowMs() >= TurnsBadMs;
    }

    void arrive()
    {
        const Job job = this->workload.next();
        const auto number = static_cast<std::size_t>(this->workload.uniform() * static_cast<double>(this->entries.size()));
        Entry &entry = this->entries[number];
        const bool full = this->setup.controller == Controller::ByEvidence
            && !entry.controller.canAcceptMore(entry.configuration, "v2", entry.book, static_cast<unsigned>(this->entries.size()), this->wallMs());
        const VersionRequest request{.organisation = "willow", .model = "chat", .subject = std::to_string(job.id), .rolloutFull = full};
        Fate fate = this->drawFate(chooseVersion(entry.configuration, request).version);
        fate.entry = number;
        entry.book.recordStarted(fate.version, this->wallMs());
        if (fate.version == "v2" && this->isBadNow()) {
            this->outcome.reached += 1;
        }
        this->fates[job.id] = fate;
        this->pool.submit(static_cast<std::size_t>(this->workload.uniform() * this->setup.shape.engines), job);
        this->pool.at(this->pool.nowMs() + this->workload.gapMs(this->setup.perSecond), [this] {
            this->arrive();
        });
    }

    Fate drawFate(const std::string &version)
    {
        Fate fate{.version = version, .sentMs = this->pool.nowMs()};
        fate.failed = this->workload.uniform() < UsualFailed;
        fate.lowRated = this->workload.uniform() < UsualLowRated;
        if (version != "v2" || !this->isBadNow() || this->workload.uniform() >= this->setup.badShare) {
            return fate;
        }
        switch (this->setup.fault) {
        case Fault::Mixed:
            // Errors, cut or empty answers, and answers that only the rating shows to be bad.
            (this->workload.uniform() < 2.0 / 3 ? fate.failed : fate.lowRated) = true;
            break;
        case Fault::Errors:
            fate.failed = true;
            break;
        case Fault::LowRatings:
            fate.lowRated = true;
            break;
        case Fault::Slow:
            fate.slowness = 10;
            break;
        }
        return fate;
    }

    void ended(std::uint64_t id)
    {
        const Fate fate = this->fates.at(id);
        this->fates.erase(id);
        this->entries[fate.entry].book.recordEnded("chat", fate.version, fate.failed, fate.firstTokenMs, !fate.failed, this->wallMs());
        if (fate.version == "v2") {
            ++this->ended2;
            this->failed2 += fate.failed ? 1 : 0;
        }
        if (fate.failed) {
            return;
        }
        const bool rated = this->workload.uniform() < RatedShare;
        const double after = rated ? 500 + 3500 * this->workload.uniform() : RatingTimeoutMs;
        this->pool.at(this->pool.nowMs() + after, [this, fate, rated] {
            const std::optional<double> rating = rated ? std::optional<double>(fate.lowRated ? 0.2 : 0.9) : std::nullopt;
            this->entries[fate.entry].book.recordRated(fate.version, rating, this->wallMs());
        });
    }

    void decide()
    {
        if (this->setup.controller == Controller::ByEvidence) {
            this->exchangeDigests();
            for (std::size_t i = 0; i < this->entries.size(); ++i) {
                this->pool.at(this->pool.nowMs() + 100.0 * static_cast<double>(i), [this, i] {
                    this->decideAt(this->entries[i]);
                });
            }
        } else if (this->setup.controller == Controller::ByTimeWithThreshold && this->ended2 >= 50 && this->failed2 * 10 >= this->ended2) {
            this->withdraw();
        }
        this->pool.at(this->pool.nowMs() + DecideEveryMs, [this] {
            this->decide();
        });
    }

    void exchangeDigests()
    {
        for (std::size_t from = 0; from < this->entries.size(); ++from) {
            const std::vector<Wire::VersionEvidence> digest = this->entries[from].book.digest(this->wallMs());
            this->pool.at(this->pool.nowMs() + DigestLagMs, [this, from, digest] {
                for (Entry &entry : this->entries) {
                    entry.book.receive("entry-" + std::to_string(from), digest, this->wallMs());
                }
            });
        }
    }

    void decideAt(Entry &entry)
    {
        for (const RolloutDecision &decision : entry.controller.decide(entry.configuration, entry.book, this->wallMs())) {
            if (!decision.command.has_change()) {
                continue;
            }
            this->pool.at(this->pool.nowMs() + CommitMs, [this, decision] {
                this->apply(decision);
            });
        }
    }

    void apply(const RolloutDecision &decision)
    {
        Wire::Command command = decision.command;
        command.set_time_ms(this->wallMs());
        const std::uint64_t before = this->machine.configuration().revision();
        this->machine.apply(command, ++this->index);
        if (this->machine.configuration().revision() == before) {
            return;
        }
        this->spreadConfiguration(InForceMs);
        this->outcome.finished = this->outcome.finished || decision.action == RolloutAction::Finish;
        if (decision.action == RolloutAction::Withdraw) {
            this->noteStopped();
        }
    }

    void withdraw()
    {
        if (this->outcome.withdrawn) {
            return;
        }
        Wire::ConfigurationChange change;
        change.mutable_withdraw_version()->set_version("v2");
        change.mutable_withdraw_version()->set_reason("errors");
        change.mutable_withdraw_version()->set_replacement("v1");
        this->change(change);
        this->noteStopped();
    }

    void noteStopped()
    {
        this->outcome.withdrawn = true;
        this->outcome.stoppedAfterMs = this->pool.nowMs() - (this->setup.afterRollout ? TurnsBadMs : 0);
    }

    Setup setup;
    Workload workload;
    EnginePool pool;
    StateMachine machine{StateMachineOptions{}};
    std::uint64_t index = 0;
    std::vector<Entry> entries;
    std::unordered_map<std::uint64_t, Fate> fates;
    unsigned ended2 = 0;
    unsigned failed2 = 0;
    Outcome outcome;
};

std::string faultName(Fault fault)
{
    const std::vector<std::string> names{"mixed", "errors", "low-ratings", "ten-times-slower"};
    return names[static_cast<std::size_t>(fault)];
}

/** \returns the mean of the requests that reached the bad version, and prints a line */
double exposure(const Setup &setup, const std::string &controller)
{
    std::vector<Outcome> outcomes(Seeds);
    inParallel(Seeds, [&](std::size_t index) {
        Setup own = setup;
        own.seed = static_cast<unsigned>(index) + 1;
        outcomes[index] = Trial(own).run();
    });
    std::vector<double> reached;
    std::vector<double> stopped;
    for (const Outcome &outcome : outcomes) {
        reached.push_back(outcome.reached);
        if (outcome.withdrawn) {
            stopped.push_back(outcome.stoppedAfterMs);
        }
    }
    const Spread spread = spreadOf(reached);
    const nlohmann::json line{{"bench", "rollout"},
                              {"pool", setup.shape.name},
                              {"controller", controller},
                              {"fault", faultName(setup.fault)},
                              {"bad_share", setup.badShare},
                              {"when", setup.afterRollout ? "after-the-rollout" : "at-once"},
                              {"seeds", Seeds},
                              {"stopped", stopped.size()},
                              {"reached", nlohmann::json::parse(spreadJson(spread))},
                              {"reached_p95", quantileOf(reached, 0.95)},
                              {"stopped_after_ms", nlohmann::json::parse(spreadJson(spreadOf(stopped)))}};
    std::cout << line.dump() << std::endl;
    return spread.mean;
}

void checkExposure(const PoolShape &shape, double perSecond)
{
    for (const bool after : {false, true}) {
        for (const double bad : {0.05, 0.2, 0.5, 1.0}) {
            Setup setup{.shape = shape, .perSecond = perSecond, .badShare = bad, .afterRollout = after};
            const double mean = exposure(setup, "by-evidence");
            if (bad == 0.2) {
                const std::string when = after ? ", turning bad after the roll-out" : ", bad at once";
                printAim("rollout", shape.name + ": mean requests that reached a version bad in 20%" + when, mean, 40, mean < 40);
            }
            setup.controller = Controller::ByTimeWithThreshold;
            exposure(setup, "by-time-with-threshold");
            setup.controller = Controller::ByTime;
            exposure(setup, "by-time");
        }
        for (const Fault fault : {Fault::Errors, Fault::LowRatings, Fault::Slow}) {
            exposure({.shape = shape, .perSecond = perSecond, .badShare = 0.2, .fault = fault, .afterRollout = after}, "by-evidence");
        }
    }
}

void checkFalseHalts(const PoolShape &shape, double perSecond)
{
    std::vector<Outcome> outcomes(GoodRuns);
    inParallel(GoodRuns, [&](std::size_t index) {
        outcomes[index] = Trial({.shape = shape, .perSecond = perSecond, .seed = static_cast<unsigned>(index) + 1001, .runMs = GoodRunMs}).run();
    });
    const auto halted = std::count_if(outcomes.begin(), outcomes.end(), [](const Outcome &outcome) {
        return outcome.withdrawn;
    });
    const auto finished = std::count_if(outcomes.begin(), outcomes.end(), [](const Outcome &outcome) {
        return outcome.finished;
    });
    const nlohmann::json line{{"bench", "rollout"},
                              {"pool", shape.name},
                              {"case", "good-version"},
                              {"runs", GoodRuns},
                              {"run_ms", GoodRunMs},
                              {"false_halts", halted},
                              {"finished", finished}};
    std::cout << line.dump() << std::endl;
    const double share = static_cast<double>(halted) / GoodRuns;
    printAim("rollout", shape.name + ": share of good versions halted in 1,000 runs of 15 minutes", share, 0.01, share < 0.01);
}

} // namespace

/** With the argument \c exposure or \c halts only that part is run. */
int main(int argc, char **argv)
{
    const std::string part = argc > 1 ? argv[1] : "";
    const std::vector<PoolShape> shapes = poolShapes();
    const std::vector<double> rates{6, 12, 60};
    for (std::size_t i = 0; i < shapes.size() && part != "halts"; ++i) {
        checkExposure(shapes[i], rates[i]);
    }
    if (part != "exposure") {
        checkFalseHalts(shapes[0], rates[0]);
    }
    return 0;
}
