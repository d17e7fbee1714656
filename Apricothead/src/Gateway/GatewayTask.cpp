#include "GatewayTask.h"

#include "ForwardRun.h"
#include "GatewayContext.h"
#include "WaitingRoom.h"

#include "../Coordination/Shared/MetricsServer.h"
#include "../Decisions/OutageAdvice.h"
#include "../Transport/Log.h"
#include "../Transport/Timer.h"

#include <algorithm>
#include <limits>
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

/** Confirmations come several times a second, so a lease that is this much short of the bound on revocation is lost, not late. */
constexpr std::uint64_t LeaseMarginMs = 800;
/** The platform asks once a second whether the gateway is ready, and takes two misses; what comes later is refused, and listening ends. */
constexpr std::uint64_t NoticeMs = 2700;
/** A caller that comes to a gateway which stops finds another one at once. */
constexpr std::uint64_t StoppingReturnMs = 50;
constexpr milliseconds StopCheckInterval{50};
/** New connections bring their request within this time. */
constexpr milliseconds KeptIdle{300};
/** What still runs is cut this long before the platform ends the process. */
constexpr std::uint64_t StopMarginMs = 500;
/** Callers reuse connections for four fifths of their limit on idle time; theirs must be the first to end. */
constexpr std::chrono::seconds CallerIdle{60};
constexpr unsigned MostCallerConnections = 1000;
constexpr unsigned MostReadyConnections = 32;
/** Assumed of a caller that does not say how long it waits. */
constexpr std::uint64_t UnsaidPatienceMs = 1000;
constexpr double MsPerSecond = 1000;

} // namespace

