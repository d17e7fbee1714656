#pragma once

#include "../../Protocol/Messages.h"
#include "../../Protocol/Settings.h"
#include "../../Transport/Dealer.h"
#include "../../Transport/Router.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace Apricothead {

class EventLoop;

/** \class ReplicaLinksOptions
 * \ingroup Coordination_Module
 * \brief Hooks of ReplicaLinks, called on the loop's thread.
 */
struct ReplicaLinksOptions {
    Settings settings;
    std::string replica;
    /** A message arrived on a connection that a process made to this replica. */
    std::function<void(const PeerId &, const Wire::Envelope &)> onMessage;
    std::function<void(const PeerId &)> onPeerGone;
    /** A message arrived on a connection that this replica made to \a address. */
    std::function<void(const std::string &address, const Wire::Envelope &)> onReply;
    /** Calls under way at \a address may be lost. */
    std::function<void(const std::string &address)> onSilent;
    /** Runs each send, for instance later. Empty: at once. For measurements with distance. */
    std::function<void(std::function<void()>)> beforeSend;
};

/** \class ReplicaLinks
 * \ingroup Coordination_Module
 * \brief The connections of one replica: a Router for all processes, and a Dealer to each other replica.
 */
class ReplicaLinks
{
public:
    ReplicaLinks(EventLoop &loop, ReplicaLinksOptions options);
    ~ReplicaLinks();
    ReplicaLinks(const ReplicaLinks &) = delete;
    ReplicaLinks &operator=(const ReplicaLinks &) = delete;

    /** \returns an envelope with group and sender filled in */
    Wire::Envelope envelope() const;

    /** Answers on a connection that a process made. */
    void reply(const PeerId &peer, const Wire::Envelope &message);

    /** Sends to the replica at \a address. \returns false when it is not connected */
    bool sendTo(const std::string &address, const Wire::Envelope &message);

    /** Sends to all other members that are connected. */
    void sendToMembers(const Wire::Envelope &message);

    /** Sends to the member that the message names, by its address or by the connection it made. A message that can't be sent is dropped. */
    void sendRaft(const Wire::RaftMessage &message);

    /** Connects to all members, and drops connections to others. */
    void setMembers(const Wire::Membership &membership);

    /** Connects to a replica that is no member yet. */
    void connectTo(const std::string &address);

    bool isConnected(const std::string &address) const;
    std::string boundAddress() const;
    std::uint64_t bytesSent() const;

private:
    void open(const std::string &address);
    void receive(const PeerId &peer, std::string_view bytes);
    void receiveReply(const std::string &address, std::string_view bytes);
    void dispatch(std::function<void()> send);

    EventLoop &loop;
    ReplicaLinksOptions options;
    std::unique_ptr<Router> router;
    std::map<std::string, std::unique_ptr<Dealer>> dealers;
    std::set<std::string> extraAddresses;
    std::map<std::string, std::string> addresses;
    std::map<std::string, PeerId> inboundPeers;
    std::uint64_t sentBytes = 0;
    // Sends that run later must not outlive the links.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Apricothead
