#pragma once

#include "../../Protocol/Messages.h"
#include "../Shared/ReplicaClient.h"

#include <functional>
#include <string>
#include <vector>

namespace Apricothead {

/** \class OrganisationMetrics
 * \ingroup Coordination_Module
 * \brief What an entry measured for one organisation; zero where nothing was.
 */
struct OrganisationMetrics {
    std::string organisation;
    double firstTokenP95Ms = 0;
    double costMicrosPerRequest = 0;

    bool operator==(const OrganisationMetrics &) const = default;
};

/** \class OperatorBackend
 * \ingroup Coordination_Module
 * \brief What operators' calls need of the rest of the system, as hooks called on the loop's thread.
 */
struct OperatorBackend {
    std::function<void(Wire::Command, std::function<void(const ProposeOutcome &)>)> propose;
    std::function<void(Wire::Query, std::function<void(const Wire::QueryReply &)>)> query;
    std::function<void(Wire::ChangeMembers, std::function<void(const Wire::ChangeMembersReply &)>)> changeMembers;
    /** \returns the endpoint processes that are announced at present */
    std::function<std::vector<Wire::EndpointStatus>()> endpoints;
    /** \returns the text page of metrics */
    std::function<std::string()> metrics;
    /** \returns figures by organisation, as far as this entry knows them */
    std::function<std::vector<OrganisationMetrics>()> organisationMetrics;
    /** \returns wall-clock ms since 1970 */
    std::function<std::int64_t()> nowMs;
};

/** \returns a backend that asks the replicas through \a client, which must outlive it */
OperatorBackend operatorBackend(ReplicaClient &client);

} // namespace Apricothead
