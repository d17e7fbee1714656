#include "EndpointTask.h"

#include "../Shared/ProposalQueue.h"
#include "../Shared/ReplicaClient.h"
#include "EndpointGate.h"
#include "EngineMonitor.h"
#include "OrderQueue.h"
#include "RunBuffer.h"

#include "../../Protocol/WireVerdict.h"
#include "../../Transport/EventLoop.h"
#include "../../Transport/HttpClient.h"
#include "../../Transport/Log.h"
#include "../../Transport/Router.h"
#include "../../Transport/Timer.h"
#include "../../Transport/WallClock.h"

#include <xxhash.h>

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Apricothead {
namespace {

constexpr std::uint64_t UsageReportIntervalMs = 5000;
/** Time after the shutdown time-out for settling the aborted runs. */
constexpr std::chrono::milliseconds AbortedRunSettleTimeout{1000};

/** \returns a hash that identifies a run in the log without exposing the caller's key */
std::uint64_t runLogHash(const RunId &id)
{
    return XXH3_64bits(id.key.data(), id.key.size());
}

/** A run in progress at the engine. */
struct ActiveRun {
    std::string version;
    bool repeatable = false;
    bool paused = false;
    bool usageInFlight = false;
    std::uint64_t startedAtMs = 0;
    std::uint64_t usageReportedAtMs = 0;
    std::shared_ptr<EngineRun> engine;
};

} // namespace

struct EndpointTask::Private {
    Private(EventLoop &eventLoop, EndpointTaskOptions taskOptions)
        : loop(eventLoop)
        , options(std::move(taskOptions))
        , settings(options.settings)
        , endpointSettings(*settings.endpoint)
        , incarnation(wallClockMicros())
        , http(eventLoop)
        , adapter(this->makeAdapter())
        , gate({.endpoint = endpointSettings.id,
                .incarnation = incarnation,
                .served = endpointSettings.served,
                .capacity = endpointSettings.capacity,
                .admissionValidity = settings.timing.admissionValidity})
        , buffer({.maxBytes = endpointSettings.bufferBytes, .answerRetention = endpointSettings.answerKept})
        , monitor(eventLoop,
                  adapter,
                  settings.timing.loadReport,
                  [this] {
                      this->reportLoad();
                      this->replicas->heartbeatNow();
                  })
        , tickTimer(eventLoop,
                    [this] {
                        this->tick();
                    })
        , shutdownTimer(eventLoop, [this] {
            this->abortRuns();
        })
    { }

    EngineAdapter makeAdapter()
    {
        if (this->options.makeAdapter) {
            return this->options.makeAdapter();
        }
        return this->endpointSettings.chat ? chatEngineAdapter(this->loop, this->http, this->endpointSettings)
                                           : plainServiceAdapter(this->http, this->endpointSettings);
    }

    void start();
    void stop(std::function<void()> stoppedHook);

    // Messages from entries.
    void handleMessage(const PeerId &peer, std::string_view bytes);
    void handleRun(const PeerId &peer, const Wire::Run &run);
    void handleVoid(const PeerId &peer, const Wire::Void &request);
    void handleCancel(const PeerId &peer, const Wire::Cancel &cancel);
    void handleOrder(const PeerId &peer, const Wire::Order &order);
    void handlePeerGone(const PeerId &peer);

    // Runs at the engine.
    void startRun(const RunId &id, const Wire::Run &run);
    void endRun(const RunId &id, const EngineResult &result);
    void handleEngineUnreachable(const RunId &id);
    void settle(const RunId &id, const EngineResult &result);
    void updateFlowControl();
    void reportUsage(const RunId &id, ActiveRun &run);

    // Messages to entries and replicas.
    bool send(const PeerId &peer, Wire::Envelope envelope);
    void refuse(const PeerId &peer, const RunId &id, const GateDecision &decision, std::uint64_t decidedAtMs);
    void sendPending(const RunId &id);
    void sendPending(const RunId &id, const PeerId &peer);
    void reportLoad();
    Wire::Heartbeat buildHeartbeat() const;
    void updateServed();

    void tick();
    void checkStopped();
    void abortRuns();

    EventLoop &loop;
    EndpointTaskOptions options;
    const Settings &settings;
    const EndpointSettings &endpointSettings;
    std::uint64_t incarnation;
    HttpClient http;
    EngineAdapter adapter;
    EndpointGate gate;
    RunBuffer buffer;
    EngineMonitor monitor;
    Timer tickTimer;
    Timer shutdownTimer;
    std::unique_ptr<Router> router;
    std::unique_ptr<ReplicaClient> replicas;
    std::unique_ptr<ProposalQueue> proposals;
    std::unique_ptr<OrderQueue> orders;
    std::map<RunId, ActiveRun> active;
    std::set<PeerId> peers;
    std::function<void()> stopped;
};

EndpointTask::EndpointTask(EventLoop &loop, EndpointTaskOptions options) : d(std::make_unique<Private>(loop, std::move(options)))
{ }

EndpointTask::~EndpointTask() = default;

void EndpointTask::start()
{
    this->d->start();
}

void EndpointTask::stop(std::function<void()> stopped)
{
    this->d->stop(std::move(stopped));
}

std::string EndpointTask::boundAddress() const
{
    return this->d->router ? this->d->router->boundAddress() : std::string();
}

void EndpointTask::Private::start()
{
    this->router = std::make_unique<Router>(this->loop,
                                            RouterOptions{
                                                .address = listeningAddress(this->endpointSettings),
                                                .silence = this->settings.timing.linkSilence,
                                                .onMessage =
                                                    [this](const PeerId &peer, std::string_view bytes) {
                                                        this->handleMessage(peer, bytes);
                                                    },
                                                .onPeerGone =
                                                    [this](const PeerId &peer) {
                                                        this->handlePeerGone(peer);
                                                    },
                                            });
    ReplicaClientOptions client;
    client.group = this->settings.group;
    client.process = this->settings.process;
    client.incarnation = this->incarnation;
    client.seeds = this->settings.seeds;
    client.linkHeartbeat = this->settings.timing.linkHeartbeat;
    client.linkSilence = this->settings.timing.linkSilence;
    client.heartbeat = this->settings.timing.directoryHeartbeat;
    // A leader that hears nothing of an endpoint process takes it for lost.
    client.followMembers = true;
    client.makeHeartbeat = [this] {
        return this->buildHeartbeat();
    };
    client.onConfiguration = [this](const Wire::Configuration &configuration) {
        this->gate.setConfiguration(configuration);
        this->updateServed();
        this->reportLoad();
    };
    this->replicas = std::make_unique<ReplicaClient>(this->loop, std::move(client));
    this->proposals = std::make_unique<ProposalQueue>(this->loop, *this->replicas, this->settings.timing.proposal);
    this->orders = std::make_unique<OrderQueue>(
        this->adapter, *this->proposals, OrderQueueOptions{.endpoint = this->endpointSettings.id, .incarnation = this->incarnation});
    this->monitor.start();
    this->tickTimer.startRepeating(this->settings.timing.loadReport);
    Wire::Command command;
    command.mutable_endpoint_incarnation()->set_endpoint(this->endpointSettings.id);
    command.mutable_endpoint_incarnation()->set_incarnation(this->incarnation);
    this->proposals->add(std::move(command), {});
    logLine(LogLevel::Info,
            "endpoint-started",
            {{"endpoint", this->endpointSettings.id},
             {"address", this->router->boundAddress()},
             {"incarnation", this->incarnation},
             {"engine", this->endpointSettings.engineUrl}});
}

void EndpointTask::Private::stop(std::function<void()> stoppedHook)
{
    this->stopped = std::move(stoppedHook);
    this->gate.setStopping();
    logLine(LogLevel::Info, "endpoint-leaving", {{"endpoint", this->endpointSettings.id}, {"running", std::uint64_t{this->gate.running()}}});
    this->replicas->heartbeatNow();
    this->reportLoad();
    this->shutdownTimer.startOnce(this->settings.timing.shutdown);
    this->loop.post([this] {
        this->checkStopped();
    });
}

void EndpointTask::Private::handleMessage(const PeerId &peer, std::string_view bytes)
{
    Wire::Envelope envelope;
    if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || envelope.group() != this->settings.group) {
        logLine(LogLevel::Warning, "message-not-understood", {{"bytes", std::uint64_t{bytes.size()}}});
        return;
    }
    if (this->peers.insert(peer).second) {
        logLine(LogLevel::Info, "entry-attached", {{"entry", envelope.sender()}});
        this->reportLoad();
    }
    switch (envelope.body_case()) {
    case Wire::Envelope::kRun:
        this->handleRun(peer, envelope.run());
        return;
    case Wire::Envelope::kVoidRun:
        this->handleVoid(peer, envelope.void_run());
        return;
    case Wire::Envelope::kCancel:
        this->handleCancel(peer, envelope.cancel());
        return;
    case Wire::Envelope::kOrder:
        this->handleOrder(peer, envelope.order());
        return;
    case Wire::Envelope::kChunkCredit: {
        const Wire::ChunkCredit &credit = envelope.chunk_credit();
        const RunId id = runId(credit.key(), credit.attempt());
        this->buffer.grantCredit(id, peer, credit.next_chunk(), credit.credit());
        this->sendPending(id, peer);
        this->updateFlowControl();
        this->checkStopped();
        return;
    }
    default:
        // A heartbeat only registers the entry and needs no reply.
        return;
    }
}

