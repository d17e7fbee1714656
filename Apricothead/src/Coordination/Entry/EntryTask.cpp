#include "EntryTask.h"

#include "../Operator/OperatorService.h"
#include "AdmissionControl.h"
#include "CallerApi.h"
#include "EntryContext.h"
#include "RatingClient.h"
#include "RequestRun.h"
#include "RunErrors.h"
#include "RunRegistry.h"

#include "../../Protocol/CallerError.h"
#include "../../Protocol/KeyHash.h"
#include "../../State/ConfigurationLookup.h"
#include "../../Transport/EventLoop.h"
#include "../../Transport/HttpClient.h"
#include "../../Transport/HttpServer.h"
#include "../../Transport/Log.h"
#include "../../Transport/Timer.h"
#include "../../Transport/WallClock.h"

#include <map>
#include <random>
#include <utility>
#include <vector>

namespace Apricothead {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds TickInterval{100};
constexpr std::uint64_t RolloutDecisionIntervalMs = 500;
/** Time after the shutdown timeout in which aborted requests send their errors to the callers. */
constexpr milliseconds AbortGracePeriod{500};
constexpr unsigned BadRequest = 400;
constexpr unsigned PayloadTooLarge = 413;
constexpr unsigned HeadersTooLarge = 431;
constexpr unsigned RandomIdBytes = 16;

CallerError httpServerError(unsigned status)
{
    switch (status) {
    case BadRequest:
        return {.status = status, .code = "malformed", .field = "headers", .message = "the header fields leave open where the body ends"};
    case PayloadTooLarge:
        return {.status = status, .code = "body-too-large", .field = "body", .message = "the body is larger than this entry accepts"};
    case HeadersTooLarge:
        return {.status = status, .code = "headers-too-large", .field = "headers", .message = "the header fields are larger than this entry accepts"};
    default:
        return {.status = status, .code = "refused", .message = "the request was refused"};
    }
}

} // namespace

struct EntryTask::Private {
    Private(EventLoop &eventLoop, EntryTaskOptions options)
        : loop(eventLoop)
        , settings(std::move(options.settings))
        , incarnation(wallClockMicros())
        , http(eventLoop)
        , ratingClient(http, settings.entry->ratingUrl)
        , pool(eventLoop, this->poolOptions())
        , rollouts({.entry = settings.process,
                    .propose =
                        [this](Wire::Command command, std::function<void(const ProposeOutcome &)> done) {
                            this->replicas.propose(std::move(command), this->settings.timing.proposal, std::move(done));
                        }})
        , admission(this->admissionOptions())
        , replicas(eventLoop, this->replicaOptions())
        , context(this->makeContext())
        , api(this->apiOptions())
        , tickTimer(eventLoop,
                    [this] {
                        this->onTick();
                    })
        , shutdownTimer(eventLoop, [this] {
            this->abortOpenRequests();
        })
    { }

    EndpointPoolOptions poolOptions()
    {
        EndpointPoolOptions options;
        options.availabilityZone = this->settings.availabilityZone;
        options.tracker.silenceMs = static_cast<double>(this->settings.timing.endpointSilence.count());
        options.links.group = this->settings.group;
        options.links.process = this->settings.process;
        options.links.incarnation = this->incarnation;
        options.links.heartbeat = this->settings.timing.linkHeartbeat;
        options.links.silence = this->settings.timing.linkSilence;
        options.links.unlistedRetention = this->settings.timing.endpointLost;
        options.links.onConnected = [this](const std::string &endpoint) {
            this->runs.handleLinkConnected(endpoint);
        };
        options.links.onSilent = [](const std::string &) {};
        options.links.onMessage = [this](const std::string &endpoint, const Wire::Envelope &message) {
            this->runs.receive(endpoint, message);
        };
        return options;
    }

    ReplicaClientOptions replicaOptions()
    {
        ReplicaClientOptions options;
        options.group = this->settings.group;
        options.process = this->settings.process;
        options.incarnation = this->incarnation;
        options.seeds = this->settings.seeds;
        options.linkHeartbeat = this->settings.timing.linkHeartbeat;
        options.linkSilence = this->settings.timing.linkSilence;
        options.heartbeat = this->settings.timing.directoryHeartbeat;
        options.followMembers = true;
        options.makeHeartbeat = [this] {
            return this->makeHeartbeat();
        };
        options.onConfiguration = [this](const Wire::Configuration &configuration) {
            this->pool.setConfiguration(configuration);
            this->admission.configure(configuration);
            logLine(LogLevel::Info, "configuration-in-force", {{"revision", configuration.revision()}});
        };
        options.onDirectory = [this](const std::vector<Wire::EndpointStatus> &endpoints) {
            this->pool.setDirectory(endpoints);
            this->pool.setConfiguration(this->replicas.configuration());
        };
        options.onDigests = [this](const std::vector<Wire::EntryDigest> &digests) {
            this->rollouts.applyDigests(digests, wallClockMs());
            this->admission.applyDigests(digests);
        };
        return options;
    }

