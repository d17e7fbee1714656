#include "EvidenceStore.h"

#include <algorithm>

namespace Apricothead {

namespace {

constexpr double LateQuantile = 0.95;
/** With fewer first tokens than this the quantile is not reliable. */
constexpr std::size_t MinFirstTokens = 40;

void add(EvidenceSpan &span, const Wire::VersionEvidence &counts)
{
    span.failed.occurrences += counts.failed();
    span.failed.answers += counts.answers();
    span.late.occurrences += counts.late();
    span.late.answers += counts.timed();
    span.lowRated.occurrences += counts.low_rated();
    span.lowRated.answers += counts.rated();
}

void addGrowth(EvidenceSpan &totals, const Wire::VersionEvidence &previous, const Wire::VersionEvidence &current)
{
    EvidenceSpan before;
    EvidenceSpan after;
    add(before, previous);
    add(after, current);
    totals.failed.occurrences += after.failed.occurrences - before.failed.occurrences;
    totals.failed.answers += after.failed.answers - before.failed.answers;
    totals.lowRated.occurrences += after.lowRated.occurrences - before.lowRated.occurrences;
    totals.lowRated.answers += after.lowRated.answers - before.lowRated.answers;
}

void add(IndicatorCounts &sum, const IndicatorCounts &counts)
{
    sum.occurrences += counts.occurrences;
    sum.answers += counts.answers;
}

} // namespace

EvidenceSpan sumSpans(const std::vector<EvidenceSpan> &spans, std::int64_t fromMs)
{
    EvidenceSpan sum{.startMs = fromMs};
    for (const EvidenceSpan &span : spans) {
        if (span.startMs < fromMs) {
            continue;
        }
        add(sum.failed, span.failed);
        add(sum.late, span.late);
        add(sum.lowRated, span.lowRated);
    }
    return sum;
}

EvidenceStore::EvidenceStore(EvidenceStoreOptions givenOptions) : options(std::move(givenOptions))
{ }

Wire::VersionEvidence &EvidenceStore::ownSpan(const std::string &version, std::int64_t nowMs)
{
    const std::int64_t start = nowMs - nowMs % this->options.spanMs;
    VersionRecord &record = this->records[version];
    Wire::VersionEvidence &span = record.ownSpans[start];
    span.set_version(version);
    span.set_span_start_ms(start);
    while (record.ownSpans.size() > this->options.maxSpans) {
        record.ownSpans.erase(record.ownSpans.begin());
    }
    return span;
}

void EvidenceStore::recordStarted(const std::string &version, std::int64_t nowMs)
{
    this->ownSpan(version, nowMs);
    ++this->records[version].open;
}

bool EvidenceStore::isLate(const std::string &model, double firstTokenMs)
{
    namespace acc = boost::accumulators;
    auto found = this->firstTokenByModel.find(model);
    if (found == this->firstTokenByModel.end()) {
        found = this->firstTokenByModel.emplace(model, Quantile(acc::quantile_probability = LateQuantile)).first;
    }
    Quantile &times = found->second;
    const bool late = acc::count(times) >= MinFirstTokens && firstTokenMs > this->options.lateFactor * acc::p_square_quantile(times);
    times(firstTokenMs);
    return late;
}

void EvidenceStore::recordEnded(const std::string &model, const std::string &version, bool failed, double firstTokenMs, bool awaitsRating, std::int64_t nowMs)
{
    Wire::VersionEvidence &span = this->ownSpan(version, nowMs);
    IndicatorCounts &total = this->records[version].totals.failed;
    total.answers += 1;
    total.occurrences += failed ? 1 : 0;
    span.set_answers(span.answers() + 1);
    span.set_failed(span.failed() + (failed ? 1 : 0));
    if (firstTokenMs > 0) {
        span.set_timed(span.timed() + 1);
        span.set_late(span.late() + (this->isLate(model, firstTokenMs) ? 1 : 0));
    }
    if (!awaitsRating) {
        this->recordDropped(version);
    }
}

void EvidenceStore::recordDropped(const std::string &version)
{
    unsigned &open = this->records[version].open;
    open -= std::min(1U, open);
}

void EvidenceStore::recordRated(const std::string &version, std::optional<double> rating, std::int64_t nowMs)
{
    this->recordDropped(version);
    if (!rating) {
        return;
    }
    const bool low = *rating < this->options.lowRatingThreshold;
    IndicatorCounts &total = this->records[version].totals.lowRated;
    total.answers += 1;
    total.occurrences += low ? 1 : 0;
    Wire::VersionEvidence &span = this->ownSpan(version, nowMs);
    span.set_rated(span.rated() + 1);
    span.set_low_rated(span.low_rated() + (low ? 1 : 0));
}

std::vector<Wire::VersionEvidence> EvidenceStore::digest(std::int64_t nowMs) const
{
    std::vector<Wire::VersionEvidence> recentSpans;
    const std::int64_t oldest = nowMs - nowMs % this->options.spanMs - this->options.spanMs * (this->options.digestSpans - 1);
    for (const auto &[version, record] : this->records) {
        for (const auto &[start, span] : record.ownSpans) {
            if (start < oldest) {
                continue;
            }
            recentSpans.push_back(span);
            recentSpans.back().set_open(record.open);
        }
    }
    return recentSpans;
}

void EvidenceStore::receive(const std::string &entry, const std::vector<Wire::VersionEvidence> &evidence, std::int64_t nowMs)
{
    if (entry == this->options.entry) {
        return;
    }
    for (const Wire::VersionEvidence &span : evidence) {
        VersionRecord &record = this->records[span.version()];
        Wire::VersionEvidence &previous = record.peerSpans[span.span_start_ms()][entry];
        // Counts of a span never decrease, so a span with lower sums is from an older digest and is skipped.
        if (span.answers() + span.rated() >= previous.answers() + previous.rated()) {
            addGrowth(record.totals, previous, span);
            previous = span;
        }
        record.peerOpen[entry] = {.open = span.open(), .lastReceivedMs = nowMs};
        while (record.peerSpans.size() > this->options.maxSpans) {
            record.peerSpans.erase(record.peerSpans.begin());
        }
    }
}

std::vector<EvidenceSpan> EvidenceStore::spans(const std::string &version) const
{
    const auto found = this->records.find(version);
    if (found == this->records.end()) {
        return {};
    }
    std::map<std::int64_t, EvidenceSpan> merged;
    for (const auto &[start, span] : found->second.ownSpans) {
        add(merged[start], span);
    }
    for (const auto &[start, byEntry] : found->second.peerSpans) {
        for (const auto &[entry, span] : byEntry) {
            add(merged[start], span);
        }
    }
    std::vector<EvidenceSpan> spans;
    for (auto &[start, span] : merged) {
        span.startMs = start;
        spans.push_back(span);
    }
    return spans;
}

EvidenceSpan EvidenceStore::totals(const std::string &version) const
{
    const auto found = this->records.find(version);
    return found == this->records.end() ? EvidenceSpan{} : found->second.totals;
}

unsigned EvidenceStore::openAnswers(const std::string &version, std::int64_t nowMs) const
{
    const auto found = this->records.find(version);
    if (found == this->records.end()) {
        return 0;
    }
    unsigned open = found->second.open;
    for (const auto &[entry, peer] : found->second.peerOpen) {
        open += nowMs - peer.lastReceivedMs <= this->options.peerOpenValidMs ? peer.open : 0;
    }
    return open;
}

unsigned EvidenceStore::localOpenAnswers(const std::string &version) const
{
    const auto found = this->records.find(version);
    return found == this->records.end() ? 0 : found->second.open;
}

} // namespace Apricothead