void EndpointTask::Private::handleRun(const PeerId &peer, const Wire::Run &run)
{
    const RunId id = runId(run.admission().key(), run.admission().attempt());
    const std::uint64_t nowMs = this->loop.nowMs();
    const GateDecision decision = this->gate.decide(run, nowMs);
    if (decision.action == GateAction::Refuse) {
        this->refuse(peer, id, decision, nowMs);
        return;
    }
    if (decision.action == GateAction::Start) {
        this->buffer.open(id);
        this->startRun(id, run);
    }
    if (!this->buffer.attach(id, peer, run.from_chunk(), run.credit())) {
        this->refuse(peer, id, {.action = GateAction::Refuse, .reason = Wire::REFUSAL_REASON_ANSWER_GONE, .verdict = Verdict::Ran}, nowMs);
        return;
    }
    this->sendPending(id, peer);
}

void EndpointTask::Private::handleVoid(const PeerId &peer, const Wire::Void &request)
{
    const RunId id = runId(request.key(), request.attempt());
    const std::uint64_t nowMs = this->loop.nowMs();
    const GateDecision decision = this->gate.decideVoid(request, nowMs);
    if (decision.action == GateAction::Refuse) {
        this->refuse(peer, id, decision, nowMs);
        return;
    }
    Wire::Envelope envelope;
    if (const std::optional<Wire::RunDone> done = this->buffer.done(id)) {
        *envelope.mutable_run_done() = *done;
    } else {
        Wire::RunStarted *started = envelope.mutable_run_started();
        *started->mutable_key() = request.key();
        started->set_attempt(request.attempt());
        started->set_incarnation(this->incarnation);
    }
    this->send(peer, std::move(envelope));
}

