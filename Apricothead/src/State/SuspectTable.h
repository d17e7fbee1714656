#pragma once

#include "../Protocol/Messages.h"

#include <cstdint>

namespace Apricothead {

/** \class SuspectTable
 * \ingroup State_Module
 * \brief The evidence, replicated by the log, on parts of requests that may crash the endpoints that answer them.
 *
 * It records facts only; each gateway decides by them which requests to withhold. Being replicated, the evidence of all gateways adds up and
 * outlasts restarts. The number of parts and of crashes kept for each is bounded.
 * \sa PartQuarantine
 */
class SuspectTable
{
public:
    using Suspects = google::protobuf::RepeatedPtrField<Wire::SuspectPart>;

    /** Works on \a suspects, which must outlive the table. */
    explicit SuspectTable(Suspects &suspects);

    /** Applies \a update at log time \a timeMs, and drops evidence that is too old. \returns whether anything changed */
    bool apply(const Wire::UpdateSuspects &update, std::int64_t timeMs);

    /** Starts the trial of \a parts together. \returns false when one is unknown or has no trial due at log time \a timeMs */
    bool startTrial(const google::protobuf::RepeatedField<std::uint64_t> &parts, std::int64_t timeMs);

private:
    Wire::SuspectPart *find(std::uint64_t part);
    Wire::SuspectPart &add(std::uint64_t part);
    bool recordCrash(const Wire::EndpointCrash &crash, const Wire::AwaitingRequest &request, std::uint64_t part, std::int64_t timeMs);
    bool clear(const Wire::PartClearance &clearance);
    bool expire(std::int64_t timeMs);

    Suspects &suspects;
};

} // namespace Apricothead
