#include "GatewayTask.h"

#include "ForwardRun.h"
#include "GatewayContext.h"
#include "PendingRequests.h"

#include "../Coordination/Shared/MetricsServer.h"
#include "../Decisions/OutagePolicy.h"
#include "../Protocol/RequestTarget.h"
#include "../Transport/ByteBudget.h"
#include "../Transport/Log.h"
#include "../Transport/Timer.h"
#include "../Transport/WallClock.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace Apricothead {
namespace {

using std::chrono::milliseconds;

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusUnauthorised = 401;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;

/** The lease ends this long before the bound on revocation. Confirmations arrive several times a second, so one that is missing for longer is
 * lost rather than late. */
constexpr std::uint64_t LeaseMarginMs = 800;
/** Time for the platform to notice that the gateway is not ready: it probes once a second and tolerates two failures. Then new requests are
 * refused and listening ends. */
constexpr std::uint64_t ReadinessNoticeMs = 2700;
constexpr milliseconds ShutdownCheckInterval{50};
/** Idle time after which a connection is closed during shutdown; a new connection sends its request sooner. */
constexpr milliseconds ShutdownIdleTimeout{300};
/** The gateway has stopped this long before the platform kills the process. */
constexpr std::uint64_t ShutdownMarginMs = 500;
/** Time before that for the answers to requests that are still open. */
constexpr std::uint64_t ShutdownAnswerMs = 300;
/** Callers reuse connections for four fifths of their own idle limit. This one must be longer, so that the caller closes first and no request
 * meets a closing connection. */
constexpr std::chrono::seconds CallerIdleTimeout{60};
constexpr unsigned MaxCallerConnections = 1000;
constexpr unsigned MaxReadyConnections = 32;
/** A probe has no body. */
constexpr std::size_t MaxReadyBodyBytes = 4096;
/** Assumed for a caller that states no deadline. */
constexpr std::uint64_t DefaultCallerTimeoutMs = 1000;
constexpr double MsPerSecond = 1000;
/** A fifth of the process's memory is for the prompts that endpoints probably have cached. */
constexpr std::size_t PrefixMemoryShare = 5;
constexpr std::size_t PrefixBytes = 200;

std::size_t maxPrefixes(const Settings &settings)
{
    constexpr std::size_t BytesPerMegabyte = 1024UL * 1024;
    return settings.memoryMb * BytesPerMegabyte / PrefixMemoryShare / PrefixBytes;
}

} // namespace

struct GatewayTask::Private {
    Private(EventLoop &loop, GatewayTaskOptions given)
        : settings(std::move(given.settings))
        , context{
              .loop = loop,
              .settings = *settings.gateway,
              .dialect = std::move(given.dialect),
              .client = HttpClient(loop),
              .endpoints = DirectEndpoints({
                  .availabilityZone = settings.availabilityZone,
                  .maxPrefixes = maxPrefixes(settings),
                  .coldRate = {.ratio = settings.gateway->coldRatio, .slack = settings.gateway->coldSlack},
                  .pace = settings.gateway->paceStarted ? std::optional(EndpointPaceOptions{}) : std::nullopt,
              }),
              .versionSplit = VersionSplit(static_cast<std::uint64_t>(settings.gateway->session.count())),
              .retries = RetryWindow({
                  .ratio = settings.gateway->retryRatio,
                  .windowMs = static_cast<std::uint64_t>(settings.gateway->retryWindow.count()),
                  .slack = settings.gateway->retrySlack,
              }),
              .onEnded =
                  [this](const ForwardRun *run) {
                      this->runs.erase(run);
                  },
          }
        , pendingRequests(loop,
                      {
                          .canAdmit =
                              [this] {
                                  return this->hasLease();
                              },
                          .admit =
                              [this](ForwardRequest request, const std::shared_ptr<HttpReply> &reply) {
                                  this->admit(std::move(request), reply);
                              },
                          .refuse =
                              [this](const ForwardRequest &request, const std::shared_ptr<HttpReply> &reply) {
                                  this->refuseForLease(request, reply);
                              },
                      })
        , startedMs(loop.nowMs())
        , shutdownTimer(loop, [this] {
            this->checkShutdown();
        })
    { }