    AdmissionControlOptions admissionOptions()
    {
        AdmissionControlOptions options;
        options.entry = this->settings.process;
        options.interactiveWait = this->settings.entry->interactiveWait;
        options.draftWait = this->settings.entry->draftWait;
        options.loadOf = [this](const std::string &model) {
            return this->pool.loadOf(model);
        };
        options.nowMs = [this] {
            return static_cast<double>(this->loop.nowMs());
        };
        return options;
    }

    EntryContext makeContext()
    {
        return EntryContext{.loop = this->loop,
                            .settings = this->settings,
                            .pool = this->pool,
                            .runs = this->runs,
                            .retryBudget = this->retryBudget,
                            .sessionCache = this->sessionCache,
                            .metrics = this->metrics,
                            .rollouts = this->rollouts,
                            .cascadeHistory = this->cascadeHistory,
                            .random =
                                [engine = std::mt19937_64(std::random_device()())]() mutable {
                                    return std::uniform_real_distribution<double>(0, 1)(engine);
                                },
                            .configuration = [this]() -> const Wire::Configuration & {
                                return this->replicas.configuration();
                            },
                            .wallClockMs = wallClockMs,
                            .propose =
                                [this](Wire::Command command, std::function<void(const ProposeOutcome &)> done) {
                                    this->replicas.propose(std::move(command), this->settings.timing.proposal, std::move(done));
                                },
                            .rate =
                                [this](const std::string &body, std::chrono::milliseconds timeout, std::function<void(std::optional<double>)> done) {
                                    this->ratingClient.rate(body, timeout, std::move(done));
                                }};
    }

    CallerApiOptions apiOptions()
    {
        CallerApiOptions options;
        options.configuration = [this]() -> const Wire::Configuration * {
            const Wire::Configuration &configuration = this->replicas.configuration();
            return configuration.revision() == 0 ? nullptr : &configuration;
        };
        options.isLeaving = [this] {
            return this->isLeaving;
        };
        options.onRequest = [this](CallerRequest request, std::unique_ptr<CallerAnswer> answer) {
            this->startRequest(std::move(request), std::move(answer));
        };
        return options;
    }

    void start()
    {
        const EntrySettings &entry = *this->settings.entry;
        HttpServerOptions options;
        options.address = entry.callerAddress;
        options.maxBodyBytes = entry.maxBodyBytes;
        options.maxHeaderBytes = entry.maxHeaderBytes;
        options.maxConnections = entry.maxConnections;
        options.idleTimeout = entry.idleTimeout;
        options.onRequest = [this](const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
            this->api.serve(request, reply);
        };
        options.errorBody = [](unsigned status) {
            return callerErrorJson(httpServerError(status), {});
        };
        options.errorHeaders = [] {
            return HttpHeaders{{"X-Request-Id", randomHex(RandomIdBytes)}, {"X-Verdict", "not-run"}};
        };
        this->server = std::make_unique<HttpServer>(this->loop, std::move(options));
        this->operatorService = OperatorService::start(this->loop, entry, this->operatorBackendOfEntry());
        this->tickTimer.startRepeating(TickInterval);
        logLine(LogLevel::Info, "entry-started", {{"callers", this->server->boundAddress()}});
    }

    OperatorBackend operatorBackendOfEntry()
    {
        OperatorBackend backend = operatorBackend(this->replicas);
        backend.metrics = [this] {
            return formatMetrics(this->metrics.read());
        };
        backend.organisationMetrics = [this] {
            return this->organisationMetrics();
        };
        return backend;
    }

    /** \returns the latency and cost that this entry measured, by organisation */
    std::vector<OrganisationMetrics> organisationMetrics() const
    {
        std::map<std::string, OrganisationMetrics> byOrganisation;
        for (const MetricLine &line : this->metrics.read()) {
            OrganisationMetrics &organisation = byOrganisation[line.label];
            organisation.organisation = line.label;
            if (line.name == "organisation_first_chunk_ms" && line.statistic == "p95") {
                organisation.firstTokenP95Ms = line.value;
            }
            if (line.name == "organisation_cost_micros" && line.statistic == "mean") {
                organisation.costMicrosPerRequest = line.value;
            }
        }
        std::vector<OrganisationMetrics> listed;
        for (const auto &[name, organisation] : byOrganisation) {
            if (organisation.firstTokenP95Ms > 0 || organisation.costMicrosPerRequest > 0) {
                listed.push_back(organisation);
            }
        }
        return listed;
    }

    void startRequest(CallerRequest request, std::unique_ptr<CallerAnswer> answer)
    {
        const std::uint64_t number = this->nextRequestNumber++;
        const auto run = std::make_shared<RequestRun>(this->context, std::move(request), std::move(answer), [this, number](const RequestOutcome &outcome) {
            // Erased at the end of a tick, since the request's own code is still running.
            this->endedRequests.push_back(number);
            this->admission.cancel(number);
            this->admission.release(number, outcome.tokens, outcome.mayHaveRun);
        });
        this->requests[number] = run;
        run->attachCaller();
        this->admission.submit(
            number,
            run->callerRequest(),
            [run] {
                run->start();
            },
            [run](const CallerError &error) {
                run->abort(error);
            });
    }

