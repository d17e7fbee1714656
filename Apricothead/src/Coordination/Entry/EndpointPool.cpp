#include "EndpointPool.h"

#include "../../State/ConfigurationLookup.h"
#include "../../Transport/EventLoop.h"
#include "../../Transport/Log.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

namespace Apricothead {
namespace {

std::vector<ServedModel> servedModels(const google::protobuf::RepeatedPtrField<Wire::ServedVersion> &served)
{
    std::vector<ServedModel> models;
    for (const Wire::ServedVersion &version : served) {
        models.push_back({.model = version.model(), .version = version.version()});
    }
    return models;
}

RandomSource seededRandom()
{
    return [engine = std::mt19937_64(std::random_device()()), uniform = std::uniform_real_distribution<double>(0, 1)]() mutable {
        return uniform(engine);
    };
}

} // namespace

EndpointPool::EndpointPool(EventLoop &eventLoop, EndpointPoolOptions poolOptions)
    : loop(eventLoop), options(std::move(poolOptions)), tracker(options.tracker), random(seededRandom()), links(eventLoop, this->withPoolHooks(options.links))
{ }

EndpointLinksOptions EndpointPool::withPoolHooks(EndpointLinksOptions linkOptions)
{
    linkOptions.onSilent = [this](const std::string &endpoint) {
        this->tracker.setConnected(endpoint, false, this->nowMs());
        this->options.links.onSilent(endpoint);
    };
    linkOptions.onMessage = [this](const std::string &endpoint, const Wire::Envelope &message) {
        this->receive(endpoint, message);
    };
    return linkOptions;
}

void EndpointPool::setDirectory(const std::vector<Wire::EndpointStatus> &listed)
{
    std::set<std::string> listedNames;
    for (const Wire::EndpointStatus &status : listed) {
        listedNames.insert(status.endpoint());
        EndpointState &state = this->endpoints[status.endpoint()];
        state.availabilityZone = status.availability_zone();
        state.isLeavingInDirectory = status.leaving();
        const bool isNew = status.incarnation() > state.incarnation;
        if (isNew) {
            this->applyAnnouncement(status.endpoint(), state, status.incarnation(), servedModels(status.served()));
        }
        this->tracker.setLeaving(status.endpoint(), state.isLeavingInDirectory || state.isDrained);
    }
    for (auto position = this->endpoints.begin(); position != this->endpoints.end();) {
        if (listedNames.contains(position->first)) {
            ++position;
            continue;
        }
        this->tracker.remove(position->first);
        this->prefixes.removeEndpoint(position->first);
        position = this->endpoints.erase(position);
    }
    this->links.setDirectory(listed);
}

void EndpointPool::setConfiguration(const Wire::Configuration &configuration)
{
    for (auto &[endpoint, state] : this->endpoints) {
        state.isDrained = isDrained(configuration, endpoint);
        this->tracker.setLeaving(endpoint, state.isLeavingInDirectory || state.isDrained);
    }
}

void EndpointPool::applyAnnouncement(const std::string &endpoint, EndpointState &state, std::uint64_t incarnation, std::vector<ServedModel> served)
{
    const bool isRestarted = incarnation != state.incarnation;
    if (!isRestarted && served == state.served) {
        return;
    }
    state.incarnation = incarnation;
    state.served = std::move(served);
    this->tracker.addOrUpdate(endpoint, state.availabilityZone, incarnation, state.served, this->nowMs());
    if (isRestarted) {
        state.gateTimeMs = 0;
        this->prefixes.removeEndpoint(endpoint);
        // An admission needs the clock of the new incarnation, which is not known before its first load report.
        this->tracker.setConnected(endpoint, false, this->nowMs());
    }
}

void EndpointPool::receive(const std::string &endpoint, const Wire::Envelope &message)
{
    if (message.has_load_report()) {
        this->handleLoadReport(endpoint, message.load_report());
        return;
    }
    this->options.links.onMessage(endpoint, message);
}

void EndpointPool::handleLoadReport(const std::string &endpoint, const Wire::LoadReport &report)
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end() || report.incarnation() < found->second.incarnation) {
        return;
    }
    EndpointState &state = found->second;
    this->applyAnnouncement(endpoint, state, report.incarnation(), servedModels(report.served()));
    state.gateTimeMs = std::max<std::uint64_t>(state.gateTimeMs, report.gate_time_ms());
    state.entries = std::max(1U, report.entries());
    const double now = this->nowMs();
    this->tracker.setConnected(endpoint, true, now);
    this->tracker.report(endpoint,
                         LoadReading{.running = report.running(),
                                     .queued = report.queued(),
                                     .capacity = report.capacity(),
                                     .leaving = report.leaving() || state.isLeavingInDirectory || state.isDrained,
                                     .healthy = report.healthy(),
                                     .ageMs = static_cast<double>(report.engine_report_age_ms())},
                         now);
    for (const Wire::PrefixHint &hint : report.prefixes()) {
        this->prefixes.recordCacheEvent(hint.prefix_hash(), endpoint, hint.evicted(), static_cast<double>(report.engine_report_age_ms()), now);
    }
}

