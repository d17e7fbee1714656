#include "ClusterReport.h"

namespace Apricothead {
namespace {

std::uint64_t matchIndex(const ClusterView &view, const std::string &replica)
{
    if (replica == view.self) {
        return view.raft.log().lastIndex();
    }
    const auto progress = view.raft.progress().find(replica);
    return progress == view.raft.progress().end() ? 0 : progress->second.match;
}

bool isUpToDate(const ClusterView &view, const std::string &replica)
{
    if (replica == view.self) {
        return true;
    }
    const auto progress = view.raft.progress().find(replica);
    const bool follows = progress != view.raft.progress().end() && !progress->second.probing;
    return follows && matchIndex(view, replica) >= view.raft.log().membershipIndex() && view.isReachable(replica);
}

void addReplicas(const ClusterView &view, Wire::ClusterStatus &status)
{
    for (const Wire::Member &member : view.raft.membership().members()) {
        Wire::ReplicaStatus *replica = status.add_replicas();
        replica->set_replica(member.replica());
        replica->set_address(member.address());
        replica->set_learner(member.learner());
        replica->set_availability_zone(member.availability_zone());
        replica->set_reachable(member.replica() == view.self || view.isReachable(member.replica()));
        replica->set_match_index(matchIndex(view, member.replica()));
    }
}

} // namespace

Wire::ClusterStatus describeCluster(const ClusterView &view)
{
    Wire::ClusterStatus status;
    status.set_leader(view.raft.leader());
    status.set_term(view.raft.term());
    status.set_commit_index(view.raft.commitIndex());
    status.set_applied_index(view.appliedIndex);
    status.set_first_index(view.raft.log().firstIndex());
    addReplicas(view, status);
    for (Wire::ProcessStatus &process : view.directory.processes(view.nowMs)) {
        status.add_processes()->Swap(&process);
    }
    for (const Wire::EndpointStatus &endpoint : view.directory.endpoints()) {
        *status.add_endpoints() = endpoint;
    }
    status.set_sessions(view.machine.sessionCount());
    status.set_records(view.machine.recordCount());
    status.set_retired_keys(view.machine.retiredKeyCount());
    status.set_in_force_after_ms(view.directory.inForceAfterMs());
    status.set_revision(view.machine.configuration().revision());
    status.set_redundant(isRedundant(view));
    return status;
}

bool isRedundant(const ClusterView &view)
{
    std::size_t upToDate = 0;
    for (const Wire::Member &member : view.raft.membership().members()) {
        if (member.learner()) {
            continue;
        }
        if (!isUpToDate(view, member.replica())) {
            return false;
        }
        ++upToDate;
    }
    return upToDate >= view.targetVoters;
}

} // namespace Apricothead
