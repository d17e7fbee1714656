#include "Routing.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <limits>

namespace Apricothead {

namespace {

/** Up to this number, all endpoints are scored; of more, only a random sample, so that the cost of a decision is bounded. */
constexpr std::size_t MaxFullyScored = 24;
constexpr std::size_t SampleSize = 12;
constexpr std::size_t AlternativeCount = 3;

/** Cost model of the time to first token; EndpointView::latencyFactor corrects it for each endpoint. */
constexpr double BaseFirstTokenMs = 25;
constexpr double PrefillMsPerToken = 0.2;
constexpr double TypicalPromptMs = 250;
/** Share of the queued prompts that still delays the request when it arrives. */
constexpr double QueueDelayShare = 0.3;
constexpr double TypicalRunMs = 4000;
/** Time after which the weight of a report has decayed to 1/e. */
constexpr double ReportDecayMs = 1500;
constexpr double OtherZoneMs = 3;
/** Weight of the cache of earlier turns at the home endpoint: the turns may have run elsewhere. */
constexpr double HomeCacheTrust = 0.8;
/** Factor on the score of the home endpoint. Another endpoint is chosen only when its score is lower by more than this factor. */
constexpr double HomeScoreFactor = 0.5;
/** Weight of the prefill of uncached tokens, which delays not only the request itself but also the requests behind it. */
constexpr double CacheMissFactor = 2;
/** Penalty on the score of an endpoint that was just added or returned, which falls to 0 with the warm-up progress. */
constexpr double ColdStartFactor = 3;
/** Penalty on the score, proportional to the share of failed runs. */
constexpr double ErrorFactor = 10;

double reportAge(const EndpointView &view, const RoutingRequest &request)
{
    if (request.nowMs <= 0 || view.observedMs <= 0) {
        return view.reportAgeMs;
    }
    return view.reportAgeMs + std::max(0.0, request.nowMs - view.observedMs);
}

bool canServe(const EndpointView &view)
{
    return view.healthy && !view.leaving && view.connected;
}

bool serves(const EndpointView &view, const RoutingRequest &request)
{
    return view.version == request.version && view.model == request.model;
}

/** \returns the tier of an endpoint, which takes precedence over its score; a lower tier is better */
int tier(const EndpointView &view, const RoutingRequest &request)
{
    const bool wasTried = std::find(request.avoid.begin(), request.avoid.end(), view.endpoint) != request.avoid.end();
    return (wasTried ? 2 : 0) + (view.ejected ? 1 : 0);
}

double prefixShare(const EndpointView &view, const RoutingRequest &request)
{
    double share = view.prefixShare;
    for (const PrefixCandidate &candidate : request.prefixes) {
        if (candidate.endpoint != view.endpoint) {
            continue;
        }
        share = std::max(share, candidate.share);
    }
    return std::clamp(share, 0.0, 1.0);
}

/** \returns the predicted time to first token for an endpoint with a latency factor of 1, in ms */
double baselineFirstTokenMs(const EndpointView &view, const RoutingRequest &request, double share)
{
    const double trust = std::exp(-reportAge(view, request) / ReportDecayMs);
    const double others = std::max(1U, request.entries);
    const double capacity = std::max(1U, view.capacity);
    // The reported queue has partly drained in the meantime. The runs that this entry has started since are taken as an estimate for each other entry,
    // as the others have seen the same report.
    const double sinceReport = (1 + (others - 1) * (1 - trust)) * view.ownSinceReport;
    const double queued = std::max<double>(view.ownAwaiting, trust * view.reportedQueued + sinceReport);
    const double running = std::max<double>(view.ownRunning, view.reportedRunning + view.ownSinceReport);
    const double runMs = view.runMs > 0 ? view.runMs : TypicalRunMs;
    const double overflow = std::max(0.0, running + trust * view.reportedQueued + 1 - capacity);
    const double slotWait = overflow * runMs / capacity;
    const double prefill = request.promptTokens * (1 - share) * PrefillMsPerToken;
    const double typicalMs = request.typicalPromptMs > 0 ? request.typicalPromptMs : TypicalPromptMs;
    return BaseFirstTokenMs * (1 + running / capacity) + prefill + queued * QueueDelayShare * typicalMs + slotWait;
}

struct ScoredEndpoint {
    const EndpointView *view = nullptr;
    int tier = std::numeric_limits<int>::max();
    double scoreMs = 0;
    double share = 0;
    bool isHome = false;