    Wire::Heartbeat makeHeartbeat()
    {
        Wire::Heartbeat heartbeat;
        heartbeat.add_roles("entry");
        heartbeat.set_availability_zone(this->settings.availabilityZone);
        heartbeat.set_region(this->settings.region);
        heartbeat.set_leaving(this->isLeaving);
        Wire::EntryDigest &digest = *heartbeat.mutable_digest();
        digest.set_entry(this->settings.process);
        digest.set_incarnation(this->incarnation);
        for (Wire::VersionEvidence &evidence : this->rollouts.digest(wallClockMs())) {
            digest.add_evidence()->Swap(&evidence);
        }
        for (Wire::OrganisationDemand &demand : this->admission.digest()) {
            digest.add_demands()->Swap(&demand);
        }
        return heartbeat;
    }

    void onTick()
    {
        this->pool.tick();
        this->runs.tick();
        this->admission.tick();
        this->decideRollouts();
        this->removeEndedRequests();
        this->finishStopIfIdle();
    }

    void decideRollouts()
    {
        const std::uint64_t now = this->loop.nowMs();
        if (this->isLeaving || now - this->lastRolloutDecisionMs < RolloutDecisionIntervalMs) {
            return;
        }
        this->lastRolloutDecisionMs = now;
        this->rollouts.decide(this->replicas.configuration(), wallClockMs());
    }

    void removeEndedRequests()
    {
        for (const std::uint64_t number : std::exchange(this->endedRequests, {})) {
            this->requests.erase(number);
        }
    }

    void stop(std::function<void()> hook)
    {
        this->onStopped = std::move(hook);
        this->isLeaving = true;
        logLine(LogLevel::Info, "entry-leaving", {{"requests", std::uint64_t{this->requests.size()}}, {"runs", std::uint64_t{this->runs.size()}}});
        this->replicas.heartbeatNow();
        if (this->server) {
            this->server->stopListening();
        }
        if (this->operatorService) {
            this->operatorService->stopListening();
        }
        this->shutdownTimer.startOnce(this->settings.timing.shutdown);
    }

    void finishStopIfIdle()
    {
        const bool isIdle = this->requests.empty() && this->runs.size() == 0 && (!this->server || this->server->openRequests() == 0);
        if (!this->onStopped || !isIdle) {
            return;
        }
        this->finishStop();
    }

    void finishStop()
    {
        logLine(LogLevel::Info, "entry-stopped");
        this->shutdownTimer.stop();
        this->tickTimer.stop();
        this->loop.post(std::exchange(this->onStopped, {}));
    }

    void abortOpenRequests()
    {
        if (std::exchange(this->isAborting, true)) {
            this->finishStop();
            return;
        }
        const auto openRequests = this->requests;
        for (const auto &[number, request] : openRequests) {
            logLine(LogLevel::Error, "request-cut-by-shutdown", {{"request", request->id()}});
            request->abort(leavingError());
        }
        this->shutdownTimer.startOnce(AbortGracePeriod);
    }

    EventLoop &loop;
    Settings settings;
    std::uint64_t incarnation;
    /** Declared before the replica client, which reads it during construction. */
    bool isLeaving = false;
    HttpClient http;
    RatingClient ratingClient;
    Metrics metrics;
    RetryBudget retryBudget;
    SessionCache sessionCache;
    RunRegistry runs;
    EndpointPool pool;
    RolloutDriver rollouts;
    CascadeHistory cascadeHistory;
    AdmissionControl admission;
    ReplicaClient replicas;
    EntryContext context;
    CallerApi api;
    Timer tickTimer;
    Timer shutdownTimer;
    std::map<std::uint64_t, std::shared_ptr<RequestRun>> requests;
    std::vector<std::uint64_t> endedRequests;
    std::uint64_t nextRequestNumber = 0;
    std::uint64_t lastRolloutDecisionMs = 0;
    std::unique_ptr<HttpServer> server;
    std::unique_ptr<OperatorService> operatorService;
    std::function<void()> onStopped;
    bool isAborting = false;
};

EntryTask::EntryTask(EventLoop &loop, EntryTaskOptions options) : d(std::make_unique<Private>(loop, std::move(options)))
{ }

EntryTask::~EntryTask() = default;

void EntryTask::start()
{
    this->d->start();
}

void EntryTask::stop(std::function<void()> onStopped)
{
    this->d->stop(std::move(onStopped));
}

std::string EntryTask::callerAddress() const
{
    return this->d->server ? this->d->server->boundAddress() : std::string();
}

std::size_t EntryTask::openRequests() const
{
    return this->d->requests.size();
}

ReplicaClient &EntryTask::replicas()
{
    return this->d->replicas;
}

Metrics &EntryTask::metrics()
{
    return this->d->metrics;
}

} // namespace Apricothead