    void listen();
    void startServingView();
    void applyServingState(const Wire::ServingState &state);
    void applyZones(const Wire::ServingState &state);
    void updateGatewayPlace();
    void applyLimits(const LimitConfirmation &confirmation);
    /** Withdraws requests that may be withheld by now from their endpoints. */
    void withdrawWithheld();
    void applyAnnouncements(const std::vector<Wire::EndpointAnnouncement> &changed);
    void answerReady(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void handleRequest(HttpRequest request, const std::shared_ptr<HttpReply> &reply);
    void recordAbandoned(const HttpRequest &request);
    void admit(ForwardRequest request, const std::shared_ptr<HttpReply> &reply);
    void holdForLease(ForwardRequest request, const std::shared_ptr<HttpReply> &reply);
    void refuseForLease(const ForwardRequest &request, const std::shared_ptr<HttpReply> &reply);
    void refuse(const std::shared_ptr<HttpReply> &reply, const std::string &id, unsigned status, const std::string &reason, std::uint64_t retryAfterMs = 0);
    /** \returns the age in ms at which a lease ends */
    std::uint64_t leaseTermMs() const;
    bool hasLease() const;
    OutageQuery outageQuery(const ForwardRequest &request) const;
    std::vector<MetricLine> readMetrics();
    void checkShutdown();

    Settings settings;
    GatewayContext context;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpServer> readyServer;
    std::unique_ptr<MetricsServer> metricsServer;
    std::unordered_map<const ForwardRun *, std::unique_ptr<ForwardRun>> runs;
    PendingRequests pendingRequests;
    const std::uint64_t startedMs;
    Timer shutdownTimer;
    std::uint64_t stoppingSinceMs = 0;
    /** Withheld parts that were last told in the log. */
    std::size_t withheldParts = 0;
    /** Endpoints with a limit, as last told in the log. */
    std::size_t limitedEndpoints = 0;
    std::set<std::string> evacuatedZones;
    std::function<void()> stopped;
};

void GatewayTask::Private::startServingView()
{
    this->context.crashes.onCrash([this] {
        this->context.view->sendNews();
        this->withdrawWithheld();
    });
    this->context.startTrial = [this](const std::vector<std::uint64_t> &parts, std::function<void(bool)> done) {
        this->context.view->startTrial(parts, std::move(done));
    };
    this->context.view = std::make_unique<ServingView>(this->context.loop,
                                                       ServingViewOptions{
                                                           .settings = this->settings,
                                                           .onServingState =
                                                               [this](const Wire::ServingState &state) {
                                                                   this->applyServingState(state);
                                                               },
                                                           .onAnnouncements =
                                                               [this](const std::vector<Wire::EndpointAnnouncement> &changed) {
                                                                   this->applyAnnouncements(changed);
                                                               },
                                                           .versionCounts =
                                                               [this] {
                                                                   return this->context.versionCounts.read(this->context.loop.nowMs());
                                                               },
                                                           .takeOwnLoads =
                                                               [this] {
                                                                   return this->context.endpoints.takeOwnLoads();
                                                               },
                                                           .onLoads =
                                                               [this](const std::vector<Wire::EndpointLoad> &loads) {
                                                                   this->context.endpoints.setOtherLoads(loads);
                                                               },
                                                           .onPrompts =
                                                               [this](const EndpointLoads &prompts) {
                                                                   this->context.endpoints.recordOtherPrompts(prompts);
                                                               },
                                                           .heldSessions =
                                                               [this] {
                                                                   return this->context.versionSplit.heldSessions(this->context.loop.nowMs());
                                                               },
                                                           .crashReports =
                                                               [this](std::uint64_t round) {
                                                                   return this->context.crashes.reports(round);
                                                               },
                                                           .clearances =
                                                               [this] {
                                                                   return this->context.quarantine.clearances();
                                                               },
                                                           .limitReports =
                                                               [this](std::uint64_t round) {
                                                                   return this->context.endpoints.limits().reports(round, this->context.loop.nowMs());
                                                               },
                                                           .onLimits =
                                                               [this](const LimitConfirmation &confirmation) {
                                                                   this->applyLimits(confirmation);
                                                               },
                                                           .onConfirmed =
                                                               [this](std::uint64_t round) {
                                                                   this->updateGatewayPlace();
                                                                   this->context.quarantine.recordContact(this->context.loop.nowMs());
                                                                   this->context.crashes.confirmReports(round);
                                                               },
                                                           .onHeldSessions =
                                                               [this](const std::vector<std::uint64_t> &sessions) {
                                                                   this->context.versionSplit.setOtherHeldSessions(sessions, this->context.loop.nowMs());
                                                               },
                                                       });
}

void GatewayTask::Private::applyServingState(const Wire::ServingState &state)
{
    const std::uint64_t nowMs = this->context.loop.nowMs();
    this->context.versionSplit.setState(state, nowMs);
    this->context.versionCounts.setRollouts(state.rollouts());
    this->context.quarantine.setSuspects(state.suspects(), nowMs);
    this->applyZones(state);
    this->withdrawWithheld();
}

void GatewayTask::Private::updateGatewayPlace()
{
    constexpr std::uint64_t MicrosPerMs = 1000;
    this->context.endpoints.setGatewayPlace(
        this->context.view->gatewayRank(), this->context.view->gateways(), wallClockMicros() / MicrosPerMs - this->context.loop.nowMs());
}

void GatewayTask::Private::applyLimits(const LimitConfirmation &confirmation)
{
    EndpointLimits &limits = this->context.endpoints.limits();
    limits.confirm(confirmation, this->context.loop.nowMs());
    const std::size_t count = limits.limitedCount();
    if (std::exchange(this->limitedEndpoints, count) != count) {
        logLine(LogLevel::Info, "endpoints-limited", {{"count", static_cast<std::uint64_t>(count)}});
    }
    this->context.limitQueue.retryAll();
}

void GatewayTask::Private::applyZones(const Wire::ServingState &state)
{
    std::map<std::string, ColdService> coldServices;
    for (const Wire::PlanService &service : state.plan().services()) {
        if (service.cold_per_second() > 0) {
            coldServices[service.name()] = {.perSecond = service.cold_per_second(), .startMs = service.cold_start_ms()};
        }
    }
    this->context.endpoints.setColdServices(std::move(coldServices));
    std::set<std::string> zones;
    for (const Wire::Evacuation &evacuation : state.evacuations()) {
        zones.insert(evacuation.availability_zone());
    }
    this->context.endpoints.setEvacuatedZones(zones, this->context.loop.nowMs());
    if (std::exchange(this->evacuatedZones, zones) == zones) {
        return;
    }
    for (const auto &[zone, endpoints] : this->context.endpoints.evacuatedCounts()) {
        logLine(LogLevel::Warning, "zone-evacuated", {{"zone", zone}, {"endpoints", static_cast<std::uint64_t>(endpoints)}});
    }
    if (zones.empty()) {
        logLine(LogLevel::Info, "zones-in-use", {{"number", state.number()}});
    }
}

void GatewayTask::Private::withdrawWithheld()
{
    const std::size_t count = this->context.quarantine.withheldCount();
    if (std::exchange(this->withheldParts, count) != count) {
        logLine(LogLevel::Warning,
                "parts-withheld",
                {{"withheld", static_cast<std::uint64_t>(count)}, {"suspect", static_cast<std::uint64_t>(this->context.quarantine.suspectCount())}});
    }
    for (const auto &[key, run] : this->runs) {
        run->withdrawIfWithheld();
    }
}

void GatewayTask::Private::applyAnnouncements(const std::vector<Wire::EndpointAnnouncement> &changed)
{
    this->context.endpoints.applyAnnouncements(changed);
    for (const Wire::EndpointAnnouncement &announcement : changed) {
        this->context.endpoints.recordCold(announcement.endpoint(), announcement.cold_ms(), this->context.loop.nowMs());
        logLine(LogLevel::Info,
                "endpoint-seen",
                {{"endpoint", announcement.endpoint()},
                 {"service", announcement.service()},
                 {"version", announcement.version()},
                 {"coldMs", announcement.cold_ms()},
                 {"state", Wire::AnnouncedState_Name(announcement.state())}});
    }
}

void GatewayTask::Private::listen()
{
    const GatewaySettings &gateway = *this->settings.gateway;
    this->server = std::make_unique<HttpServer>(this->context.loop,
                                                HttpServerOptions{
                                                    .address = gateway.callerAddress,
                                                    .maxBodyBytes = gateway.maxBodyBytes,
                                                    .maxHeaderBytes = gateway.maxHeaderBytes,
                                                    .maxConnections = MaxCallerConnections,
                                                    .idleTimeout = CallerIdleTimeout,
                                                    .onRequest =
                                                        [this](HttpRequest request, const std::shared_ptr<HttpReply> &reply) {
                                                            this->handleRequest(std::move(request), reply);
                                                        },
                                                    .onAbandoned =
                                                        [this](const HttpRequest &request) {
                                                            this->recordAbandoned(request);
                                                        },
                                                });
    this->readyServer = std::make_unique<HttpServer>(this->context.loop,
                                                     HttpServerOptions{
                                                         .address = gateway.readyAddress,
                                                         .maxBodyBytes = MaxReadyBodyBytes,
                                                         .maxConnections = MaxReadyConnections,
                                                         .onRequest =
                                                             [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                                                                 this->answerReady(request, reply);
                                                             },
                                                     });
    if (!this->settings.metricsAddress.empty()) {
        this->metricsServer = std::make_unique<MetricsServer>(this->context.loop, this->settings.metricsAddress, [this] {
            return this->readMetrics();
        });
    }
}

std::vector<MetricLine> GatewayTask::Private::readMetrics()
{
    std::vector<MetricLine> lines = this->context.metrics.read();
    const auto gauge = [&lines](const std::string &name, const std::string &label, double value) {
        lines.push_back({.name = name, .label = label, .statistic = {}, .value = value});
    };
    const std::shared_ptr<const PlanIndex> plan = this->context.view->plan();
    gauge("plan_revision", {}, plan ? static_cast<double>(plan->revision()) : 0);
    gauge("lease_age_ms", {}, static_cast<double>(this->context.view->reportedLeaseAgeMs()));
    gauge("gateways", {}, this->context.view->gateways());
    gauge("requests_open", {}, static_cast<double>(this->runs.size()));
    gauge("requests_waiting", {}, static_cast<double>(this->pendingRequests.size()));
    gauge("placement_rebuilds_total", {}, static_cast<double>(this->context.endpoints.rebuilds()));
    gauge("placement_prefixes", {}, static_cast<double>(this->context.endpoints.prefixCount()));
    gauge("placement_prefixes_unreported_total", {}, static_cast<double>(this->context.endpoints.unreportedPrefixes()));
    gauge("placement_models", {}, static_cast<double>(this->context.endpoints.modelCount()));
    gauge("sessions_kept", "own", static_cast<double>(this->context.versionSplit.sessionCount()));
    gauge("sessions_kept", "elsewhere", static_cast<double>(this->context.versionSplit.otherSessionCount()));
    gauge("endpoints_known", {}, static_cast<double>(this->context.endpoints.endpointCount()));
    gauge("endpoint_connections", {}, static_cast<double>(this->context.client.openConnections()));
    gauge("endpoint_connection_ids", {}, static_cast<double>(this->context.client.rememberedIds()));
    gauge("versions_counted", {}, static_cast<double>(this->context.versionCounts.read(this->context.loop.nowMs()).size()));
    gauge("parts_answered", {}, static_cast<double>(this->context.quarantine.answeredCount()));
    gauge("parts_suspect", {}, static_cast<double>(this->context.quarantine.suspectCount()));
    gauge("parts_withheld", {}, static_cast<double>(this->context.quarantine.withheldCount()));
    gauge("endpoints_limited", {}, static_cast<double>(this->context.endpoints.limits().limitedCount()));
    gauge("limit_permits", {}, static_cast<double>(this->context.endpoints.limits().permitCount(this->context.loop.nowMs())));
    gauge("requests_awaiting_limit", {}, static_cast<double>(this->context.limitQueue.size()));
    gauge("log_lines_dropped_total", {}, static_cast<double>(droppedLogLines()));
    for (const auto &[zone, endpoints] : this->context.endpoints.evacuatedCounts()) {
        gauge("endpoints_evacuated", zone, static_cast<double>(endpoints));
    }
    gauge("client_bytes_held", {}, static_cast<double>(ByteBudget::process().used()));
    gauge("client_connections", {}, static_cast<double>(this->server->openConnections()));
    for (const auto &[why, count] : this->server->closings()) {
        gauge("connections_closed_total", why, static_cast<double>(count));
    }
    for (int index = 0; plan && index < plan->plan().services_size(); ++index) {
        const std::string &service = plan->plan().services(index).name();
        gauge("endpoints_ready", service, static_cast<double>(this->context.endpoints.readyCount(service)));
        gauge("endpoints_paced", service, static_cast<double>(this->context.endpoints.pacedCount(service)));
        gauge("retries_left", service, this->context.retries.remaining(service, this->context.loop.nowMs()));
    }
    return lines;
}

std::uint64_t GatewayTask::Private::leaseTermMs() const
{
    const auto revocationMs = static_cast<std::uint64_t>(this->settings.gateway->revocation.count());
    return revocationMs - std::min(revocationMs, LeaseMarginMs);
}

bool GatewayTask::Private::hasLease() const
{
    const std::optional<std::uint64_t> ageMs = this->context.view->leaseAgeMs();
    return this->context.view->plan() && ageMs && *ageMs < this->leaseTermMs();
}

void GatewayTask::Private::answerReady(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    if (request.path != this->context.dialect.readyPath) {
        reply->send(StatusNotFound, {}, {});
        return;
    }
    const bool isReady = this->stoppingSinceMs == 0 && this->hasLease() && this->server->acceptsConnections();
    reply->send(isReady ? StatusOk : StatusUnavailable, {}, {});
}

OutageQuery GatewayTask::Private::outageQuery(const ForwardRequest &request) const
{
    const std::optional<std::uint64_t> ageMs = this->context.view->leaseAgeMs();
    return {
        .callerTimeoutMs = request.callerTimeoutMs.value_or(DefaultCallerTimeoutMs),
        .outageMs = ageMs ? *ageMs - std::min(*ageMs, this->leaseTermMs()) : this->context.loop.nowMs() - this->startedMs,
        .draw = uniformHash(request.id),
    };
}

void GatewayTask::Private::holdForLease(ForwardRequest request, const std::shared_ptr<HttpReply> &reply)
{
    const std::uint64_t holdMs = outageHoldMs(this->outageQuery(request));
    const std::string id = request.id;
    if (holdMs == 0 || !this->pendingRequests.add(request, reply, holdMs)) {
        this->refuseForLease(request, reply);
        return;
    }
    logLine(LogLevel::Info, "request-held", {{"request", id}, {"holdMs", holdMs}, {"leaseAgeMs", this->context.view->reportedLeaseAgeMs()}});
}

void GatewayTask::Private::refuseForLease(const ForwardRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    const std::string reason = this->context.view->plan() ? "no-lease" : "no-plan";
    this->refuse(reply, request.id, StatusUnavailable, reason, outageRetryAfterMs(this->outageQuery(request)));
}

void GatewayTask::Private::refuse(const std::shared_ptr<HttpReply> &reply,
                                  const std::string &id,
                                  unsigned status,
                                  const std::string &reason,
                                  std::uint64_t retryAfterMs)
{
    HttpHeaders headers{{"Content-Type", "application/json"}};
    if (retryAfterMs > 0) {
        headers["Retry-After"] = std::to_string(static_cast<double>(retryAfterMs) / MsPerSecond);
    }
    logLine(LogLevel::Warning,
            "request-refused",
            {{"request", id},
             {"status", static_cast<std::uint64_t>(status)},
             {"why", reason},
             {"returnMs", retryAfterMs},
             {"revision", this->context.view->plan() ? this->context.view->plan()->revision() : 0},
             {"leaseAgeMs", this->context.view->reportedLeaseAgeMs()}});
    this->context.metrics.count("requests_refused_total", reason);
    reply->send(status, headers, "{\"error\":\"" + reason + "\"}");
}

void GatewayTask::Private::handleRequest(HttpRequest received, const std::shared_ptr<HttpReply> &reply)
{
    std::optional<ForwardRequest> request = this->context.dialect.decode(std::move(received));
    if (!request) {
        this->refuse(reply, {}, StatusBadRequest, "unreadable");
        return;
    }
    if (!isOriginForm(request->target)) {
        this->refuse(reply, request->id, StatusBadRequest, "bad-target");
        return;
    }
    const bool isPastNotice = this->stoppingSinceMs != 0 && this->context.loop.nowMs() - this->stoppingSinceMs > ReadinessNoticeMs;
    if (isPastNotice) {
        this->refuse(reply, request->id, StatusUnavailable, "stopping", StoppingRetryAfterMs);
        return;
    }
    this->admit(*std::move(request), reply);
}

void GatewayTask::Private::recordAbandoned(const HttpRequest &received)
{
    const std::optional<ForwardRequest> request = this->context.dialect.decode(received);
    logLine(LogLevel::Warning, "request-abandoned", {{"request", request ? request->id : std::string()}, {"why", "caller-left-unread"}});
    this->context.metrics.count("requests_abandoned_total", "caller-left-unread");
}

void GatewayTask::Private::admit(ForwardRequest request, const std::shared_ptr<HttpReply> &reply)
{
    this->context.retries.setGateways(this->context.view->gateways());
    this->context.endpoints.setGatewayCount(this->context.view->gateways());
    const std::shared_ptr<const PlanIndex> plan = this->context.view->plan();
    if (!plan) {
        this->holdForLease(std::move(request), reply);
        return;
    }
    // Without a lease a newer plan may be in force elsewhere, so a route or key missing from this one is no reason to deny the request.
    const bool hasLease = this->hasLease();
    const Wire::PlanRoute *route = plan->route(request.host, request.path);
    const bool needsKey = route != nullptr && !route->open() && plan->plan().organisations_size() > 0;
    if (!hasLease && (route == nullptr || needsKey)) {
        this->holdForLease(std::move(request), reply);
        return;
    }
    if (route == nullptr) {
        this->refuse(reply, request.id, StatusNotFound, "no-route");
        return;
    }
    const Wire::PlanOrganisation *organisation = needsKey ? plan->organisation(request.key) : nullptr;
    if (needsKey && organisation == nullptr) {
        this->refuse(reply, request.id, StatusUnauthorised, "unknown-key");
        return;
    }
    auto run = std::make_unique<ForwardRun>(this->context, std::move(request), reply, plan, route, organisation);
    ForwardRun &started = *run;
    this->runs.emplace(&started, std::move(run));
    started.start();
}

void GatewayTask::Private::checkShutdown()
{
    const std::uint64_t nowMs = this->context.loop.nowMs();
    // Otherwise a request could arrive on a persistent connection just before listening ends.
    this->server->closeIdle(ShutdownIdleTimeout);
    const std::uint64_t answerUntilMs = *this->context.stopsAtMs;
    const bool isGraceOver = nowMs >= answerUntilMs;
    if (nowMs - this->stoppingSinceMs < ReadinessNoticeMs && !isGraceOver) {
        return;
    }
    this->server->stopListening();
    if (isGraceOver) {
        this->pendingRequests.refuseAll();
        for (const auto &[key, run] : this->runs) {
            run->endForStop();
        }
    }
    // A caller that reads slowly is still being sent the answer of a run that has ended.
    const std::size_t unsentAnswers = this->server->openRequests();
    if ((!this->runs.empty() || unsentAnswers > 0) && nowMs < answerUntilMs + ShutdownAnswerMs) {
        return;
    }
    this->shutdownTimer.stop();
    logLine(LogLevel::Info, "gateway-stopped", {{"cut", static_cast<std::uint64_t>(std::max(this->runs.size(), unsentAnswers))}});
    std::exchange(this->stopped, nullptr)();
}

GatewayTask::GatewayTask(EventLoop &loop, GatewayTaskOptions options) : d(std::make_unique<Private>(loop, std::move(options)))
{ }

GatewayTask::~GatewayTask() = default;

void GatewayTask::start()
{
    this->d->startServingView();
    this->d->listen();
}

void GatewayTask::stop(std::function<void()> stopped)
{
    this->d->stopped = std::move(stopped);
    this->d->stoppingSinceMs = this->d->context.loop.nowMs();
    const auto graceMs = static_cast<std::uint64_t>(this->d->settings.gateway->grace.count());
    this->d->context.stopsAtMs = this->d->stoppingSinceMs + graceMs - std::min(graceMs, ShutdownMarginMs + ShutdownAnswerMs);
    this->d->server->closeAfterAnswers();
    this->d->shutdownTimer.startRepeating(ShutdownCheckInterval);
}

} // namespace Apricothead
