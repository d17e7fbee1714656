#pragma once

#include "ReplicaLinks.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Apricothead {

/** \class ForwardedCalls
 * \ingroup Coordination_Module
 * \brief Proposals, queries and membership changes that a replica passes on to the leader, until they are answered.
 */
class ForwardedCalls
{
public:
    /** \a waitMs: a call unanswered for longer counts as lost. */
    ForwardedCalls(ReplicaLinks &links, std::uint64_t timeoutMs);

    /** Passes on a propose, query or change_members message of \a peer. \returns false when the leader is unknown or not connected */
    bool forward(const PeerId &peer, Wire::Envelope message, const std::string &leaderAddress, std::uint64_t nowMs);

    /** Hands the leader's answer to the process that asked. */
    void handleReply(Wire::Envelope message);

    /** The connection to \a address was lost: the processes that asked are told that the outcome is unknown. */
    void failCallsTo(const std::string &address);
    void expire(std::uint64_t nowMs);

private:
    struct Call {
        PeerId peer;
        std::uint64_t id = 0;
        std::string address;
        std::uint64_t deadlineMs = 0;
        Wire::Envelope::BodyCase kind = Wire::Envelope::BODY_NOT_SET;
    };
    void failCalls(const std::function<bool(const Call &)> &isLost);
    void sendFailureReply(const Call &call);

    ReplicaLinks &links;
    std::uint64_t timeoutMs;
    std::uint64_t nextId = 1;
    std::map<std::uint64_t, Call> calls;
};

} // namespace Apricothead
