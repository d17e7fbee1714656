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
    : loop(eventLoop), options(std::move(poolOptions)), tracker(options.tracker), random(seededRandom()), links(eventLoop, this->hooked(options.links))
{ }

EndpointLinksOptions EndpointPool::hooked(EndpointLinksOptions linkOptions)
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
    std::set<std::string> names;
    for (const Wire::EndpointStatus &status : listed) {
        names.insert(status.endpoint());
        Known &known = this->endpoints[status.endpoint()];
        known.availabilityZone = status.availability_zone();
        known.isListedLeaving = status.leaving();
        const bool isNew = status.incarnation() > known.incarnation;
        if (isNew) {
            this->announce(status.endpoint(), known, status.incarnation(), servedModels(status.served()));
        }
        this->tracker.setLeaving(status.endpoint(), known.isListedLeaving || known.isDrained);
    }
    for (auto known = this->endpoints.begin(); known != this->endpoints.end();) {
        if (names.contains(known->first)) {
            ++known;
            continue;
        }
        this->tracker.remove(known->first);
        this->prefixes.removeEndpoint(known->first);
        known = this->endpoints.erase(known);
    }
    this->links.setDirectory(listed);
}

void EndpointPool::setConfiguration(const Wire::Configuration &configuration)
{
    for (auto &[endpoint, known] : this->endpoints) {
        known.isDrained = isDrained(configuration, endpoint);
        this->tracker.setLeaving(endpoint, known.isListedLeaving || known.isDrained);
    }
}

void EndpointPool::announce(const std::string &endpoint, Known &known, std::uint64_t incarnation, std::vector<ServedModel> served)
{
    const bool isRestarted = incarnation != known.incarnation;
    if (!isRestarted && served == known.served) {
        return;
    }
    known.incarnation = incarnation;
    known.served = std::move(served);
    this->tracker.addOrUpdate(endpoint, known.availabilityZone, incarnation, known.served, this->nowMs());
    if (isRestarted) {
        known.gateTimeMs = 0;
        this->prefixes.removeEndpoint(endpoint);
        // Without a report there is no reading of its clock to admit by.
        this->tracker.setConnected(endpoint, false, this->nowMs());
    }
}

void EndpointPool::receive(const std::string &endpoint, const Wire::Envelope &message)
{
    if (message.has_load_report()) {
        this->takeReport(endpoint, message.load_report());
        return;
    }
    this->options.links.onMessage(endpoint, message);
}

void EndpointPool::takeReport(const std::string &endpoint, const Wire::LoadReport &report)
{
    const auto found = this->endpoints.find(endpoint);
    if (found == this->endpoints.end() || report.incarnation() < found->second.incarnation) {
        return;
    }
    Known &known = found->second;
    this->announce(endpoint, known, report.incarnation(), servedModels(report.served()));
    known.gateTimeMs = std::max<std::uint64_t>(known.gateTimeMs, report.gate_time_ms());
    known.entries = std::max(1U, report.entries());
    const double now = this->nowMs();
    this->tracker.setConnected(endpoint, true, now);
    this->tracker.report(endpoint,
                         LoadReading{.running = report.running(),
                                     .queued = report.queued(),
                                     .capacity = report.capacity(),
                                     .leaving = report.leaving() || known.isListedLeaving || known.isDrained,
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
    for (const auto &[endpoint, known] : this->endpoints) {
        request.entries = std::max(request.entries, known.entries);
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

RunHandle EndpointPool::started(const RoutingDecision &decision, const std::vector<PrefixBlock> &chain)
{
    const double now = this->nowMs();
    this->prefixes.recordDispatch(chain, decision.endpoint, now);
    return this->tracker.recordStart(decision, now);
}

void EndpointPool::firstToken(RunHandle &ticket)
{
    this->tracker.recordFirstToken(ticket, this->nowMs());
}

void EndpointPool::finished(const RunHandle &ticket, RunOutcome end)
{
    this->tracker.recordEnd(ticket, end, this->nowMs());
}

bool EndpointPool::send(const std::string &endpoint, Wire::Envelope message)
{
    return this->links.send(endpoint, std::move(message));
}

std::uint64_t EndpointPool::silentMs(const std::string &endpoint) const
{
    return this->links.silentMs(endpoint);
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
