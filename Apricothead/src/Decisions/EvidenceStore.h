#pragma once

#include "../Protocol/Messages.h"
#include "SequentialTest.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class EvidenceStoreOptions
 * \ingroup Decisions_Module
 * \brief Thresholds for counting answers, and how long the counts are kept.
 */
struct EvidenceStoreOptions {
    std::string entry;
    /** Length of the time spans over which counts are summed. */
    std::int64_t spanMs = 5000;
    unsigned maxSpans = 120;
    /** Most recent spans that each digest contains. */
    unsigned digestSpans = 3;
    /** Ratings below this count as low. */
    double lowRatingThreshold = 0.5;
    /** A first token counts as late when it takes more than this many times the 95th percentile over all versions of the model. */
    double lateFactor = 1.5;
    /** The number of open answers that a peer reported is ignored after this time. */
    std::int64_t peerOpenValidMs = 10000;
};

/** \class EvidenceSpan
 * \ingroup Decisions_Module
 * \brief Counts of one version over all entries within one time span.
 */
struct EvidenceSpan {
    std::int64_t startMs = 0;
    IndicatorCounts failed;
    IndicatorCounts late;
    IndicatorCounts lowRated;

    bool operator==(const EvidenceSpan &) const = default;
};

/** \returns the sum of \a spans that start at \a fromMs or later */
EvidenceSpan sumSpans(const std::vector<EvidenceSpan> &spans, std::int64_t fromMs);

/** \class EvidenceStore
 * \ingroup Decisions_Module
 * \brief Counts the outcomes of answers by version, at this entry and at its peers.
 *
 * Times are wall-clock ms, so that the spans of different entries match. Digests may be received twice or out of order.
 */
class EvidenceStore
{
public:
    explicit EvidenceStore(EvidenceStoreOptions options = {});

    /** Records that a run was dispatched. */
    void recordStarted(const std::string &version, std::int64_t nowMs);

    /** Records the end of a run. \a failed: the answer was an error, truncated or empty. \a firstTokenMs: time to the first token, 0 if
     * there was none. With \a awaitsRating the answer stays open, and recordRated() must follow. */
    void recordEnded(const std::string &model, const std::string &version, bool failed, double firstTokenMs, bool awaitsRating, std::int64_t nowMs);

    /** Records that a run was refused or cancelled, which is no evidence on the version. */
    void recordDropped(const std::string &version);

    /** Records the rating of an answer, or that none arrived in time. */
    void recordRated(const std::string &version, std::optional<double> rating, std::int64_t nowMs);

    /** \returns the most recent spans of this entry, to be sent to its peers */
    std::vector<Wire::VersionEvidence> digest(std::int64_t nowMs) const;
    /** Merges the digest of a peer. */
    void receive(const std::string &entry, const std::vector<Wire::VersionEvidence> &evidence, std::int64_t nowMs);

    /** \returns the counts of \a version over all entries, by span, oldest first */
    std::vector<EvidenceSpan> spans(const std::string &version) const;

    /** \returns the failure and rating counts of \a version over all entries, including those of spans that are no longer kept */
    EvidenceSpan totals(const std::string &version) const;

    /** \returns the number of answers of \a version that are running or awaiting their rating, over all entries */
    unsigned openAnswers(const std::string &version, std::int64_t nowMs) const;
    /** \returns the same for this entry only */
    unsigned localOpenAnswers(const std::string &version) const;

private:
    using Quantile
        = boost::accumulators::accumulator_set<double,
                                               boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::p_square_quantile>>;
    struct PeerOpen {
        unsigned open = 0;
        std::int64_t lastReceivedMs = 0;
    };
    struct VersionRecord {
        std::map<std::int64_t, Wire::VersionEvidence> ownSpans;
        std::map<std::int64_t, std::map<std::string, Wire::VersionEvidence>> peerSpans;
        std::map<std::string, PeerOpen> peerOpen;
        EvidenceSpan totals;
        unsigned open = 0;
    };

    Wire::VersionEvidence &ownSpan(const std::string &version, std::int64_t nowMs);
    bool isLate(const std::string &model, double firstTokenMs);

    EvidenceStoreOptions options;
    std::map<std::string, VersionRecord> records;
    std::map<std::string, Quantile> firstTokenByModel;
};

} // namespace Apricothead
