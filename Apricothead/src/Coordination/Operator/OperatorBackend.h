#pragma once

#include "../../Protocol/Messages.h"
#include "../Shared/ReplicaClient.h"

#include <functional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class OrganisationMetrics
 * \ingroup Coordination_Module
 * \brief Values that an entry measured for one organisation; 0 where there is no measurement.
 */
struct OrganisationMetrics {
    std::string organisation;
    double firstTokenP95Ms = 0;
    double costMicrosPerRequest = 0;

    bool operator==(const OrganisationMetrics &) const = default;
};

/** \class OperatorBackend
 * \ingroup Coordination_Module
 * \brief Functions of the rest of the system that operator calls use. They are called on the event loop's thread.
 */
struct OperatorBackend {
    std::function<void(Wire::Command, std::function<void(const ProposeOutcome &)>)> propose;
    std::function<void(Wire::Query, std::function<void(const Wire::QueryReply &)>)> query;
    std::function<void(Wire::ChangeMembers, std::function<void(const Wire::ChangeMembersReply &)>)> changeMembers;
    /** \returns the endpoint processes that are currently announced */
    std::function<std::vector<Wire::EndpointStatus>()> endpoints;
    /** \returns the metrics as text */
    std::function<std::string()> metrics;
    /** \returns the values that this entry measured, by organisation */
    std::function<std::vector<OrganisationMetrics>()> organisationMetrics;
    /** \returns wall-clock ms since 1970 */
    std::function<std::int64_t()> nowMs;
};

/** \returns a backend that queries the replicas through \a client, which must outlive it. Its metrics and organisationMetrics are empty. */
OperatorBackend operatorBackend(ReplicaClient &client);

} // namespace Apricothead
