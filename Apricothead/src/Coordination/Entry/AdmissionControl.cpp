#include "AdmissionControl.h"

#include "../../Transport/Log.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Apricothead {
namespace {

constexpr unsigned TooManyRequests = 429;
constexpr unsigned ServiceUnavailable = 503;
constexpr double MsPerSecond = 1000;
/** Assumed when the request sets no max_tokens. */
constexpr double DefaultOutputTokens = 256;

double estimatedTokens(const CallerRequest &request)
{
    if (!request.payload.chat()) {
        return 0;
    }
    return request.promptTokens + (request.maxTokens > 0 ? request.maxTokens : DefaultOutputTokens);
}

CallerError refusalError(const std::string &reason, double retryAfterMs)
{
    const bool isOrganisationLimit = reason.starts_with("organisation-");
    return {
        .status = isOrganisationLimit ? TooManyRequests : ServiceUnavailable,
        .code = reason,
        .message = isOrganisationLimit ? "the limit of the organisation is reached" : "the system is too busy to start this request in time",
        .verdict = Verdict::NotRun,
        .retryAfterSeconds = std::max(1U, static_cast<unsigned>(std::ceil(retryAfterMs / MsPerSecond))),
    };
}

} // namespace

AdmissionControl::AdmissionControl(AdmissionControlOptions controlOptions) : options(std::move(controlOptions)), limiter({.entry = options.entry})
{ }

void AdmissionControl::configure(const Wire::Configuration &configuration)
{
    const double now = this->options.nowMs();
    this->weights.clear();
    for (const Wire::Organisation &organisation : configuration.organisations()) {
        this->limiter.configure(organisation.id(), organisation.limits(), now);
        this->weights[organisation.id()] = std::max(1U, organisation.limits().weight());
    }
    this->firstModelByCascade.clear();
    for (const Wire::Cascade &cascade : configuration.cascades()) {
        if (!cascade.models().empty()) {
            this->firstModelByCascade[cascade.id()] = cascade.models(0);
        }
    }
}

void AdmissionControl::submit(std::uint64_t number,
                              const CallerRequest &request,
                              std::function<void()> start,
                              std::function<void(const CallerError &)> refuseHook)
{
    const double now = this->options.nowMs();
    const double tokens = estimatedTokens(request);
    const LimitDecision limit = this->limiter.admit(request.organisation, tokens, now);
    if (!limit.allowed) {
        logLine(LogLevel::Info, "limit-decision", {{"request", request.id}, {"organisation", request.organisation}, {"reason", limit.reason}});
        refuseHook(refusalError(limit.reason, limit.retryAfterMs));
        return;
    }
    const std::string model = this->firstModelOf(request.model);
    this->pending[number]
        = {.organisation = request.organisation, .model = model, .estimatedTokens = tokens, .start = std::move(start), .refuse = std::move(refuseHook)};
    const bool isDraft = request.payload.priority() == Wire::PRIORITY_DRAFT;
    const auto wait = isDraft ? this->options.draftWait : this->options.interactiveWait;
    const auto weight = this->weights.find(request.organisation);
    AdmissionQueue &queue = this->queues[model];
    this->refuseAll(queue.offer({.id = std::to_string(number),
                                 .organisation = request.organisation,
                                 .weight = weight == this->weights.end() ? 1.0 : weight->second,
                                 .priority = request.payload.priority(),
                                 .arrivedMs = now,
                                 .startByMs = now + static_cast<double>(wait.count())},
                                now));
    this->startQueued(model, queue);
}

void AdmissionControl::cancel(std::uint64_t number)
{
    const auto found = this->pending.find(number);
    if (found == this->pending.end() || found->second.isStarted) {
        return;
    }
    this->queues[found->second.model].cancel(std::to_string(number));
    this->limiter.release(found->second.organisation, found->second.estimatedTokens, 0, false, this->options.nowMs());
    this->pending.erase(found);
}

void AdmissionControl::release(std::uint64_t number, double tokens, bool ran)
{
    const auto found = this->pending.find(number);
    if (found == this->pending.end() || !found->second.isStarted) {
        return;
    }
    const Pending ended = std::move(found->second);
    this->pending.erase(found);
    --this->startedByModel[ended.model];
    this->limiter.release(ended.organisation, ended.estimatedTokens, tokens, ran, this->options.nowMs());
    this->startQueued(ended.model, this->queues[ended.model]);
}

void AdmissionControl::tick()
{
    const double now = this->options.nowMs();
    for (auto &[model, queue] : this->queues) {
        this->refuseAll(queue.expire(now));
        this->startQueued(model, queue);
    }
}

void AdmissionControl::refuseAll(const std::vector<QueueRefusal> &refusals)
{
    for (const QueueRefusal &refused : refusals) {
        this->refuse(std::stoull(refused.id), refused.reason, refused.retryAfterMs);
    }
}

void AdmissionControl::refuse(std::uint64_t number, const std::string &reason, double retryAfterMs)
{
    const auto found = this->pending.find(number);
    if (found == this->pending.end()) {
        return;
    }
    const Pending refused = std::move(found->second);
    this->pending.erase(found);
    this->limiter.release(refused.organisation, refused.estimatedTokens, 0, false, this->options.nowMs());
    logLine(LogLevel::Info, "queue-decision", {{"organisation", refused.organisation}, {"model", refused.model}, {"reason", reason}});
    refused.refuse(refusalError(reason, retryAfterMs));
}

void AdmissionControl::startQueued(const std::string &model, AdmissionQueue &queue)
{
    // A start() that ends the request immediately re-enters this function through release() or submit().
    if (std::exchange(this->isStarting, true)) {
        return;
    }
    while (queue.size() > 0 && this->hasFreeSlot(model)) {
        const std::optional<WaitingRequest> next = queue.popNext(this->options.nowMs());
        if (!next) {
            break;
        }
        const auto found = this->pending.find(std::stoull(next->id));
        if (found == this->pending.end()) {
            continue;
        }
        found->second.isStarted = true;
        ++this->startedByModel[model];
        const std::function<void()> start = found->second.start;
        start();
    }
    this->isStarting = false;
}

bool AdmissionControl::hasFreeSlot(const std::string &model) const
{
    const ModelLoad load = this->options.loadOf(model);
    // Without an endpoint the request is started, and then refused with that reason.
    if (load.capacity == 0) {
        return true;
    }
    const double slots = load.capacity * this->options.window.fillFactor;
    const auto started = this->startedByModel.find(model);
    const double starting = started == this->startedByModel.end() ? 0.0 : started->second;
    // Includes started requests whose admission is still in progress, which no endpoint counts yet.
    const double own = std::max<double>(load.ownRunning, starting);
    return own < slots / this->entryCount || own + load.othersRunning < slots;
}

std::string AdmissionControl::firstModelOf(const std::string &model) const
{
    const auto cascade = this->firstModelByCascade.find(model);
    return cascade == this->firstModelByCascade.end() ? model : cascade->second;
}

std::vector<Wire::OrganisationDemand> AdmissionControl::digest()
{
    return this->limiter.digest(this->options.nowMs());
}

void AdmissionControl::applyDigests(const std::vector<Wire::EntryDigest> &digests)
{
    this->entryCount = std::max(1U, static_cast<unsigned>(digests.size()));
    this->limiter.setLiveEntries(this->entryCount);
    for (const Wire::EntryDigest &digest : digests) {
        if (digest.entry() == this->options.entry) {
            continue;
        }
        this->limiter.receive(digest.entry(), {digest.demands().begin(), digest.demands().end()}, this->options.nowMs());
    }
}

} // namespace Apricothead
