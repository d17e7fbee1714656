#pragma once

#include "../../Decisions/Cascade.h"
#include "../../Decisions/RetryBudget.h"
#include "../Shared/Metrics.h"
#include "../Shared/ReplicaClient.h"
#include "EndpointPool.h"
#include "RolloutDriver.h"
#include "SessionCache.h"

#include "../../Protocol/Settings.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace Apricothead {

class EventLoop;
class RunRegistry;

/** \class EntryContext
 * \ingroup Coordination_Module
 * \brief State shared by the requests of one entry. Owned by EntryTask and used on its thread only.
 */
struct EntryContext {
    EventLoop &loop;
    const Settings &settings;
    EndpointPool &pool;
    RunRegistry &runs;
    RetryBudget &retryBudget;
    SessionCache &sessionCache;
    Metrics &metrics;
    RolloutDriver &rollouts;
    CascadeHistory &cascadeHistory;
    /** \returns a uniformly distributed number in [0, 1) */
    std::function<double()> random;
    /** The newest configuration received. It may be stale: the admission is authoritative. */
    std::function<const Wire::Configuration &()> configuration;
    /** \returns wall-clock ms since 1970 */
    std::function<std::int64_t()> wallClockMs;
    /** Proposes a command, with the proposal timeout of the settings. */
    std::function<void(Wire::Command, std::function<void(const ProposeOutcome &)>)> propose;
    /** Requests a rating. \a done gets no value if there is no rating service or it does not answer within \a timeout. */
    std::function<void(const std::string &body, std::chrono::milliseconds timeout, std::function<void(std::optional<double>)> done)> rate;
};

} // namespace Apricothead
