// Admissions per second and their latency over three replicas in this process, with and without group commit, with added delay of
// a sync and of a message; then recovery time against log length, memory per item, and failover time. Prints JSON lines.
#include "replicagroup.h"

#include <Apricothead/State>

#include <nlohmann/json.hpp>

#include <malloc.h>

#include <algorithm>
#include <cmath>
#include <iostream>
#include <map>
#include <queue>

using namespace Apricothead;
using namespace Apricothead::Test;
using Clock = std::chrono::steady_clock;
using std::chrono::microseconds;

namespace {

constexpr std::chrono::milliseconds Warm{300};
constexpr std::chrono::milliseconds Measured{1500};
constexpr std::chrono::milliseconds Deadline{10000};

void print(const nlohmann::ordered_json &line)
{
    std::cout << line.dump() << std::endl;
}

double percentile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto place = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), place, values.end());
    return *place;
}

/** Hands jobs to a loop after a fixed time, in order. */
class DelayLine
{
public:
    explicit DelayLine(microseconds time)
        : delay(time), thread([this] {
            this->run();
        })
    { }

    ~DelayLine()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->ended = true;
        }
        this->wake.notify_one();
        this->thread.join();
    }

    DelayLine(const DelayLine &) = delete;
    DelayLine &operator=(const DelayLine &) = delete;

    /** Sets the loop that jobs run on; null drops them. */
    void setTarget(EventLoop *target)
    {
        const std::lock_guard lock(this->mutex);
        this->loop = target;
    }

    void push(std::function<void()> job)
    {
        const std::lock_guard lock(this->mutex);
        this->jobs.emplace(Clock::now() + this->delay, std::move(job));
        this->wake.notify_one();
    }

private:
    void run()
    {
        std::unique_lock lock(this->mutex);
        while (!this->ended) {
            if (this->jobs.empty()) {
                this->wake.wait(lock);
                continue;
            }
            if (Clock::now() < this->jobs.front().first) {
                this->wake.wait_until(lock, this->jobs.front().first);
                continue;
            }
            std::function<void()> job = std::move(this->jobs.front().second);
            this->jobs.pop();
            if (this->loop != nullptr) {
                this->loop->post(std::move(job));
            }
        }
    }

    EventLoop *loop = nullptr;
    microseconds delay;
    std::mutex mutex;
    std::condition_variable wake;
    std::queue<std::pair<Clock::time_point, std::function<void()>>> jobs;
    bool ended = false;
    std::thread thread;
};

struct Load {
    bool groupCommit = true;
    std::size_t callers = 1;
    std::chrono::milliseconds syncDelay{0};
    microseconds messageDelay{0};
    /** Admissions a second over all callers; 0 for as many as possible. */
    double rate = 0;
};

struct Measure {
    double perSecond = 0;
    double p50 = 0;
    double p99 = 0;
    double syncsEach = 0;
    double bytesEach = 0;
    double entryBytesEach = 0;
};

/** Three replicas with the delays of a load, and a configuration that admits. */
class Bench
{
public:
    explicit Bench(const Load &load)
        : group(3,
                [this, load](std::size_t number, ReplicaTaskOptions &options) {
                    options.settings.replica->groupCommit = load.groupCommit;
                    options.settings.replica->snapshotEvery = 1000000;
                    if (load.syncDelay.count() > 0) {
                        options.beforeSync = [load] {
                            std::this_thread::sleep_for(load.syncDelay);
                            return true;
                        };
                    }
                    if (load.messageDelay.count() > 0) {
                        options.beforeSend = [this, number](std::function<void()> send) {
                            this->lines[number]->push(std::move(send));
                        };
                    }
                })
        , messageDelay(load.messageDelay)
    {
        this->start();
    }

    ~Bench()
    {
        this->client.reset();
        for (const auto &line : this->lines) {
            line->setTarget(nullptr);
        }
        // The replicas go before the lines that their sends run through.
        this->group.replicas.clear();
        this->lines.clear();
    }

    Bench(const Bench &) = delete;
    Bench &operator=(const Bench &) = delete;

    void start()
    {
        static_cast<void>(this->group.init());
        for (std::size_t number = 0; number < 3; ++number) {
            this->lines.push_back(std::make_unique<DelayLine>(this->messageDelay));
            this->group.start(number);
            this->lines[number]->setTarget(&this->group.replicas[number]->thread.loop);
        }
        this->client = std::make_unique<BlockingClient>(this->group.seeds);
        waitFor([this] {
            return this->client->status().redundant();
        });
        this->configure();
    }