void EndpointTask::Private::handleCancel(const PeerId &peer, const Wire::Cancel &cancel)
{
    const RunId id = runId(cancel.key(), cancel.attempt());
    this->buffer.detach(id, peer, this->loop.nowMs());
    const auto found = this->active.find(id);
    // A run that must not be repeated is not cancelled either: its outcome would stay unknown.
    if (found == this->active.end() || !found->second.repeatable || this->buffer.hasReaders(id)) {
        return;
    }
    EngineResult result;
    result.outcome = Wire::OUTCOME_CANCELLED;
    result.verdict = Wire::VERDICT_MAY_HAVE_RUN;
    result.usage = found->second.engine->usage();
    result.error = "cancelled";
    this->endRun(id, result);
}

void EndpointTask::Private::handleOrder(const PeerId &peer, const Wire::Order &order)
{
    this->orders->add(order, [this, peer](const Wire::OrderReply &reply) {
        Wire::Envelope envelope;
        *envelope.mutable_order_reply() = reply;
        this->send(peer, std::move(envelope));
    });
}

void EndpointTask::Private::handlePeerGone(const PeerId &peer)
{
    this->peers.erase(peer);
    const std::vector<RunId> left = this->buffer.detachAll(peer, this->loop.nowMs());
    logLine(LogLevel::Info, "entry-gone", {{"runs", std::uint64_t{left.size()}}});
}

