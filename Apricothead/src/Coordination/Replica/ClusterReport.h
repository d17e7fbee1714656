#pragma once

#include "../../State/Raft.h"
#include "../../State/StateMachine.h"
#include "Directory.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Apricothead {

/** \class ClusterView
 * \ingroup Coordination_Module
 * \brief State of a leader from which the cluster status is composed.
 */
struct ClusterView {
    const Raft &raft;
    const StateMachine &machine;
    const Directory &directory;
    std::string self;
    std::uint64_t appliedIndex = 0;
    std::uint64_t nowMs = 0;
    /** Number of voters of a complete group. */
    std::size_t targetVoters = 1;
    /** Whether a message of another replica has been received within the link silence bound. */
    std::function<bool(const std::string &)> isReachable;
};

/** \returns the cluster status as reported to operators */
Wire::ClusterStatus describeCluster(const ClusterView &view);

/** \returns true when the group has its full number of voters, and all are reachable and have the newest membership entry */
bool isRedundant(const ClusterView &view);

} // namespace Apricothead