    bool isBetterThan(const ScoredEndpoint &other) const
    {
        return this->tier != other.tier ? this->tier < other.tier : this->scoreMs < other.scoreMs;
    }
};

/** \brief Scores endpoints and keeps the best few, the best first. */
class Ranking
{
public:
    explicit Ranking(const RoutingRequest &asked, const EndpointView *homeView = nullptr) : request(asked), home(homeView)
    { }

    void consider(const EndpointView &view)
    {
        if (!canServe(view) || this->holds(view)) {
            return;
        }
        const bool isHome = &view == this->home;
        const double hinted = prefixShare(view, this->request);
        const double share = isHome ? std::max(hinted, HomeCacheTrust * std::clamp(this->request.homeShare, 0.0, 1.0)) : hinted;
        const double predicted = predictFirstTokenMs(view, this->request, share);
        const ScoredEndpoint scored{
            .view = &view, .tier = tier(view, this->request), .scoreMs = predicted * (isHome ? HomeScoreFactor : 1), .share = share, .isHome = isHome};
        if (this->count == this->best.size() && !scored.isBetterThan(this->best.back())) {
            return;
        }
        std::size_t rank = std::min(this->count, this->best.size() - 1);
        while (rank > 0 && scored.isBetterThan(this->best[rank - 1])) {
            this->best[rank] = this->best[rank - 1];
            --rank;
        }
        this->best[rank] = scored;
        this->count = std::min(this->count + 1, this->best.size());
    }

    bool isEmpty() const
    {
        return this->count == 0;
    }

    /** \returns true when the best endpoint is neither ejected nor was tried before */
    bool hasFirstChoice() const
    {
        return this->count > 0 && this->best.front().tier == 0;
    }

    RoutingDecision decision() const
    {
        const ScoredEndpoint &first = this->best.front();
        RoutingDecision decision;
        decision.endpoint = first.view->endpoint;
        decision.incarnation = first.view->incarnation;
        decision.predictedMs = first.scoreMs;
        decision.prefillMs = this->request.promptTokens * (1 - first.share) * PrefillMsPerToken;
        decision.baselineMs = baselineFirstTokenMs(*first.view, this->request, first.share);
        decision.reason = reasonOf(first);
        for (std::size_t i = 1; i < this->count; ++i) {
            char score[32];
            std::snprintf(score, sizeof score, "=%.0f", this->best[i].scoreMs);
            decision.alternatives += (i > 1 ? "," : "") + this->best[i].view->endpoint + score;
        }
        return decision;
    }

private:
    bool holds(const EndpointView &view) const
    {
        return std::any_of(this->best.begin(), this->best.begin() + static_cast<std::ptrdiff_t>(this->count), [&view](const ScoredEndpoint &scored) {
            return scored.view == &view;
        });
    }

    static std::string reasonOf(const ScoredEndpoint &scored)
    {
        if (scored.tier >= 2) {
            return "only-tried-left";
        }
        if (scored.tier == 1) {
            return "only-ejected-left";
        }
        if (scored.isHome) {
            return "session-home";
        }
        return scored.share > 0 ? "prefix-and-wait" : "least-predicted-wait";
    }