void EndpointTask::Private::startRun(const RunId &id, const Wire::Run &run)
{
    ActiveRun &started = this->active[id];
    started.version = run.admission().version();
    started.repeatable = run.admission().repeatable();
    started.startedAtMs = this->loop.nowMs();
    started.usageReportedAtMs = started.startedAtMs;
    EngineRunHooks hooks;
    hooks.onHead = [this, id](unsigned status, const std::string &contentType) {
        Wire::RunStarted head;
        *head.mutable_key() = requestKey(id);
        head.set_attempt(id.attempt);
        head.set_status(status);
        head.set_content_type(contentType);
        head.set_incarnation(this->incarnation);
        this->buffer.setHead(id, std::move(head));
        this->sendPending(id);
    };
    hooks.onRequestLimit = [this, startedMs = started.startedAtMs](std::optional<double> perSecond) {
        this->gate.recordRequestLimit(perSecond, startedMs, this->loop.nowMs());
    };
    hooks.onChunk = [this, id](std::string data) {
        this->buffer.append(id, std::move(data));
        this->sendPending(id);
        this->updateFlowControl();
    };
    hooks.onDone = [this, id](const EngineResult &result) {
        this->endRun(id, result);
    };
    started.engine = this->adapter.run(run, std::move(hooks));
    logLine(LogLevel::Info,
            "run-started",
            {{"run", runLogHash(id)},
             {"organisation", id.organisation},
             {"step", std::uint64_t{id.step}},
             {"attempt", std::uint64_t{id.attempt}},
             {"version", started.version},
             {"running", std::uint64_t{this->gate.running()}}});
}

void EndpointTask::Private::endRun(const RunId &id, const EngineResult &result)
{
    const auto found = this->active.find(id);
    if (found == this->active.end()) {
        return;
    }
    const std::uint64_t durationMs = this->loop.nowMs() - found->second.startedAtMs;
    // Destroyed later, because this may be called from a hook of the run.
    this->loop.post([ended = std::move(found->second.engine)] {});
    this->active.erase(found);
    logLine(LogLevel::Info,
            "run-ended",
            {{"run", runLogHash(id)},
             {"attempt", std::uint64_t{id.attempt}},
             {"outcome", Wire::Outcome_Name(result.outcome)},
             {"neverSent", result.neverSent},
             {"outputTokens", std::uint64_t{result.usage.output_tokens()}},
             {"durationMs", durationMs},
             {"error", result.error}});
    if (result.neverSent) {
        this->handleEngineUnreachable(id);
    } else {
        this->settle(id, result);
    }
    this->updateFlowControl();
    this->checkStopped();
}

void EndpointTask::Private::handleEngineUnreachable(const RunId &id)
{
    const std::uint64_t nowMs = this->loop.nowMs();
    this->gate.recordNotStarted(id, nowMs);
    this->monitor.probeNow();
    const std::vector<std::string> readers = this->buffer.readers(id);
    this->buffer.remove(id);
    for (const PeerId &peer : readers) {
        this->refuse(peer, id, {.action = GateAction::Refuse, .reason = Wire::REFUSAL_REASON_ENGINE_UNREACHABLE, .verdict = Verdict::NotRun}, nowMs);
    }
}

void EndpointTask::Private::settle(const RunId &id, const EngineResult &result)
{
    this->gate.recordEnded(id);
    Wire::RunDone done;
    *done.mutable_key() = requestKey(id);
    done.set_attempt(id.attempt);
    done.set_outcome(result.outcome);
    done.set_status(result.status);
    *done.mutable_usage() = result.usage;
    done.set_error(result.error);
    done.set_incarnation(this->incarnation);
    done.set_verdict(result.verdict);
    this->buffer.finish(id, std::move(done), this->loop.nowMs());
    this->sendPending(id);
    Wire::Command command;
    Wire::Settle *settle = command.mutable_settle();
    *settle->mutable_key() = requestKey(id);
    settle->set_attempt(id.attempt);
    settle->set_outcome(result.outcome);
    *settle->mutable_usage() = result.usage;
    settle->set_settled_by(this->settings.process);
    this->proposals->add(std::move(command), [this, id](const Wire::CommandResult &) {
        this->buffer.recordSettled(id);
        this->checkStopped();
    });
}

