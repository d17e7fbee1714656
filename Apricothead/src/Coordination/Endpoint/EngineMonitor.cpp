#include "EngineMonitor.h"

#include "../../Transport/Log.h"

#include <utility>

namespace Apricothead {
namespace {

constexpr std::chrono::milliseconds ProbeInterval{500};
/** Consecutive failed probes after which the engine is unhealthy. */
constexpr unsigned MaxProbeFailures = 2;
/** Maximum number of cache events kept for the next load report; the oldest are discarded. */
constexpr std::size_t MaxPrefixes = 256;

} // namespace

EngineMonitor::EngineMonitor(EventLoop &eventLoop, const EngineAdapter &engine, std::chrono::milliseconds interval, std::function<void()> healthHook)
    : loop(eventLoop)
    , adapter(engine)
    , loadInterval(interval)
    , onHealth(std::move(healthHook))
    , probeTimer(eventLoop,
                 [this] {
                     this->probe();
                 })
    , loadTimer(eventLoop, [this] {
        this->readReports();
    })
{ }

void EngineMonitor::start()
{
    this->probeTimer.startRepeating(ProbeInterval);
    this->loadTimer.startRepeating(this->loadInterval);
    this->probe();
    this->readReports();
}

void EngineMonitor::probeNow()
{
    this->probe();
}

bool EngineMonitor::isHealthy() const
{
    return this->healthy;
}

const EngineLoad &EngineMonitor::load() const
{
    return this->lastLoad;
}

std::uint64_t EngineMonitor::loadAgeMs() const
{
    return this->lastLoad.known ? this->lastLoad.ageMs + (this->loop.nowMs() - this->loadReadAtMs) : 0;
}

std::vector<Wire::PrefixHint> EngineMonitor::extractPrefixes()
{
    return std::exchange(this->prefixes, {});
}

void EngineMonitor::probe()
{
    if (std::exchange(this->isProbing, true)) {
        return;
    }
    this->adapter.probe([this](bool isAnswered) {
        this->isProbing = false;
        this->handleProbeResult(isAnswered);
    });
}

void EngineMonitor::handleProbeResult(bool isAnswered)
{
    this->failures = isAnswered ? 0 : this->failures + 1;
    const bool isHealthyNow = isAnswered || (this->healthy && this->failures < MaxProbeFailures);
    if (isHealthyNow == this->healthy) {
        return;
    }
    this->healthy = isHealthyNow;
    logLine(LogLevel::Info, "engine-health", {{"healthy", this->healthy}});
    this->onHealth();
}

void EngineMonitor::readReports()
{
    if (this->adapter.readLoad && !std::exchange(this->isReadingLoad, true)) {
        this->adapter.readLoad([this](const EngineLoad &load) {
            this->isReadingLoad = false;
            if (load.known) {
                this->lastLoad = load;
                this->loadReadAtMs = this->loop.nowMs();
            }
        });
    }
    if (this->adapter.readCacheEvents && !std::exchange(this->isReadingEvents, true)) {
        this->adapter.readCacheEvents(this->nextEvent, [this](const CacheEvents &events) {
            this->isReadingEvents = false;
            if (!events.known) {
                return;
            }
            this->nextEvent = events.next;
            this->prefixes.insert(this->prefixes.end(), events.hints.begin(), events.hints.end());
            if (this->prefixes.size() > MaxPrefixes) {
                this->prefixes.erase(this->prefixes.begin(), this->prefixes.end() - static_cast<std::ptrdiff_t>(MaxPrefixes));
            }
        });
    }
}

} // namespace Apricothead
