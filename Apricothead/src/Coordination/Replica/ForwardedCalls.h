#pragma once

#include "ReplicaLinks.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace Apricothead {

/** \class ForwardedCalls
 * \ingroup Coordination_Module
 * \brief Proposals, queries and membership changes that a replica has forwarded to the leader and that are not answered yet.
 */
class ForwardedCalls
{
public:
    /** \a timeoutMs: time without an answer after which a call is failed. */
    ForwardedCalls(ReplicaLinks &links, std::uint64_t timeoutMs);

    /** Forwards a propose, query or change_members message of \a peer. \returns false when the leader is unknown or not connected */
    bool forward(const PeerId &peer, Wire::Envelope message, const std::string &leaderAddress, std::uint64_t nowMs);

    /** Sends the leader's reply to the process that made the call. */
    void handleReply(Wire::Envelope message);

    /** Fails all calls forwarded to \a address, whose connection was lost: proposals get an unknown outcome, other calls an UNAVAILABLE error. */
    void failCallsTo(const std::string &address);

    /** Fails the calls whose time has run out. */
    void expire(std::uint64_t nowMs);

private:
    struct Call {
        PeerId peer;
        std::uint64_t id = 0;
        /** Of a proposal. \sa Wire::Propose */
        std::uint32_t sending = 0;
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