void EndpointTask::Private::updateFlowControl()
{
    for (auto &[id, run] : this->active) {
        const bool canStream = this->buffer.canStream(id, this->loop.nowMs());
        if (canStream != run.paused || !run.engine) {
            continue;
        }
        run.paused = !canStream;
        if (run.paused) {
            run.engine->pause();
            continue;
        }
        run.engine->resume();
    }
}

void EndpointTask::Private::reportUsage(const RunId &id, ActiveRun &run)
{
    const std::uint64_t nowMs = this->loop.nowMs();
    if (run.usageInFlight || nowMs - run.usageReportedAtMs < UsageReportIntervalMs) {
        return;
    }
    run.usageInFlight = true;
    run.usageReportedAtMs = nowMs;
    Wire::Command command;
    Wire::ReportUsage *report = command.mutable_report_usage();
    *report->mutable_key() = requestKey(id);
    report->set_attempt(id.attempt);
    *report->mutable_usage() = run.engine->usage();
    this->replicas->propose(std::move(command), this->settings.timing.proposal, [this, id](const ProposeOutcome &) {
        const auto found = this->active.find(id);
        if (found != this->active.end()) {
            found->second.usageInFlight = false;
        }
    });
}

bool EndpointTask::Private::send(const PeerId &peer, Wire::Envelope envelope)
{
    envelope.set_group(this->settings.group);
    envelope.set_sender(this->settings.process);
    envelope.set_sender_incarnation(this->incarnation);
    return this->router->send(peer, envelope.SerializeAsString());
}

void EndpointTask::Private::refuse(const PeerId &peer, const RunId &id, const GateDecision &decision, std::uint64_t decidedAtMs)
{
    Wire::Envelope envelope;
    Wire::RunRefused *refused = envelope.mutable_run_refused();
    *refused->mutable_key() = requestKey(id);
    refused->set_attempt(id.attempt);
    refused->set_verdict(wireVerdict(decision.verdict));
    refused->set_reason(decision.reason);
    refused->set_incarnation(this->incarnation);
    refused->set_gate_time_ms(decidedAtMs);
    logLine(LogLevel::Info,
            "run-refused",
            {{"run", runLogHash(id)},
             {"organisation", id.organisation},
             {"attempt", std::uint64_t{id.attempt}},
             {"reason", Wire::RefusalReason_Name(decision.reason)},
             {"verdict", std::string(verdictName(decision.verdict))}});
    this->send(peer, std::move(envelope));
}

void EndpointTask::Private::sendPending(const RunId &id)
{
    for (const PeerId &peer : this->buffer.readers(id)) {
        this->sendPending(id, peer);
    }
}

void EndpointTask::Private::sendPending(const RunId &id, const PeerId &peer)
{
    while (std::optional<Wire::Envelope> message = this->buffer.nextMessage(id, peer)) {
        if (!this->send(peer, std::move(*message))) {
            // The link's queue is full; tick() retries.
            return;
        }
        this->buffer.advance(id, peer);
    }
}

void EndpointTask::Private::reportLoad()
{
    Wire::Envelope envelope;
    Wire::LoadReport *report = envelope.mutable_load_report();
    report->set_endpoint(this->endpointSettings.id);
    report->set_incarnation(this->incarnation);
    report->set_gate_time_ms(this->loop.nowMs());
    report->set_running(this->gate.running());
    report->set_queued(this->monitor.load().queued);
    report->set_capacity(this->endpointSettings.capacity);
    report->set_leaving(this->gate.isLeaving());
    report->set_healthy(this->monitor.isHealthy());
    report->set_engine_report_age_ms(static_cast<std::uint32_t>(this->monitor.loadAgeMs()));
    report->set_revision(this->replicas ? this->replicas->configuration().revision() : 0);
    for (const ServedSettings &served : this->gate.served()) {
        Wire::ServedVersion *version = report->add_served();
        version->set_model(served.model);
        version->set_version(served.version);
    }
    for (Wire::PrefixHint &hint : this->monitor.extractPrefixes()) {
        *report->add_prefixes() = std::move(hint);
    }
    for (const PeerId &peer : this->peers) {
        this->send(peer, envelope);
    }
}

