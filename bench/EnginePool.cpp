#include "EnginePool.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <cmath>
#include <iostream>
#include <numeric>
#include <thread>

namespace Apricothead::Bench {

namespace {

constexpr double MsPerSecond = 1000;
constexpr unsigned Threads = 4;

double rounded(double value)
{
    const double scale = std::abs(value) >= 100 ? 1 : 1000;
    return std::round(value * scale) / scale;
}

double decodeMs(const EngineOptions &options, const Job &job, std::size_t batch)
{
    return job.outputTokens * (options.decodeBaseMs + options.decodeMsPerRun * static_cast<double>(batch)) * options.slowness;
}

} // namespace

std::uint64_t prefixName(std::uint64_t group, std::size_t turn)
{
    return group * 64 + turn + 1;
}

EnginePool::EnginePool(EnginePoolOptions wanted, std::uint64_t seed) : options(std::move(wanted)), random(seed)
{
    for (const EngineOptions &engine : this->options.engines) {
        this->engines.emplace_back().options = engine;
    }
    this->at(this->options.reportEveryMs, [this] {
        this->report();
    });
}

void EnginePool::at(double timeMs, std::function<void()> action)
{
    this->events.push({.timeMs = timeMs, .number = this->eventCount++, .action = std::move(action)});
}

void EnginePool::run(double untilMs)
{
    while (!this->events.empty() && this->events.top().timeMs <= untilMs) {
        const Event event = this->events.top();
        this->events.pop();
        this->clockMs = event.timeMs;
        event.action();
    }
    this->clockMs = untilMs;
}

double EnginePool::nowMs() const
{
    return this->clockMs;
}

void EnginePool::submit(std::size_t index, const Job &job)
{
    Engine &engine = this->engines[index];
    if (!engine.alive) {
        this->at(this->clockMs + 1, [this, index, job] {
            this->options.onDone(index, job, false);
        });
        return;
    }
    (job.draft ? engine.drafts : engine.interactive).push_back(job);
    this->startPrefill(index);
}

void EnginePool::startPrefill(std::size_t index)
{
    Engine &engine = this->engines[index];
    std::deque<Job> &queue = engine.interactive.empty() ? engine.drafts : engine.interactive;
    if (engine.prefilling || queue.empty() || engine.active.size() >= engine.options.slots) {
        return;
    }
    const Job job = queue.front();
    queue.pop_front();
    engine.prefilling = true;
    const double fill = static_cast<double>(engine.active.size()) / engine.options.slots;
    engine.active.emplace(job.id, job);
    const double hit = this->cacheHit(engine, job);
    this->askedTokens += job.promptTokens;
    this->hitTokens += hit;
    const double tokens = job.promptTokens - hit;
    const double took = (5 + tokens * engine.options.prefillMsPerToken) * (1 + engine.options.prefillInterference * fill) * engine.options.slowness;
    this->at(this->clockMs + took, [this, index, job, epoch = engine.epoch] {
        if (this->engines[index].epoch == epoch) {
            this->endPrefill(index, job);
        }
    });
}

void EnginePool::endPrefill(std::size_t index, const Job &job)
{
    Engine &engine = this->engines[index];
    engine.prefilling = false;
    this->cacheStore(index, job);
    if (!engine.silent) {
        this->options.onFirstToken(index, job);
    }
    const double took = decodeMs(engine.options, job, engine.active.size());
    this->at(this->clockMs + took, [this, index, job, epoch = engine.epoch] {
        if (this->engines[index].epoch == epoch) {
            this->endDecode(index, job);
        }
    });
    this->startPrefill(index);
}

void EnginePool::endDecode(std::size_t index, const Job &job)
{
    Engine &engine = this->engines[index];
    engine.active.erase(job.id);
    if (!engine.silent) {
        this->options.onDone(index, job, true);
    }
    this->startPrefill(index);
}

double EnginePool::cacheHit(Engine &engine, const Job &job)
{
    const auto found = engine.cache.find(job.group);
    if (found == engine.cache.end()) {
        return 0;
    }
    engine.byUse.splice(engine.byUse.begin(), engine.byUse, found->second.recent);
    return std::min(found->second.tokens, job.prefixTokens);
}

void EnginePool::cacheStore(std::size_t index, const Job &job)
{
    Engine &engine = this->engines[index];
    const auto [found, added] = engine.cache.try_emplace(job.group);
    if (added) {
        engine.byUse.push_front(job.group);
        found->second.recent = engine.byUse.begin();
    }
    engine.cachedTokens += job.promptTokens - found->second.tokens;
    found->second.tokens = job.promptTokens;
    found->second.turn = job.turns.size();
    this->tellCache(index, prefixName(job.group, job.turns.size()), false);
    while (engine.cachedTokens > engine.options.cacheTokens && engine.byUse.size() > 1) {
        const std::uint64_t oldest = engine.byUse.back();
        engine.byUse.pop_back();
        const Cached evicted = engine.cache[oldest];
        engine.cachedTokens -= evicted.tokens;
        engine.cache.erase(oldest);
        this->tellCache(index, prefixName(oldest, evicted.turn), true);
    }
}

void EnginePool::tellCache(std::size_t index, std::uint64_t prefix, bool evicted)
{
    if (!this->options.onCacheEvent || std::uniform_real_distribution<double>(0, 1)(this->random) < this->options.eventGaps) {
        return;
    }
    const double lag = this->options.reportLagMs;
    this->at(this->clockMs + lag, [this, index, prefix, evicted, lag] {
        this->options.onCacheEvent(index, prefix, evicted, lag);
    });
}

void EnginePool::report()
{
    std::vector<std::pair<std::size_t, EngineReport>> reports;
    for (std::size_t index = 0; index < this->engines.size(); ++index) {
        const Engine &engine = this->engines[index];
        if (!engine.alive || engine.silent) {
            continue;
        }
        const auto queued = static_cast<unsigned>(engine.interactive.size() + engine.drafts.size());
        reports.emplace_back(index, EngineReport{static_cast<unsigned>(engine.active.size()), queued, engine.options.slots});
    }
    this->at(this->clockMs + this->options.reportLagMs, [this, reports = std::move(reports)] {
        for (const auto &[index, report] : reports) {
            if (this->engines[index].alive && !this->engines[index].silent) {
                this->options.onReport(index, report);
            }
        }
    });
    this->at(this->clockMs + this->options.reportEveryMs, [this] {
        this->report();
    });
}

void EnginePool::setSlowness(std::size_t engine, double slowness)
{
    this->engines[engine].options.slowness = slowness;
}

void EnginePool::fail(std::size_t index)
{
    Engine &engine = this->engines[index];
    engine.alive = false;
    ++engine.epoch;
    std::vector<Job> cut(engine.interactive.begin(), engine.interactive.end());
    cut.insert(cut.end(), engine.drafts.begin(), engine.drafts.end());
    for (const auto &[id, job] : engine.active) {
        cut.push_back(job);
    }
    engine.interactive.clear();
    engine.drafts.clear();
    engine.active.clear();
    for (const Job &job : cut) {
        this->options.onDone(index, job, false);
    }
}

void EnginePool::silence(std::size_t engine)
{
    this->engines[engine].silent = true;
}

bool EnginePool::isAlive(std::size_t engine) const
{
    return this->engines[engine].alive && !this->engines[engine].silent;
}

double EnginePool::hitShare() const
{
    return this->askedTokens > 0 ? this->hitTokens / this->askedTokens : 0;
}

double EnginePool::capacityPerSecond(double promptTokens, double outputTokens) const
{
    double sum = 0;
    for (const Engine &engine : this->engines) {
        const EngineOptions &known = engine.options;
        const double prefill = (5 + promptTokens * known.prefillMsPerToken) * (1 + known.prefillInterference) * known.slowness;
        const double run = prefill + decodeMs(known, {.outputTokens = outputTokens}, known.slots);
        sum += MsPerSecond / std::max(prefill, run / known.slots);
    }
    return sum;
}

Spread spreadOf(const std::vector<double> &values)
{
    if (values.empty()) {
        return {};
    }
    const auto [least, most] = std::minmax_element(values.begin(), values.end());
    return {.mean = std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size()), .least = *least, .most = *most};
}

double quantileOf(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto place = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + place, values.end());
    return values[static_cast<std::size_t>(place)];
}

void inParallel(std::size_t count, const std::function<void(std::size_t)> &job)
{
    std::atomic<std::size_t> next = 0;
    std::vector<std::jthread> threads;
    threads.reserve(Threads);
    for (unsigned i = 0; i < Threads; ++i) {
        threads.emplace_back([&] {
            for (std::size_t index = next++; index < count; index = next++) {
                job(index);
            }
        });
    }
}

std::string spreadJson(const Spread &spread)
{
    return nlohmann::json{{"mean", rounded(spread.mean)}, {"least", rounded(spread.least)}, {"most", rounded(spread.most)}}.dump();
}

bool printAim(const std::string &bench, const std::string &aim, double value, double bound, bool met)
{
    const nlohmann::json line{{"bench", bench}, {"aim", aim}, {"value", rounded(value)}, {"bound", bound}, {"result", met ? "met" : "missed"}};
    std::cout << line.dump() << std::endl;
    return met;
}

} // namespace Apricothead::Bench
