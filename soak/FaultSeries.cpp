#include "FaultSeries.h"

#include <algorithm>
#include <csignal>

namespace Apricothead::Test {
namespace {

using std::chrono::milliseconds;

/** A process that is asked to end has this long before it is killed, as on the platform. */
constexpr milliseconds StopGrace{8000};
constexpr milliseconds HealInterval{20};
constexpr unsigned LeastDownMs = 200;
constexpr unsigned MostDownMs = 3000;
constexpr unsigned LeastPauseMs = 300;
constexpr unsigned MostPauseMs = 1500;
/** Shorter than the silence after which a link is given up, and longer. */
constexpr unsigned LeastHeldMs = 1000;
constexpr unsigned MostHeldMs = 5500;

const std::vector<std::string> Entries{"entry-1", "entry-2", "entry-3"};
const std::vector<std::string> Endpoints{"endpoint-1", "endpoint-2", "endpoint-3", "yard"};
const std::vector<std::string> Links{"endpoint", "replica"};
/** The series goes on without a pair of replacements when the group is not redundant yet. */
constexpr milliseconds AskBound{0};

} // namespace

const std::vector<std::string> FaultSeries::SoleReplicas{"replica-1", "replica-2"};

FaultSeries::FaultSeries(Cluster &target, std::uint64_t seed)
    : cluster(target), random(seed), healer([this] {
        this->runHealer();
    })
{ }

FaultSeries::~FaultSeries()
{
    this->stopHealer();
}

void FaultSeries::runHealer()
{
    while (!this->isStopping) {
        {
            const std::lock_guard lock(this->mutex);
            this->healDue(Clock::now());
        }
        std::this_thread::sleep_for(HealInterval);
    }
}

void FaultSeries::stopHealer()
{
    this->isStopping = true;
    if (this->healer.joinable()) {
        this->healer.join();
    }
}

std::string FaultSeries::drawn(const std::vector<std::string> &names)
{
    return names[this->random() % names.size()];
}

milliseconds FaultSeries::drawnMs(unsigned least, unsigned most)
{
    return milliseconds(least + this->random() % (most - least));
}

void FaultSeries::note(const std::string &what)
{
    const auto at = std::chrono::duration_cast<milliseconds>(Clock::now() - this->start);
    this->told += std::to_string(at.count()) + " ms: " + what + "\n";
}

milliseconds FaultSeries::step()
{
    const auto kind = this->random() % 6;
    // Asked before the lock, since the answer may take a while.
    const bool mayReplace = kind == 5 && !this->isReplacing() && this->cluster.waitRedundant(this->soleReplicas, AskBound);
    const std::lock_guard lock(this->mutex);
    const bool isEntryDown = std::any_of(Entries.begin(), Entries.end(), [this](const std::string &name) {
        return this->active.contains(name);
    });
    switch (kind) {
    case 0: {
        const std::string name = this->drawn(Entries);
        if (!isEntryDown) {
            this->harmProcess(name);
        }
        break;
    }
    case 1:
        this->harmLinks(this->drawn(Links));
        break;
    case 2:
        this->holdLinks();
        break;
    case 5:
        if (mayReplace) {
            this->replaceBoth();
        }
        break;
    default:
        this->harmProcess(this->drawn(Endpoints));
    }
    return this->drawnMs(LeastPauseMs, MostPauseMs);
}

void FaultSeries::harmProcess(const std::string &name)
{
    const auto kind = this->random() % 3;
    const milliseconds down = this->drawnMs(LeastDownMs, MostDownMs);
    if (this->active.contains(name)) {
        return;
    }
    Process &process = this->cluster.process(name);
    std::function<void()> heal = [this, name] {
        this->note(name + " starts again");
        this->cluster.restart(name);
    };
    if (kind == 0) {
        this->note(name + " is killed");
        process.kill();
    } else if (kind == 1) {
        this->note(name + " is frozen");
        process.signal(SIGSTOP);
        heal = [this, name] {
            this->note(name + " goes on");
            this->cluster.process(name).signal(SIGCONT);
        };
    } else {
        this->note(name + " is asked to end");
        process.signal(SIGTERM);
        heal = [this, name] {
            this->cluster.process(name).waitExit(StopGrace);
            this->note(name + " starts again");
            this->cluster.restart(name);
        };
    }
    this->active[name] = {.until = Clock::now() + down, .heal = std::move(heal)};
}

void FaultSeries::harmLinks(const std::string &before)
{
    const std::string command = this->drawn({"silence", "cut", "block"});
    const milliseconds blocked = this->drawnMs(LeastDownMs, MostDownMs / 2);
    if (this->active.contains(before)) {
        return;
    }
    this->note("connections to each " + before + ": " + command);
    this->cluster.relays(before, command);
    if (command != "block") {
        return;
    }
    this->active[before] = {.until = Clock::now() + blocked, .heal = [this, before] {
                                this->note("connections to each " + before + ": open");
                                this->cluster.relays(before, "open");
                            }};
}

void FaultSeries::holdLinks()
{
    const unsigned number = static_cast<unsigned>(this->random() % Entries.size());
    const milliseconds held = this->drawnMs(LeastHeldMs, MostHeldMs);
    const std::string name = "links to replica " + std::to_string(number + 1);
    if (this->active.contains(name)) {
        return;
    }
    this->note(name + ": held");
    this->cluster.relay("replica", number, "hold");
    this->active[name] = {.until = Clock::now() + held, .heal = [this, number, name] {
                              this->note(name + ": released");
                              this->cluster.relay("replica", number, "release");
                          }};
}

bool FaultSeries::isReplacing()
{
    const std::lock_guard lock(this->mutex);
    return std::any_of(this->soleReplicas.begin(), this->soleReplicas.end(), [this](const std::string &name) {
        return this->active.contains(name);
    });
}

void FaultSeries::replaceBoth()
{
    for (std::string &name : this->soleReplicas) {
        this->replaceOne(name);
    }
}

void FaultSeries::replaceOne(std::string &name)
{
    const bool isPlanned = this->random() % 2 == 0;
    const milliseconds apart = this->drawnMs(LeastDownMs, MostDownMs);
    const std::string former = name;
    name = "successor-" + std::to_string(++this->successors);
    std::function<void()> heal;
    if (isPlanned) {
        this->note(name + " starts, to replace " + former);
        this->cluster.startReplica(name);
        heal = [this, former] {
            this->note(former + " is gone with its disk, as planned");
            this->cluster.loseReplica(former);
        };
    } else {
        this->note(former + " is gone with its disk");
        this->cluster.loseReplica(former);
        heal = [this, name = name] {
            this->note(name + " starts in place of a lost one");
            this->cluster.startReplica(name);
        };
    }
    this->active[name] = {.until = Clock::now() + apart, .heal = std::move(heal)};
}

void FaultSeries::healDue(Clock::time_point now)
{
    for (auto one = this->active.begin(); one != this->active.end();) {
        if (one->second.until > now) {
            ++one;
            continue;
        }
        one->second.heal();
        one = this->active.erase(one);
    }
}

void FaultSeries::healAll()
{
    this->stopHealer();
    this->healDue(Clock::time_point::max());
}

const std::string &FaultSeries::story() const
{
    return this->told;
}

const std::vector<std::string> &FaultSeries::replicas() const
{
    return this->soleReplicas;
}

unsigned FaultSeries::pairs() const
{
    return this->successors / 2;
}

} // namespace Apricothead::Test
