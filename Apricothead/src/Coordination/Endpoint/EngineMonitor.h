#pragma once

#include "EngineAdapter.h"

#include "../../Transport/EventLoop.h"
#include "../../Transport/Timer.h"

#include <chrono>
#include <functional>
#include <vector>

namespace Apricothead {

/** \class EngineMonitor
 * \ingroup Coordination_Module
 * \brief Polls the engine for its health, load and cache events, and keeps the latest reports.
 */
class EngineMonitor
{
public:
    /** \a onHealth is called when the engine's health changes; \a adapter must outlive the monitor. */
    EngineMonitor(EventLoop &loop, const EngineAdapter &adapter, std::chrono::milliseconds loadInterval, std::function<void()> onHealth);
    EngineMonitor(const EngineMonitor &) = delete;
    EngineMonitor &operator=(const EngineMonitor &) = delete;

    void start();

    /** Probes the engine at once, after a run could not reach it. */
    void probeNow();

    bool isHealthy() const;
    /** \returns the engine's last load report; its known is false when there is none */
    const EngineLoad &load() const;
    /** \returns the age of the last load report in ms: the age that the engine gave and the time since it was read; 0 without a report */
    std::uint64_t loadAgeMs() const;
    /** \returns the cache events received since the last call */
    std::vector<Wire::PrefixHint> extractPrefixes();

private:
    void probe();
    void handleProbeResult(bool isAnswered);
    void readReports();

    EventLoop &loop;
    const EngineAdapter &adapter;
    std::chrono::milliseconds loadInterval;
    std::function<void()> onHealth;
    Timer probeTimer;
    Timer loadTimer;
    bool healthy = false;
    bool isProbing = false;
    bool isReadingLoad = false;
    bool isReadingEvents = false;
    unsigned failures = 0;
    EngineLoad lastLoad;
    std::uint64_t loadReadAtMs = 0;
    std::uint64_t nextEvent = 0;
    std::vector<Wire::PrefixHint> prefixes;
};

} // namespace Apricothead
