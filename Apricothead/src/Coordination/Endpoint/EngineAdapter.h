#pragma once

#include "../../Protocol/Messages.h"
#include "../../Protocol/Settings.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Apricothead {

class EventLoop;
class HttpClient;

/** \class EngineResult
 * \ingroup Coordination_Module
 * \brief How a run at an engine or plain service ended.
 */
struct EngineResult {
    /** True when it is certain that the engine never saw the request. */
    bool neverSent = false;
    Wire::Outcome outcome = Wire::OUTCOME_CUT;
    Wire::Verdict verdict = Wire::VERDICT_MAY_HAVE_RUN;
    /** HTTP status of the engine, 0 when it sent none. */
    unsigned status = 0;
    Wire::Usage usage;
    /** One line, empty when nothing is wrong. */
    std::string error;
};

/** \class EngineRunHooks
 * \ingroup Coordination_Module
 * \brief Called on the loop's thread while a run proceeds; onDone is the last one.
 */
struct EngineRunHooks {
    std::function<void(unsigned status, const std::string &contentType)> onHead;
    std::function<void(std::string)> onChunk;
    std::function<void(const EngineResult &)> onDone;
};

/** \class EngineRun
 * \ingroup Coordination_Module
 * \brief A run under way. Dropping it cancels the run at the engine, and no hook is called any more.
 */
class EngineRun
{
public:
    virtual ~EngineRun() = default;
    virtual void pause() = 0;
    virtual void resume() = 0;
    /** \returns what the run has used so far, as far as can be told */
    virtual Wire::Usage usage() const = 0;
};

/** \class EngineLoad
 * \ingroup Coordination_Module
 * \brief The engine's own report of its load, which lags.
 */
struct EngineLoad {
    bool known = false;
    unsigned running = 0;
    unsigned queued = 0;
    /** How old the report was when it was read, in ms. */
    std::uint64_t ageMs = 0;
    /** Versions the engine has loaded; empty when it does not tell. */
    std::vector<std::string> versions;

    bool operator==(const EngineLoad &) const = default;
};

/** \class CacheEvents
 * \ingroup Coordination_Module
 * \brief Events of the engine's prefix cache, in order. A gap means that some before the first one are lost.
 */
struct CacheEvents {
    bool known = false;
    bool gap = false;
    /** Number to ask from the next time. */
    std::uint64_t next = 0;
    std::vector<Wire::PrefixHint> hints;
};

/** \class EngineAdapter
 * \ingroup Coordination_Module
 * \brief One dialect of an engine or plain service. Hooks that the dialect lacks stay empty.
 */
struct EngineAdapter {
    std::function<std::unique_ptr<EngineRun>(const Wire::Run &, EngineRunHooks)> run;
    /** Tells whether the engine answers at all. */
    std::function<void(std::function<void(bool healthy)>)> probe;
    std::function<void(std::function<void(const EngineLoad &)>)> readLoad;
    std::function<void(std::uint64_t since, std::function<void(const CacheEvents &)>)> readCacheEvents;
    /** Passes an order on; \a done gets an error message, empty when the engine took it. */
    std::function<void(const Wire::Order &, std::function<void(const std::string &error)> done)> order;
};

/** \returns the dialect of engines with the OpenAI chat interface, streamed by server-sent events */
EngineAdapter chatEngineAdapter(EventLoop &loop, HttpClient &client, const EndpointSettings &settings);

/** \returns the dialect of plain services: bytes are passed on as they are */
EngineAdapter plainServiceAdapter(HttpClient &client, const EndpointSettings &settings);

} // namespace Apricothead
