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
 * \brief What a leader knows when it is asked for the state of the cluster.
 */
struct ClusterView {
    const Raft &raft;
    const StateMachine &machine;
    const Directory &directory;
    std::string self;
    std::uint64_t appliedIndex = 0;
    std::uint64_t nowMs = 0;
    /** Voters that a whole group has. */
    std::size_t targetVoters = 1;
    /** Whether another replica has been heard lately. */
    std::function<bool(const std::string &)> isReachable;
};

/** \returns the status that operators see */
Wire::ClusterStatus describeCluster(const ClusterView &view);

/** \returns true when the group has its full number of voters, all heard lately and with the newest membership */
bool isRedundant(const ClusterView &view);

} // namespace Apricothead
