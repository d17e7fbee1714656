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
 * \brief How answers are judged and how long their counts are kept.
 */
struct EvidenceStoreOptions {
    std::string entry;
    std::int64_t spanMs = 5000;
    unsigned maxSpans = 120;
    /** Spans told to others in each digest. */
    unsigned digestSpans = 3;
    /** A rating below this counts as low. */
    double lowRatingThreshold = 0.5;
    /** First tokens later than this many times the 95th percentile of all versions of the model count as late. */
    double lateFactor = 1.5;
    /** What another entry said to be open there no longer counts after this time. */
    std::int64_t peerOpenValidMs = 10000;
};

/** \class EvidenceSpan
 * \ingroup Decisions_Module
 * \brief What all entries saw of one version within one span of time.
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
 * \brief Counts how answers of each version end, here and at the other entries.
 *
 * Times are wall-clock ms, so that the spans of different entries match. Counts may be received twice or out of order.
 */
class EvidenceStore
{
public:
    explicit EvidenceStore(EvidenceStoreOptions options = {});

    /** A run was dispatched. */
    void recordStarted(const std::string &version, std::int64_t nowMs);

    /** It ended. \a failed: an error, cut or empty. It stays open when a rating is awaited; then noteRated() must follow. */
    void recordEnded(const std::string &model, const std::string &version, bool failed, double firstTokenMs, bool awaitsRating, std::int64_t nowMs);

    /** It was refused or cancelled, which says nothing of the version. */
    void recordDropped(const std::string &version);

    /** The rating came, or none came in time. */
    void recordRated(const std::string &version, std::optional<double> rating, std::int64_t nowMs);

    /** \returns what to tell the other entries */
    std::vector<Wire::VersionEvidence> digest(std::int64_t nowMs) const;
    void receive(const std::string &entry, const std::vector<Wire::VersionEvidence> &evidence, std::int64_t nowMs);

    /** \returns what is known of \a version, oldest first */
    std::vector<EvidenceSpan> spans(const std::string &version) const;

    /** \returns failures and ratings of \a version, also those in spans that are no longer kept */
    EvidenceSpan totals(const std::string &version) const;

    /** \returns answers under way or awaiting their rating, at all entries */
    unsigned openAnswers(const std::string &version, std::int64_t nowMs) const;
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