struct GatewayTask::Private {
    Private(EventLoop &loop, GatewayTaskOptions given)
        : settings(std::move(given.settings))
        , context{
              .loop = loop,
              .settings = *settings.gateway,
              .dialect = std::move(given.dialect),
              .client = HttpClient(loop),
              .endpoints = DirectEndpoints({.availabilityZone = settings.availabilityZone}),
              .versions = VersionSplit(static_cast<std::uint64_t>(settings.gateway->session.count())),
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
        , waitingRoom(loop,
                      {
                          .isOver =
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
        , stopTimer(loop, [this] {
            this->checkStopped();
        })
    { }

    void listen();
    void follow();
    void answerReady(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply);
    void take(HttpRequest request, const std::shared_ptr<HttpReply> &reply);
    void admit(ForwardRequest request, const std::shared_ptr<HttpReply> &reply);
    void waitForLease(ForwardRequest request, const std::shared_ptr<HttpReply> &reply);
    void refuseForLease(const ForwardRequest &request, const std::shared_ptr<HttpReply> &reply);
    void refuse(const std::shared_ptr<HttpReply> &reply, const std::string &id, unsigned status, const std::string &why, std::uint64_t returnMs = 0);
    bool hasLease() const;
    OutageQuestion outageQuestion(const ForwardRequest &request) const;
    std::vector<MetricLine> readMetrics();
    void checkStopped();

    Settings settings;
    GatewayContext context;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<HttpServer> readyServer;
    std::unique_ptr<MetricsServer> metricsServer;
    std::unordered_map<const ForwardRun *, std::unique_ptr<ForwardRun>> runs;
    WaitingRoom waitingRoom;
    const std::uint64_t startedMs;
    Timer stopTimer;
    std::uint64_t stoppingSinceMs = 0;
    std::function<void()> stopped;
};

void GatewayTask::Private::follow()
{
    this->context.view = std::make_unique<ServingView>(this->context.loop,
                                                       ServingViewOptions{
                                                           .settings = this->settings,
                                                           .onServing =
                                                               [this](const Wire::ServingState &state) {
                                                                   this->context.versions.setState(state, this->context.loop.nowMs());
                                                               },
                                                           .onEndpoint =
                                                               [this](const Wire::EndpointAnnouncement &announcement) {
                                                                   this->context.endpoints.announce(announcement);
                                                                   logLine(LogLevel::Info,
                                                                           "endpoint-seen",
                                                                           {{"endpoint", announcement.endpoint()},
                                                                            {"service", announcement.service()},
                                                                            {"version", announcement.version()},
                                                                            {"state", Wire::AnnouncedState_Name(announcement.state())}});
                                                               },
                                                           .countVersions =
                                                               [this] {
                                                                   return this->context.counts.read();
                                                               },
                                                           .ownLoads =
                                                               [this] {
                                                                   return this->context.endpoints.loads(this->context.loop.nowMs());
                                                               },
                                                           .onLoads =
                                                               [this](const std::vector<Wire::EndpointLoad> &loads) {
                                                                   this->context.endpoints.setOtherLoads(loads);
                                                               },
                                                           .heldSessions =
                                                               [this] {
                                                                   return this->context.versions.heldSessions(this->context.loop.nowMs());
                                                               },
                                                           .onHeldSessions =
                                                               [this](const std::vector<std::uint64_t> &sessions) {
                                                                   this->context.versions.setOtherHeldSessions(sessions, this->context.loop.nowMs());
                                                               },
                                                       });
}

void GatewayTask::Private::listen()
{
    const GatewaySettings &gateway = *this->settings.gateway;
    this->server = std::make_unique<HttpServer>(this->context.loop,
                                                HttpServerOptions{
                                                    .address = gateway.callerAddress,
                                                    .maxBodyBytes = gateway.maxBodyBytes,
                                                    .maxHeaderBytes = gateway.maxHeaderBytes,
                                                    .maxConnections = MostCallerConnections,
                                                    .idleTimeout = CallerIdle,
                                                    .onRequest =
                                                        [this](HttpRequest request, const std::shared_ptr<HttpReply> &reply) {
                                                            this->take(std::move(request), reply);
                                                        },
                                                });
    this->readyServer = std::make_unique<HttpServer>(this->context.loop,
                                                     HttpServerOptions{
                                                         .address = gateway.readyAddress,
                                                         .maxConnections = MostReadyConnections,
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
    gauge("lease_age_ms", {}, this->hasLease() ? static_cast<double>(this->context.view->leaseAgeMs()) : -1);
    gauge("gateways", {}, this->context.view->gateways());
    gauge("requests_open", {}, static_cast<double>(this->runs.size()));
    gauge("requests_waiting", {}, static_cast<double>(this->waitingRoom.size()));
    gauge("log_lines_dropped_total", {}, static_cast<double>(droppedLogLines()));
    for (int index = 0; plan && index < plan->plan().services_size(); ++index) {
        const std::string &service = plan->plan().services(index).name();
        gauge("endpoints_ready", service, static_cast<double>(this->context.endpoints.readyCount(service)));
        gauge("retries_left", service, this->context.retries.remaining(service, this->context.loop.nowMs()));
    }
    return lines;
}

bool GatewayTask::Private::hasLease() const
{
    const auto bound = static_cast<std::uint64_t>(this->settings.gateway->revocation.count());
    return this->context.view->plan() && this->context.view->leaseAgeMs() + LeaseMarginMs < bound;
}

void GatewayTask::Private::answerReady(const HttpRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    if (request.path != this->context.dialect.readyPath) {
        reply->send(StatusNotFound, {}, {});
        return;
    }
    const bool isReady = this->stoppingSinceMs == 0 && this->hasLease();
    reply->send(isReady ? StatusOk : StatusUnavailable, {}, {});
}

OutageQuestion GatewayTask::Private::outageQuestion(const ForwardRequest &request) const
{
    const auto bound = static_cast<std::uint64_t>(this->settings.gateway->revocation.count());
    const std::uint64_t ageMs = this->context.view->leaseAgeMs();
    const bool hadLease = ageMs != std::numeric_limits<std::uint64_t>::max();
    const std::uint64_t lostMs = ageMs + LeaseMarginMs - std::min(ageMs + LeaseMarginMs, bound);
    return {
        .patienceMs = request.patienceMs.value_or(UnsaidPatienceMs),
        .outageMs = hadLease ? lostMs : this->context.loop.nowMs() - this->startedMs,
        .draw = versionDraw(request.id),
    };
}

void GatewayTask::Private::waitForLease(ForwardRequest request, const std::shared_ptr<HttpReply> &reply)
{
    const std::uint64_t holdMs = outageHoldMs(this->outageQuestion(request));
    const std::string id = request.id;
    if (holdMs == 0 || !this->waitingRoom.take(request, reply, holdMs)) {
        this->refuseForLease(request, reply);
        return;
    }
    logLine(LogLevel::Info, "request-held", {{"request", id}, {"holdMs", holdMs}, {"leaseAgeMs", this->context.view->leaseAgeMs()}});
}

void GatewayTask::Private::refuseForLease(const ForwardRequest &request, const std::shared_ptr<HttpReply> &reply)
{
    const std::string why = this->context.view->plan() ? "no-lease" : "no-plan";
    this->refuse(reply, request.id, StatusUnavailable, why, outageReturnMs(this->outageQuestion(request)));
}

void GatewayTask::Private::refuse(const std::shared_ptr<HttpReply> &reply,
                                  const std::string &id,
                                  unsigned status,
                                  const std::string &why,
                                  std::uint64_t returnMs)
{
    HttpHeaders headers{{"Content-Type", "application/json"}};
    if (returnMs > 0) {
        headers["Retry-After"] = std::to_string(static_cast<double>(returnMs) / MsPerSecond);
    }
    logLine(LogLevel::Warning,
            "request-refused",
            {{"request", id},
             {"status", static_cast<std::uint64_t>(status)},
             {"why", why},
             {"returnMs", returnMs},
             {"leaseAgeMs", this->context.view->leaseAgeMs()}});
    this->context.metrics.count("requests_refused_total", why);
    reply->send(status, headers, "{\"error\":\"" + why + "\"}");
}

void GatewayTask::Private::take(HttpRequest received, const std::shared_ptr<HttpReply> &reply)
{
    std::optional<ForwardRequest> request = this->context.dialect.decode(std::move(received));
    if (!request) {
        this->refuse(reply, {}, StatusBadRequest, "unreadable");
        return;
    }
    const bool isLate = this->stoppingSinceMs != 0 && this->context.loop.nowMs() - this->stoppingSinceMs > NoticeMs;
    if (isLate) {
        this->refuse(reply, request->id, StatusUnavailable, "stopping", StoppingReturnMs);
        return;
    }
    this->admit(*std::move(request), reply);
}

void GatewayTask::Private::admit(ForwardRequest request, const std::shared_ptr<HttpReply> &reply)
{
    this->context.retries.setGateways(this->context.view->gateways());
    this->context.endpoints.setGateways(this->context.view->gateways());
    const std::shared_ptr<const PlanIndex> plan = this->context.view->plan();
    if (!plan) {
        this->waitForLease(std::move(request), reply);
        return;
    }
    // Without a lease a newer plan may be in force elsewhere: what this one lacks proves nothing.
    const bool hasLease = this->hasLease();
    const Wire::PlanRoute *route = plan->route(request.host, request.path);
    const bool needsKey = route != nullptr && !route->open() && plan->plan().organisations_size() > 0;
    if (!hasLease && (route == nullptr || needsKey)) {
        this->waitForLease(std::move(request), reply);
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

void GatewayTask::Private::checkStopped()
{
    const std::uint64_t since = this->context.loop.nowMs() - this->stoppingSinceMs;
    // A kept connection could bring a request at the last moment.
    this->server->closeIdle(KeptIdle);
    if (since < NoticeMs) {
        return;
    }
    this->server->stopListening();
    const auto grace = static_cast<std::uint64_t>(this->settings.gateway->grace.count());
    const bool isOver = since + StopMarginMs >= grace;
    if (!this->runs.empty() && !isOver) {
        return;
    }
    this->stopTimer.stop();
    logLine(LogLevel::Info, "gateway-stopped", {{"cut", static_cast<std::uint64_t>(this->runs.size())}});
    std::exchange(this->stopped, nullptr)();
}

GatewayTask::GatewayTask(EventLoop &loop, GatewayTaskOptions options) : d(std::make_unique<Private>(loop, std::move(options)))
{ }

GatewayTask::~GatewayTask() = default;

void GatewayTask::start()
{
    this->d->follow();
    this->d->listen();
}

void GatewayTask::stop(std::function<void()> stopped)
{
    this->d->stopped = std::move(stopped);
    this->d->stoppingSinceMs = this->d->context.loop.nowMs();
    this->d->server->closeAfterAnswers();
    this->d->stopTimer.startRepeating(StopCheckInterval);
}

} // namespace Apricothead
