#include "EvidenceBook.h"

#include <algorithm>

namespace Apricothead {

namespace {

constexpr double LateQuantile = 0.95;
/** Before this many first tokens the quantile says too little. */
constexpr std::size_t LeastFirstTokens = 40;

void add(EvidenceSpan &span, const Wire::VersionEvidence &counts)
{
    span.failed.seen += counts.failed();
    span.failed.answers += counts.answers();
    span.late.seen += counts.late();
    span.late.answers += counts.timed();
    span.lowRated.seen += counts.low_rated();
    span.lowRated.answers += counts.rated();
}

void addGrowth(EvidenceSpan &totals, const Wire::VersionEvidence &former, const Wire::VersionEvidence &latter)
{
    EvidenceSpan before;
    EvidenceSpan after;
    add(before, former);
    add(after, latter);
    totals.failed.seen += after.failed.seen - before.failed.seen;
    totals.failed.answers += after.failed.answers - before.failed.answers;
    totals.lowRated.seen += after.lowRated.seen - before.lowRated.seen;
    totals.lowRated.answers += after.lowRated.answers - before.lowRated.answers;
}

void add(IndicatorCounts &sum, const IndicatorCounts &counts)
{
    sum.seen += counts.seen;
    sum.answers += counts.answers;
}

} // namespace

EvidenceSpan sumOfSpans(const std::vector<EvidenceSpan> &spans, std::int64_t fromMs)
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

EvidenceBook::EvidenceBook(EvidenceBookOptions bounds) : options(std::move(bounds))
{ }

Wire::VersionEvidence &EvidenceBook::ownSpan(const std::string &version, std::int64_t nowMs)
{
    const std::int64_t start = nowMs - nowMs % this->options.spanMs;
    Book &book = this->books[version];
    Wire::VersionEvidence &span = book.own[start];
    span.set_version(version);
    span.set_span_start_ms(start);
    while (book.own.size() > this->options.spansKept) {
        book.own.erase(book.own.begin());
    }
    return span;
}

void EvidenceBook::noteStarted(const std::string &version, std::int64_t nowMs)
{
    this->ownSpan(version, nowMs);
    ++this->books[version].open;
}

bool EvidenceBook::isLate(const std::string &model, double firstTokenMs)
{
    namespace acc = boost::accumulators;
    auto found = this->firstTokenByModel.find(model);
    if (found == this->firstTokenByModel.end()) {
        found = this->firstTokenByModel.emplace(model, Quantile(acc::quantile_probability = LateQuantile)).first;
    }
    Quantile &times = found->second;
    const bool late = acc::count(times) >= LeastFirstTokens && firstTokenMs > this->options.lateFactor * acc::p_square_quantile(times);
    times(firstTokenMs);
    return late;
}

void EvidenceBook::noteEnded(const std::string &model, const std::string &version, bool failed, double firstTokenMs, bool awaitsRating, std::int64_t nowMs)
{
    Wire::VersionEvidence &span = this->ownSpan(version, nowMs);
    IndicatorCounts &total = this->books[version].totals.failed;
    total.answers += 1;
    total.seen += failed ? 1 : 0;
    span.set_answers(span.answers() + 1);
    span.set_failed(span.failed() + (failed ? 1 : 0));
    if (firstTokenMs > 0) {
        span.set_timed(span.timed() + 1);
        span.set_late(span.late() + (this->isLate(model, firstTokenMs) ? 1 : 0));
    }
    if (!awaitsRating) {
        this->noteDropped(version);
    }
}

void EvidenceBook::noteDropped(const std::string &version)
{
    unsigned &open = this->books[version].open;
    open -= std::min(1U, open);
}

void EvidenceBook::noteRated(const std::string &version, std::optional<double> rating, std::int64_t nowMs)
{
    this->noteDropped(version);
    if (!rating) {
        return;
    }
    const bool low = *rating < this->options.lowRating;
    IndicatorCounts &total = this->books[version].totals.lowRated;
    total.answers += 1;
    total.seen += low ? 1 : 0;
    Wire::VersionEvidence &span = this->ownSpan(version, nowMs);
    span.set_rated(span.rated() + 1);
    span.set_low_rated(span.low_rated() + (low ? 1 : 0));
}

std::vector<Wire::VersionEvidence> EvidenceBook::digest(std::int64_t nowMs) const
{
    std::vector<Wire::VersionEvidence> told;
    const std::int64_t oldest = nowMs - nowMs % this->options.spanMs - this->options.spanMs * (this->options.spansTold - 1);
    for (const auto &[version, book] : this->books) {
        for (const auto &[start, span] : book.own) {
            if (start < oldest) {
                continue;
            }
            told.push_back(span);
            told.back().set_open(book.open);
        }
    }
    return told;
}

void EvidenceBook::receive(const std::string &entry, const std::vector<Wire::VersionEvidence> &evidence, std::int64_t nowMs)
{
    if (entry == this->options.entry) {
        return;
    }
    for (const Wire::VersionEvidence &span : evidence) {
        Book &book = this->books[span.version()];
        Wire::VersionEvidence &known = book.others[span.span_start_ms()][entry];
        // Counts only grow, so an older digest of the same span changes nothing.
        if (span.answers() + span.rated() >= known.answers() + known.rated()) {
            addGrowth(book.totals, known, span);
            known = span;
        }
        book.othersOpen[entry] = {.open = span.open(), .heardMs = nowMs};
        while (book.others.size() > this->options.spansKept) {
            book.others.erase(book.others.begin());
        }
    }
}

std::vector<EvidenceSpan> EvidenceBook::spans(const std::string &version) const
{
    const auto found = this->books.find(version);
    if (found == this->books.end()) {
        return {};
    }
    std::map<std::int64_t, EvidenceSpan> merged;
    for (const auto &[start, span] : found->second.own) {
        add(merged[start], span);
    }
    for (const auto &[start, byEntry] : found->second.others) {
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

EvidenceSpan EvidenceBook::totals(const std::string &version) const
{
    const auto found = this->books.find(version);
    return found == this->books.end() ? EvidenceSpan{} : found->second.totals;
}

unsigned EvidenceBook::openAnswers(const std::string &version, std::int64_t nowMs) const
{
    const auto found = this->books.find(version);
    if (found == this->books.end()) {
        return 0;
    }
    unsigned open = found->second.open;
    for (const auto &[entry, peer] : found->second.othersOpen) {
        open += nowMs - peer.heardMs <= this->options.openValidMs ? peer.open : 0;
    }
    return open;
}

unsigned EvidenceBook::openHere(const std::string &version) const
{
    const auto found = this->books.find(version);
    return found == this->books.end() ? 0 : found->second.open;
}

} // namespace Apricothead