    const RoutingRequest &request;
    const EndpointView *home;
    std::array<ScoredEndpoint, AlternativeCount + 1> best;
    std::size_t count = 0;
};

std::size_t drawIndex(std::size_t count, const RandomSource &random)
{
    return std::min(count - 1, static_cast<std::size_t>(random() * static_cast<double>(count)));
}

/** Adds a random sample of \a count views to \a ranking, or all of them when there are few or the sample contains no first choice. */
template <typename ViewAt>
void considerSampled(Ranking &ranking, std::size_t count, const ViewAt &viewAt, const RandomSource &random)
{
    if (count == 0) {
        return;
    }
    if (count > MaxFullyScored) {
        for (std::size_t i = 0; i < SampleSize; ++i) {
            viewAt(drawIndex(count, random));
        }
    }
    if (count > MaxFullyScored && ranking.hasFirstChoice()) {
        return;
    }
    // Starts at a random position, to break ties between equal endpoints.
    const std::size_t start = drawIndex(count, random);
    for (std::size_t i = 0; i < count; ++i) {
        viewAt((start + i) % count);
    }
}

RoutingDecision noEndpointDecision(bool anyServes, bool allLeaving)
{
    RoutingDecision decision;
    if (!anyServes) {
        decision.reason = "no-endpoint-serves-version";
        return decision;
    }
    decision.reason = allLeaving ? "all-endpoints-leaving" : "no-healthy-endpoint";
    return decision;
}

} // namespace

double predictFirstTokenMs(const EndpointView &view, const RoutingRequest &request, double prefixShare)
{
    double predicted = baselineFirstTokenMs(view, request, prefixShare) * std::max(0.1, view.latencyFactor);
    // A run that has waited longer than predicted is more recent evidence than any average.
    if (view.oldestAwaitingSinceMs > 0 && request.nowMs > 0) {
        predicted = std::max(predicted, request.nowMs - view.oldestAwaitingSinceMs);
    }
    const double prefill = request.promptTokens * (1 - prefixShare) * PrefillMsPerToken * std::max(0.1, view.latencyFactor);
    predicted += (CacheMissFactor - 1) * prefill;
    predicted *= 1 + ColdStartFactor * (1 - std::clamp(view.warmupProgress, 0.0, 1.0)) + ErrorFactor * std::clamp(view.errorShare, 0.0, 1.0);
    const bool otherZone = !request.availabilityZone.empty() && view.availabilityZone != request.availabilityZone;
    return predicted + (otherZone ? OtherZoneMs : 0);
}

RoutingDecision chooseEndpoint(const std::vector<EndpointView> &endpoints, const RoutingRequest &request, const RandomSource &random)
{
    Ranking ranking(request);
    for (const EndpointView &view : endpoints) {
        if (view.prefixShare > 0 && serves(view, request)) {
            ranking.consider(view);
        }
    }
    const auto viewAt = [&](std::size_t index) {
        if (serves(endpoints[index], request)) {
            ranking.consider(endpoints[index]);
        }
    };
    considerSampled(ranking, endpoints.size(), viewAt, random);
    if (!ranking.isEmpty()) {
        return ranking.decision();
    }
    bool anyServes = false;
    bool allLeaving = true;
    for (const EndpointView &view : endpoints) {
        if (!serves(view, request)) {
            continue;
        }
        anyServes = true;
        allLeaving = allLeaving && view.leaving;
    }
    return noEndpointDecision(anyServes, allLeaving);
}

RoutingDecision chooseEndpoint(const std::vector<EndpointView> &slots,
                               const std::vector<std::uint32_t> &members,
                               const std::vector<std::uint32_t> &preferred,
                               std::uint32_t home,
                               const RoutingRequest &request,
                               const RandomSource &random)
{
    Ranking ranking(request, home == NoSlot ? nullptr : &slots[home]);
    if (home != NoSlot) {
        ranking.consider(slots[home]);
    }
    const auto viewAt = [&](std::size_t index) {
        ranking.consider(slots[members[index]]);
    };
    considerSampled(ranking, members.size(), viewAt, random);
    for (const std::uint32_t slot : preferred) {
        ranking.consider(slots[slot]);
    }
    if (!ranking.isEmpty()) {
        return ranking.decision();
    }
    bool allLeaving = true;
    for (const std::uint32_t slot : members) {
        allLeaving = allLeaving && slots[slot].leaving;
    }
    return noEndpointDecision(!members.empty(), allLeaving);
}

} // namespace Apricothead