    void configure()
    {
        Wire::Command model;
        model.set_command_id("model");
        model.mutable_change()->mutable_put_model()->set_id("chat");
        model.mutable_change()->mutable_put_model()->set_kind(Wire::MODEL_KIND_CHAT);
        this->client->propose(model);
        Wire::Command version;
        version.set_command_id("version");
        version.set_expected_revision(1);
        version.mutable_change()->mutable_put_version()->set_id("chat-1");
        version.mutable_change()->mutable_put_version()->set_model("chat");
        version.mutable_change()->mutable_put_version()->set_state(Wire::VERSION_STATE_ACTIVE);
        this->client->propose(version);
        Wire::Command organisation = organisationChange("mulgrave", "organisation", 2);
        organisation.mutable_change()->mutable_put_organisation()->add_allowances()->set_model("chat");
        this->client->propose(organisation);
        Wire::Command endpoint;
        endpoint.mutable_endpoint_incarnation()->set_endpoint("ep-1");
        endpoint.mutable_endpoint_incarnation()->set_incarnation(1);
        this->client->propose(endpoint);
    }

    Wire::Command admission(const std::string &session = {})
    {
        Wire::Command command;
        Wire::Admit *admit = command.mutable_admit();
        admit->mutable_key()->set_organisation("mulgrave");
        admit->mutable_key()->set_key("request-" + std::to_string(this->next++));
        admit->set_attempt(1);
        admit->set_model("chat");
        admit->set_version("chat-1");
        admit->set_endpoint("ep-1");
        admit->set_incarnation(1);
        admit->set_entry("entry-1");
        admit->set_fingerprint(this->next);
        admit->set_session(session);
        return command;
    }

    /** Callers keep one admission each under way; with a rate they start at fixed times, and latency counts from those. */
    Measure run(const Load &load)
    {
        std::vector<double> latencies;
        std::uint64_t refused = 0;
        const auto begin = Clock::now() + Warm;
        const auto end = begin + Measured;
        const ReplicaCounters before = this->sums();
        std::atomic<std::size_t> open{0};
        std::uint64_t total = 0;
        std::function<void(Clock::time_point)> start = [&](Clock::time_point due) {
            ++open;
            this->client->client->propose(this->admission(), Deadline, [&, due](const ProposeOutcome &outcome) {
                const auto now = Clock::now();
                ++total;
                refused += outcome.status == Wire::PROPOSE_STATUS_APPLIED && outcome.result.has_admitted() ? 0 : 1;
                if (now >= begin && now < end) {
                    latencies.push_back(std::chrono::duration<double, std::milli>(now - due).count());
                }
                if (load.rate == 0 && now < end) {
                    start(now);
                }
                --open;
            });
        };
        this->client->thread.call([&] {
            for (std::size_t caller = 0; load.rate == 0 && caller < load.callers; ++caller) {
                start(Clock::now());
            }
            return true;
        });
        if (load.rate > 0) {
            this->paced(load, end, start);
        }
        std::this_thread::sleep_until(end);
        waitFor([&] {
            return open == 0;
        });
        const ReplicaCounters after = this->sums();
        if (refused > 0) {
            print({{"warning", "admissions refused or unknown"}, {"count", refused}, {"of", total}});
        }
        const double all = static_cast<double>(std::max<std::uint64_t>(1, total));
        return {
            .perSecond = static_cast<double>(latencies.size()) / std::chrono::duration<double>(Measured).count(),
            .p50 = percentile(latencies, 0.5),
            .p99 = percentile(latencies, 0.99),
            .syncsEach = static_cast<double>(after.syncs - before.syncs) / all,
            .bytesEach = static_cast<double>(after.sentBytes - before.sentBytes) / all,
            .entryBytesEach = static_cast<double>(after.entryBytes - before.entryBytes) / all,
        };
    }

    ReplicaCounters sums()
    {
        ReplicaCounters sum;
        for (const auto &replica : this->group.replicas) {
            const ReplicaCounters one = replica->counters();
            sum.syncs += one.syncs;
            sum.entryBytes += one.entryBytes;
            sum.sentBytes += one.sentBytes;
        }
        return sum;
    }

