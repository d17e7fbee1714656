#pragma once

#include "Directory.h"

#include <map>
#include <string>
#include <vector>

namespace Apricothead {

/** \class EndpointWatch
 * \ingroup Coordination_Module
 * \brief Tells the leader which endpoint processes have a new incarnation or are gone, by comparing the log with the Directory.
 */
class EndpointWatch
{
public:
    /** \a lostMs: silence after which an endpoint process is declared gone. */
    explicit EndpointWatch(std::uint64_t lostMs);

    /** Follows the commands that were applied. */
    void recordApplied(const Wire::Command &command, const Wire::CommandResult &result);

    /** Takes over what a snapshot says of endpoint processes. */
    void restore(const Wire::StateSnapshot &snapshot);

    /** This replica became leader: an endpoint process never heard since is given its full time. */
    void startLeading(std::uint64_t nowMs);

    /** \returns commands to propose now; the same one is repeated only after a pause */
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