Wire::Heartbeat EndpointTask::Private::buildHeartbeat() const
{
    Wire::Heartbeat heartbeat;
    heartbeat.add_roles("endpoint");
    heartbeat.set_availability_zone(this->settings.availabilityZone);
    heartbeat.set_region(this->settings.region);
    heartbeat.set_leaving(this->gate.isLeaving());
    Wire::EndpointStatus *status = heartbeat.mutable_endpoint();
    status->set_endpoint(this->endpointSettings.id);
    // With port 0 the system chooses a free port, which is the one to announce.
    status->set_address(this->endpointSettings.listenAddress.empty() ? this->router->boundAddress() : this->endpointSettings.address);
    status->set_availability_zone(this->settings.availabilityZone);
    status->set_incarnation(this->incarnation);
    status->set_leaving(this->gate.isLeaving());
    status->set_healthy(this->monitor.isHealthy());
    for (const ServedSettings &served : this->gate.served()) {
        Wire::ServedVersion *version = status->add_served();
        version->set_model(served.model);
        version->set_version(served.version);
    }
    return heartbeat;
}

void EndpointTask::Private::updateServed()
{
    const std::vector<std::string> &loaded = this->monitor.load().versions;
    if (loaded.empty()) {
        return;
    }
    std::vector<ServedSettings> served;
    for (const Wire::Version &version : this->replicas->configuration().versions()) {
        if (std::find(loaded.begin(), loaded.end(), version.id()) == loaded.end()) {
            continue;
        }
        served.push_back({.model = version.model(), .version = version.id()});
    }
    for (const ServedSettings &named : this->endpointSettings.served) {
        const bool isLoaded = std::find(loaded.begin(), loaded.end(), named.version) != loaded.end();
        if (!isLoaded || std::find(served.begin(), served.end(), named) != served.end()) {
            continue;
        }
        served.push_back(named);
    }
    if (served == this->gate.served()) {
        return;
    }
    this->gate.setServed(std::move(served));
    this->replicas->heartbeatNow();
}

void EndpointTask::Private::tick()
{
    const std::uint64_t nowMs = this->loop.nowMs();
    this->updateServed();
    for (const RunId &id : this->buffer.expire(nowMs)) {
        this->gate.recordAnswerDiscarded(id, nowMs);
    }
    for (auto &[id, run] : this->active) {
        this->reportUsage(id, run);
    }
    for (const RunId &id : this->buffer.runsWithPendingReaders()) {
        this->sendPending(id);
    }
    this->updateFlowControl();
    this->reportLoad();
    this->checkStopped();
}

void EndpointTask::Private::checkStopped()
{
    if (!this->stopped || !this->active.empty() || !this->buffer.isAllDelivered()) {
        return;
    }
    logLine(LogLevel::Info, "endpoint-stopped", {{"endpoint", this->endpointSettings.id}});
    this->shutdownTimer.stop();
    this->tickTimer.stop();
    this->loop.post(std::exchange(this->stopped, {}));
}

void EndpointTask::Private::abortRuns()
{
    std::vector<RunId> aborted;
    for (const auto &[id, run] : this->active) {
        aborted.push_back(id);
    }
    for (const RunId &id : aborted) {
        logLine(LogLevel::Error, "run-cut-by-shutdown", {{"run", runLogHash(id)}, {"organisation", id.organisation}});
        EngineResult result;
        result.usage = this->active[id].engine->usage();
        result.error = "aborted: the run exceeded the shutdown time-out";
        this->endRun(id, result);
    }
    if (!this->stopped) {
        return;
    }
    if (aborted.empty()) {
        logLine(LogLevel::Error, "answers-not-fetched", {{"endpoint", this->endpointSettings.id}, {"openProposals", std::uint64_t{this->proposals->size()}}});
        this->loop.post(std::exchange(this->stopped, {}));
        return;
    }
    this->shutdownTimer.startOnce(AbortedRunSettleTimeout);
}

} // namespace Apricothead
