#pragma once

#include "../../Protocol/Messages.h"
#include "../../Protocol/Settings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

class EventLoop;
class HttpClient;

/** \class EngineResult
 * \ingroup Coordination_Module
 * \brief Result of a run at an engine or plain service.
 */
struct EngineResult {
    /** True when the request is certain not to have reached the engine. */
    bool neverSent = false;
    Wire::Outcome outcome = Wire::OUTCOME_CUT;
    Wire::Verdict verdict = Wire::VERDICT_MAY_HAVE_RUN;
    /** HTTP status of the engine's response, 0 when there was none. */
    unsigned status = 0;
    Wire::Usage usage;
    /** Message of one line, empty when there is no problem; \c empty-answer for a complete answer without content. */
    std::string error;
};

/** \class EngineRunHooks
 * \ingroup Coordination_Module
 * \brief Callbacks of a run, called on the event loop's thread; onDone is the last call.
 */
struct EngineRunHooks {
    std::function<void(unsigned status, const std::string &contentType)> onHead;
    /** Called before onHead where the settings name a field for it: the requests a second that the engine takes, nothing when it names no limit. */
    std::function<void(std::optional<double> perSecond)> onRequestLimit;
    std::function<void(std::string)> onChunk;
    std::function<void(const EngineResult &)> onDone;
};

/** \class EngineRun
 * \ingroup Coordination_Module
 * \brief Handle of a run in progress. Destroying it cancels the run at the engine; no hook is called afterwards.
 */
class EngineRun
{
public:
    virtual ~EngineRun() = default;
    virtual void pause() = 0;
    virtual void resume() = 0;
    /** \returns the usage of the run so far, an estimate where the engine reports none */
    virtual Wire::Usage usage() const = 0;
};

/** \class EngineLoad
 * \ingroup Coordination_Module
 * \brief Load as reported by the engine, which lags behind the actual load.
 */
struct EngineLoad {
    bool known = false;
    unsigned running = 0;
    unsigned queued = 0;
    /** Age of the report when it was read, in ms. */
    std::uint64_t ageMs = 0;
    /** Versions that the engine has loaded; empty when it does not report them. */
    std::vector<std::string> versions;

    bool operator==(const EngineLoad &) const = default;
};

/** \class CacheEvents
 * \ingroup Coordination_Module
 * \brief Events of the engine's prefix cache, in order. With a gap, some event numbers are missing.
 */
struct CacheEvents {
    bool known = false;
    bool gap = false;
    /** Number of the first event to request with the next read. */
    std::uint64_t next = 0;
    std::vector<Wire::PrefixHint> hints;
};

/** \class EngineAdapter
 * \ingroup Coordination_Module
 * \brief Adapter for the protocol of an engine or plain service. Functions that the protocol does not support are empty.
 */
struct EngineAdapter {
    std::function<std::unique_ptr<EngineRun>(const Wire::Run &, EngineRunHooks)> run;
    /** Checks whether the engine responds. */
    std::function<void(std::function<void(bool healthy)>)> probe;
    std::function<void(std::function<void(const EngineLoad &)>)> readLoad;
    std::function<void(std::uint64_t since, std::function<void(const CacheEvents &)>)> readCacheEvents;
    /** Sends an order to the engine; \a done gets an error message, empty when the engine accepted the order. */
    std::function<void(const Wire::Order &, std::function<void(const std::string &error)> done)> order;
};

/** \returns the adapter for engines with the OpenAI chat API, streamed as server-sent events */
EngineAdapter chatEngineAdapter(EventLoop &loop, HttpClient &client, const EndpointSettings &settings);

/** \returns the adapter for plain services, which passes bytes on unchanged */
EngineAdapter plainServiceAdapter(HttpClient &client, const EndpointSettings &settings);

} // namespace Apricothead
