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
 * \brief Settings and callbacks of ReplicaLinks. Callbacks run on the loop's thread.
 */
struct ReplicaLinksOptions {
    Settings settings;
    std::string replica;
    /** A message arrived on an inbound connection. */
    std::function<void(const PeerId &, const Wire::Envelope &)> onMessage;
    std::function<void(const PeerId &)> onPeerGone;
    /** A message arrived on the outbound connection to \a address. */
    std::function<void(const std::string &address, const Wire::Envelope &)> onReply;
    /** The connection to \a address is silent; pending calls there may be lost. */
    std::function<void(const std::string &address)> onSilent;
    /** Wraps each send, for instance to delay it; empty to send immediately. For benchmarks with simulated network latency. */
    std::function<void(std::function<void()>)> beforeSend;
};

/** \class ReplicaLinks
 * \ingroup Coordination_Module
 * \brief Connections of a replica: a Router for inbound connections of all processes, and a Dealer to each other replica.
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

    /** Sends to the peer of an inbound connection. */
    void reply(const PeerId &peer, const Wire::Envelope &message, const std::string &common = {});

    /** Sends to the replica at \a address. \returns false when it is not connected */
    bool sendTo(const std::string &address, const Wire::Envelope &message);

    /** Sends to all other connected members. */
    void sendToMembers(const Wire::Envelope &message);

    /** Sends to the receiver set in the message, over the connection to its address or its inbound connection. Dropped when neither exists. */
    void sendRaft(const Wire::RaftMessage &message);

    /** Connects to all members, and closes connections to replicas that are neither members nor were passed to connectTo(). */
    void setMembers(const Wire::Membership &membership);

    /** Connects to a replica that is not a member yet. */
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
    // Checked by delayed sends, which may run after this object is destroyed.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace Apricothead