    ReplicaGroup group;
    std::unique_ptr<BlockingClient> client;

private:
    void paced(const Load &load, Clock::time_point end, const std::function<void(Clock::time_point)> &start)
    {
        constexpr std::chrono::milliseconds PaceInterval{1};
        double owed = 0;
        auto last = Clock::now();
        while (Clock::now() < end) {
            std::this_thread::sleep_for(PaceInterval);
            const auto now = Clock::now();
            owed += load.rate * std::chrono::duration<double>(now - last).count();
            last = now;
            const auto count = static_cast<std::size_t>(owed);
            owed -= static_cast<double>(count);
            this->client->thread.loop.post([&start, count, now] {
                for (std::size_t number = 0; number < count; ++number) {
                    start(now);
                }
            });
        }
    }

    microseconds messageDelay;
    std::vector<std::unique_ptr<DelayLine>> lines;
    std::uint64_t next = 0;
};

nlohmann::ordered_json lineOf(const std::string &name, const Load &load, const Measure &measure)
{
    return {
        {"bench", name},
        {"groupCommit", load.groupCommit},
        {"callers", load.callers},
        {"syncDelayMs", load.syncDelay.count()},
        {"messageDelayMs", static_cast<double>(load.messageDelay.count()) / 1000},
        {"perSecond", std::round(measure.perSecond)},
        {"p50Ms", std::round(measure.p50 * 100) / 100},
        {"p99Ms", std::round(measure.p99 * 100) / 100},
        {"syncsPerAdmission", std::round(measure.syncsEach * 1000) / 1000},
        {"sentBytesPerAdmission", std::round(measure.bytesEach)},
        {"loggedBytesPerAdmission", std::round(measure.entryBytesEach)},
    };
}

void rates(std::chrono::milliseconds syncDelay, microseconds messageDelay)
{
    double peak = 0;
    std::map<std::pair<bool, std::size_t>, double> found;
    for (const bool groupCommit : {true, false}) {
        Load load{.groupCommit = groupCommit, .syncDelay = syncDelay, .messageDelay = messageDelay};
        Bench bench(load);
        for (const std::size_t callers : {1, 16, 64, 256}) {
            load.callers = callers;
            const Measure measure = bench.run(load);
            print(lineOf("admission", load, measure));
            found[{groupCommit, callers}] = measure.perSecond;
            peak = groupCommit ? std::max(peak, measure.perSecond) : peak;
        }
    }
    print({{"bench", "group-commit"},
           {"syncDelayMs", syncDelay.count()},
           {"messageDelayMs", static_cast<double>(messageDelay.count()) / 1000},
           {"callers", 64},
           {"timesTheRate", std::round(found[{true, 64}] / std::max(1.0, found[{false, 64}]) * 100) / 100}});
    Load half{.groupCommit = true, .callers = 0, .syncDelay = syncDelay, .messageDelay = messageDelay, .rate = peak / 2};
    Bench bench(half);
    print(lineOf("half-of-peak", half, bench.run(half)));
}

