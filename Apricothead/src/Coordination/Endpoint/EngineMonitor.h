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
 * \brief Asks the engine at intervals for its health, load and cache events, and keeps the last answers.
 */
class EngineMonitor
{
public:
    /** \a onHealth is called when the engine's health changes; \a adapter must outlive the monitor. */
    EngineMonitor(EventLoop &loop, const EngineAdapter &adapter, std::chrono::milliseconds loadInterval, std::function<void()> onHealth);
    EngineMonitor(const EngineMonitor &) = delete;
    EngineMonitor &operator=(const EngineMonitor &) = delete;

    void start();

    /** A run could not reach the engine: asks at once. */
    void probeNow();

    bool isHealthy() const;
    /** \returns the engine's last load report, unknown when it gives none */
    const EngineLoad &load() const;
    /** \returns how old the last load report is, in ms, by the engine's word and our clock */
    std::uint64_t loadAgeMs() const;
    /** \returns cache events since the last call */
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