RoutingDecision EndpointPool::choose(RoutingRequest request, const std::vector<PrefixBlock> &chain, const std::string &requestId)
{
    request.availabilityZone = this->options.availabilityZone;
    request.nowMs = this->nowMs();
    request.prefixes = this->prefixes.lookup(chain, request.nowMs);
    for (const auto &[endpoint, state] : this->endpoints) {
        request.entries = std::max(request.entries, state.entries);
    }
    RoutingDecision decision = this->tracker.table().choose(request, this->random);
    logLine(LogLevel::Info,
            "routing-decision",
            {{"request", requestId},
             {"model", request.model},
             {"version", request.version},
             {"endpoint", decision.endpoint},
             {"reason", decision.reason},
             {"predictedMs", decision.predictedMs},
             {"alternatives", decision.alternatives}});
    return decision;
}

ModelLoad EndpointPool::loadOf(const std::string &model) const
{
    return this->tracker.table().loadOf(model);
}

RunHandle EndpointPool::recordStarted(const RoutingDecision &decision, const std::vector<PrefixBlock> &chain)
{
    const double now = this->nowMs();
    this->prefixes.recordDispatch(chain, decision.endpoint, now);
    return this->tracker.recordStart(decision, now);
}

void EndpointPool::recordFirstToken(RunHandle &runHandle)
{
    this->tracker.recordFirstToken(runHandle, this->nowMs());
}

void EndpointPool::recordFinished(const RunHandle &runHandle, RunOutcome outcome)
{
    this->tracker.recordEnd(runHandle, outcome, this->nowMs());
}

bool EndpointPool::send(const std::string &endpoint, Wire::Envelope message)
{
    return this->links.send(endpoint, std::move(message));
}

std::uint64_t EndpointPool::silentForMs(const std::string &endpoint) const
{
    return this->links.silentForMs(endpoint);
}

bool EndpointPool::isConnected(const std::string &endpoint) const
{
    return this->links.isConnected(endpoint);
}

std::uint64_t EndpointPool::incarnation(const std::string &endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? 0 : found->second.incarnation;
}

std::uint64_t EndpointPool::gateTimeMs(const std::string &endpoint) const
{
    const auto found = this->endpoints.find(endpoint);
    return found == this->endpoints.end() ? 0 : found->second.gateTimeMs;
}

std::size_t EndpointPool::usableCount(const std::string &model, const std::string &version) const
{
    return this->tracker.table().usableCount(model, version);
}

void EndpointPool::tick()
{
    this->links.tick();
    for (const EjectionChange &change : this->tracker.tick(this->nowMs())) {
        logLine(LogLevel::Warning,
                change.ejected ? "endpoint-ejected" : "endpoint-returned",
                {{"endpoint", change.endpoint}, {"reason", change.reason}, {"value", change.value}});
    }
}

double EndpointPool::nowMs() const
{
    return static_cast<double>(this->loop.nowMs());
}

} // namespace Apricothead
