#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Apricothead {

using EndpointLoads = google::protobuf::RepeatedPtrField<Wire::EndpointLoad>;

/** \class LoadTotals
 * \ingroup Decisions_Module
 * \brief Sums the loads reported by all gateways, by endpoint.
 *
 * Designed for many gateways that all ask at the same time: the sum is made once and sent to all of them, and each gateway subtracts what it
 * reported itself. The work is linear in the number of reports instead of quadratic.
 * \sa OwnReports
 */
class LoadTotals
{
public:
    /** Prompts are not summed. \sa PromptNews */
    void add(const std::vector<Wire::EndpointLoad> &loads);

    /** Appends the totals to \a loads, ordered by endpoint. */
    void appendTo(EndpointLoads &loads) const;

private:
    std::map<std::string, Wire::EndpointLoad> sums;
};

using SessionHashes = google::protobuf::RepeatedField<std::uint64_t>;

/** \class OwnReports
 * \ingroup Decisions_Module
 * \brief What a gateway reported in its latest rounds, to be subtracted from sums that include it.
 *
 * Rounds increase. A round that is not known subtracts nothing.
 */
class OwnReports
{
public:
    void record(std::uint64_t round, const EndpointLoads &loads, const SessionHashes &sessions);

    /** Forgets all rounds before \a round. */
    void forgetBefore(std::uint64_t round);

    /** \returns \a totals without the loads reported in \a round */
    std::vector<Wire::EndpointLoad> otherLoads(std::uint64_t round, const EndpointLoads &totals) const;

    /** \returns \a sessions without one occurrence of each session reported in \a round */
    std::vector<std::uint64_t> otherSessions(std::uint64_t round, const SessionHashes &sessions) const;

private:
    struct OwnLoad {
        std::uint32_t awaitingMs = 0;
        std::uint32_t running = 0;
    };
    struct Report {
        std::map<std::string, OwnLoad> loads;
        std::vector<std::uint64_t> sessions;
    };
    std::map<std::uint64_t, Report> reports;
};

} // namespace Apricothead