/** Restart of a single replica with logs of several lengths, until it answers a read. */
void recovery()
{
    for (const std::uint64_t entries : {1000, 10000, 50000}) {
        ReplicaGroup group(1, [](std::size_t, ReplicaTaskOptions &options) {
            options.settings.replica->snapshotEvery = 1000000;
        });
        static_cast<void>(group.init());
        group.start(0);
        auto client = std::make_unique<BlockingClient>(group.seeds);
        std::atomic<std::uint64_t> done{0};
        for (std::uint64_t number = 0; number < entries; ++number) {
            client->thread.loop.post([&, number] {
                Wire::Command command;
                command.mutable_report_usage()->mutable_key()->set_key("request-" + std::to_string(number));
                command.mutable_report_usage()->mutable_key()->set_organisation("mulgrave");
                client->client->propose(command, std::chrono::seconds(60), [&done](const ProposeOutcome &) {
                    ++done;
                });
            });
            waitFor([&] {
                return number < done + 2000;
            });
        }
        waitFor([&] {
            return done == entries;
        });
        group.kill(0);
        const auto begin = Clock::now();
        group.start(0);
        client = std::make_unique<BlockingClient>(group.seeds);
        const std::uint64_t applied = client->status().applied_index();
        const auto took = std::chrono::duration<double, std::milli>(Clock::now() - begin).count();
        print({{"bench", "recovery"}, {"entries", entries}, {"appliedIndex", applied}, {"untilReadMs", std::round(took)}});
    }
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

/** Memory of one state machine, per item of each kind. */
void memory()
{
    constexpr std::uint64_t Items = 20000;
    const auto measured = [](const char *what, const std::function<void(StateMachine &, std::uint64_t)> &add, std::uint64_t count) {
        auto machine = std::make_unique<StateMachine>(StateMachineOptions{});
        std::uint64_t index = 10;
        Wire::Command model;
        model.set_command_id("model");
        model.mutable_change()->mutable_put_model()->set_id("chat");
        model.mutable_change()->mutable_put_model()->set_kind(Wire::MODEL_KIND_CHAT);
        machine->apply(model, index++);
        Wire::Command version;
        version.set_command_id("version");
        version.set_expected_revision(1);
        version.mutable_change()->mutable_put_version()->set_id("chat-1");
        version.mutable_change()->mutable_put_version()->set_model("chat");
        version.mutable_change()->mutable_put_version()->set_state(Wire::VERSION_STATE_ACTIVE);
        machine->apply(version, index++);
        Wire::Command organisation = organisationChange("mulgrave", "organisation", 2);
        organisation.mutable_change()->mutable_put_organisation()->add_allowances()->set_model("chat");
        machine->apply(organisation, index++);
        const std::size_t before = heapBytes();
        for (std::uint64_t number = 0; number < count; ++number) {
            add(*machine, index++);
        }
        print({{"bench", "memory"},
               {"item", what},
               {"items", count},
               {"records", machine->recordCount()},
               {"sessions", machine->sessionCount()},
               {"bytesEach", (heapBytes() - before) / count},
               {"snapshotBytes", machine->snapshot().size()}});
    };
    const auto admit = [](StateMachine &machine, std::uint64_t index, const std::string &session) {
        Wire::Command command;
        command.set_time_ms(1000 + static_cast<std::int64_t>(index));
        command.mutable_admit()->mutable_key()->set_organisation("mulgrave");
        command.mutable_admit()->mutable_key()->set_key("request-" + std::to_string(index));
        command.mutable_admit()->set_attempt(1);
        command.mutable_admit()->set_model("chat");
        command.mutable_admit()->set_version("chat-1");
        command.mutable_admit()->set_endpoint("ep-1");
        command.mutable_admit()->set_incarnation(1);
        command.mutable_admit()->set_session(session);
        machine.apply(command, index);
    };
    measured(
        "record",
        [&](StateMachine &machine, std::uint64_t index) {
            admit(machine, index, {});
        },
        Items);
    measured(
        "record-and-session",
        [&](StateMachine &machine, std::uint64_t index) {
            admit(machine, index, "session-" + std::to_string(index));
        },
        Items);
    measured(
        "organisation",
        [](StateMachine &machine, std::uint64_t index) {
            const std::string name = "organisation-" + std::to_string(index);
            machine.apply(organisationChange(name, name, machine.configuration().revision()), index);
        },
        1000);
}

/** Time from the end of the leader until a proposal is answered again. */
void failover()
{
    constexpr int Rounds = 7;
    Bench bench({});
    std::vector<double> times;
    for (int round = 0; round < Rounds; ++round) {
        const std::size_t leader = bench.group.leader();
        bench.group.kill(leader);
        const auto begin = Clock::now();
        bench.client->propose(bench.admission());
        times.push_back(std::chrono::duration<double, std::milli>(Clock::now() - begin).count());
        bench.group.start(leader);
        waitFor([&] {
            return bench.client->status().redundant();
        });
    }
    print({{"bench", "failover"},
           {"rounds", Rounds},
           {"medianMs", std::round(percentile(times, 0.5))},
           {"worstMs", std::round(*std::max_element(times.begin(), times.end()))}});
}

} // namespace

int main(int argc, char **argv)
{
    const std::string part = argc > 1 ? argv[1] : "all";
    const bool all = part == "all";
    if (part == "rates" && argc > 3) {
        // Added delay of a sync in ms and of a message in µs.
        rates(std::chrono::milliseconds(std::stoi(argv[2])), microseconds(std::stoi(argv[3])));
    } else if (all || part == "rates") {
        for (const int syncMs : {0, 1, 5}) {
            for (const int messageUs : {0, 1200}) {
                rates(std::chrono::milliseconds(syncMs), microseconds(messageUs));
            }
        }
    }
    if (all || part == "recovery") {
        recovery();
    }
    if (all || part == "memory") {
        memory();
    }
    if (all || part == "failover") {
        failover();
    }
    return 0;
}
