#pragma once

#include "CrashWatch.h"
#include "ForwardRequest.h"
#include "HeldAnswers.h"
#include "LimitQueue.h"
#include "ServingView.h"
#include "VersionCounts.h"

#include "../Coordination/Shared/Metrics.h"
#include "../Decisions/DirectEndpoints.h"
#include "../Decisions/ModelEscalation.h"
#include "../Decisions/PartQuarantine.h"
#include "../Decisions/RequestDurations.h"
#include "../Decisions/RetryWindow.h"
#include "../Decisions/VersionSplit.h"
#include "../Protocol/Settings.h"
#include "../Transport/EventLoop.h"
#include "../Transport/HttpClient.h"
#include "../Transport/Ticker.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace Apricothead {

class ForwardRun;

/** Interval of checks for silent endpoints. */
constexpr std::chrono::milliseconds ProgressCheckInterval{150};

/** Retry-After of a gateway that stops: another one can serve the caller at once. */
constexpr std::uint64_t StoppingRetryAfterMs = 50;

/** \class GatewayContext
 * \ingroup Gateway_Module
 * \brief State shared by all runs of one gateway.
 */
struct GatewayContext {
    EventLoop &loop;
    const GatewaySettings settings;
    const GatewayDialect dialect;
    HttpClient client;
    DirectEndpoints endpoints;
    VersionSplit versionSplit;
    RetryWindow retries;
    ModelEscalation escalation;
    VersionCounts versionCounts;
    RequestDurations durations;
    Metrics metrics;
    HeldAnswers answers;
    std::unique_ptr<ServingView> view;
    PartQuarantine quarantine;
    CrashWatch crashes{loop, {.client = client, .endpoints = endpoints, .quarantine = quarantine, .metrics = metrics}};
    /** Asks for the right to send one request with withheld parts; the callback is called once. Empty where no trial is possible. */
    std::function<void(const std::vector<std::uint64_t> &parts, std::function<void(bool granted)>)> startTrial;
    /** When the requests of a gateway that stops have to be answered; nothing before the stop. */
    std::optional<std::uint64_t> stopsAtMs;
    /** Progress checks of the runs. */
    Ticker progressChecks{loop, ProgressCheckInterval};
    LimitQueue limitQueue{progressChecks, [this](const std::string &service, std::uint32_t count) {
                              endpoints.limits().setWaiting(service, count);
                          }};
    /** Called when a run has ended and may be destroyed. */
    std::function<void(const ForwardRun *)> onEnded;
};

} // namespace Apricothead
