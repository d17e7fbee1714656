#pragma once

#include "Directory.h"

#include <map>
#include <string>
#include <vector>

namespace Apricothead {

/** \class EndpointWatch
 * \ingroup Coordination_Module
 * \brief Detects endpoint processes with a new incarnation and lost ones, by comparing the applied log with the Directory. Used by the leader.
 */
class EndpointWatch
{
public:
    /** \a lostMs: time without a heartbeat after which an endpoint process is declared lost. */
    explicit EndpointWatch(std::uint64_t lostMs);

    /** Updates the recorded incarnations by an applied command. */
    void recordApplied(const Wire::Command &command, const Wire::CommandResult &result);

    /** Replaces the recorded incarnations by those of a snapshot. */
    void restore(const Wire::StateSnapshot &snapshot);

    /** Called when this replica becomes leader: the silence of endpoint processes is measured from \a nowMs on. */
    void startLeading(std::uint64_t nowMs);

    /** \returns the commands to propose now; at most one per endpoint process and second */
    std::vector<Wire::Command> due(const Directory &directory, std::uint64_t nowMs);

private:
    struct EndpointState {
        std::uint64_t incarnation = 0;
        bool lost = false;
    };
    void propose(const std::string &endpoint, std::uint64_t incarnation, bool lost, std::uint64_t nowMs, std::vector<Wire::Command> &commands);

    std::uint64_t lostMs;
    std::uint64_t leadingSinceMs = 0;
    std::map<std::string, EndpointState> endpoints;
    std::map<std::string, std::uint64_t> proposedMs;
};

} // namespace Apricothead
