#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace Apricothead {

/** \class SilenceTracker
 * \ingroup Coordination_Module
 * \brief For how long a leader has received nothing from another replica while it could have.
 *
 * Replicas send to the leader only, so a new leader counts from when it began to lead. The leader that it followed before is an exception: it sent to all
 * others, so it has been silent since its last message.
 */
class SilenceTracker
{
public:
    /** Records a message of \a replica. */
    void recordMessage(const std::string &replica, std::uint64_t nowMs);

    /** Records that this replica was suspended until now, so that it could receive nothing. */
    void recordResumed(std::uint64_t nowMs);

    /** Records that this replica follows \a leader. */
    void recordFollowed(const std::string &leader);

    /** Records that this replica begins to lead. */
    void recordLeading(std::uint64_t nowMs);

    /** \returns for how many ms nothing has been received from \a replica while it could have been */
    std::uint64_t silentForMs(const std::string &replica, std::uint64_t nowMs) const;

    /** \returns whether a message of \a replica has been received within \a boundMs */
    bool isHeardWithin(const std::string &replica, std::uint64_t boundMs, std::uint64_t nowMs) const;

private:
    std::map<std::string, std::uint64_t> lastMessageMs;
    std::string followed;
    std::uint64_t resumedMs = 0;
    std::uint64_t leadingMs = 0;
};

} // namespace Apricothead
