#include "ReplicaLinks.h"

#include "../../Transport/EventLoop.h"
#include "../../Transport/Log.h"

namespace Apricothead {

ReplicaLinks::ReplicaLinks(EventLoop &eventLoop, ReplicaLinksOptions given) : loop(eventLoop), options(std::move(given))
{
    this->router = std::make_unique<Router>(this->loop,
                                            RouterOptions{
                                                .address = listeningAddress(*this->options.settings.replica),
                                                .onMessage =
                                                    [this](const PeerId &peer, std::string_view bytes) {
                                                        this->receive(peer, bytes);
                                                    },
                                                .onPeerGone =
                                                    [this](const PeerId &peer) {
                                                        std::erase_if(this->inboundPeers, [&peer](const auto &entry) {
                                                            return entry.second == peer;
                                                        });
                                                        this->options.onPeerGone(peer);
                                                    },
                                            });
}

ReplicaLinks::~ReplicaLinks()
{
    *this->alive = false;
}

Wire::Envelope ReplicaLinks::envelope() const
{
    Wire::Envelope message;
    message.set_group(this->options.settings.group);
    message.set_sender(this->options.replica);
    return message;
}

void ReplicaLinks::receive(const PeerId &peer, std::string_view bytes)
{
    Wire::Envelope message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || message.group() != this->options.settings.group) {
        logLine(LogLevel::Warning, "message-refused", {{"from", message.sender()}, {"group", message.group()}});
        return;
    }
    if (message.has_raft()) {
        this->inboundPeers[message.raft().from()] = peer;
    }
    this->options.onMessage(peer, message);
}

void ReplicaLinks::receiveReply(const std::string &address, std::string_view bytes)
{
    Wire::Envelope message;
    if (message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) && message.group() == this->options.settings.group) {
        this->options.onReply(address, message);
    }
}

void ReplicaLinks::dispatch(std::function<void()> send)
{
    if (!this->options.beforeSend) {
        send();
        return;
    }
    this->options.beforeSend([send = std::move(send), token = this->alive] {
        if (*token) {
            send();
        }
    });
}

void ReplicaLinks::reply(const PeerId &peer, const Wire::Envelope &message, const std::string &common)
{
    std::string bytes = message.SerializeAsString();
    // Concatenated messages are merged when they are parsed.
    bytes += common;
    this->sentBytes += bytes.size();
    this->dispatch([this, peer, bytes = std::move(bytes)] {
        this->router->send(peer, bytes);
    });
}

bool ReplicaLinks::sendTo(const std::string &address, const Wire::Envelope &message)
{
    if (!this->isConnected(address)) {
        return false;
    }
    std::string bytes = message.SerializeAsString();
    this->sentBytes += bytes.size();
    this->dispatch([this, address, bytes = std::move(bytes)] {
        const auto found = this->dealers.find(address);
        if (found != this->dealers.end()) {
            found->second->send(bytes);
        }
    });
    return true;
}

void ReplicaLinks::sendToMembers(const Wire::Envelope &message)
{
    for (const auto &[replica, address] : this->addresses) {
        this->sendTo(address, message);
    }
}

void ReplicaLinks::sendRaft(const Wire::RaftMessage &message)
{
    Wire::Envelope envelope = this->envelope();
    *envelope.mutable_raft() = message;
    const auto entry = this->addresses.find(message.to());
    if (entry != this->addresses.end() && this->sendTo(entry->second, envelope)) {
        return;
    }
    // A new replica does not know the addresses of the members until it has received its first entries.
    const auto peer = this->inboundPeers.find(message.to());
    if (peer != this->inboundPeers.end()) {
        this->reply(peer->second, envelope);
    }
}

void ReplicaLinks::setMembers(const Wire::Membership &membership)
{
    this->addresses.clear();
    std::set<std::string> memberAddresses;
    for (const Wire::Member &member : membership.members()) {
        if (member.replica() == this->options.replica) {
            continue;
        }
        this->addresses[member.replica()] = member.address();
        memberAddresses.insert(member.address());
        this->open(member.address());
    }
    std::erase_if(this->dealers, [this, &memberAddresses](const auto &entry) {
        return !memberAddresses.contains(entry.first) && !this->extraAddresses.contains(entry.first);
    });
}

void ReplicaLinks::connectTo(const std::string &address)
{
    this->extraAddresses.insert(address);
    this->open(address);
}

void ReplicaLinks::open(const std::string &address)
{
    if (address == this->options.settings.replica->address || this->dealers.contains(address)) {
        return;
    }
    this->dealers[address] = std::make_unique<Dealer>(this->loop,
                                                      DealerOptions{
                                                          .address = address,
                                                          .heartbeat = this->options.settings.timing.linkHeartbeat,
                                                          .silence = this->options.settings.timing.linkSilence,
                                                          .onMessage =
                                                              [this, address](std::string_view bytes) {
                                                                  this->receiveReply(address, bytes);
                                                              },
                                                          .onSilent =
                                                              [this, address] {
                                                                  this->options.onSilent(address);
                                                              },
                                                      });
}

bool ReplicaLinks::isConnected(const std::string &address) const
{
    const auto found = this->dealers.find(address);
    return found != this->dealers.end() && found->second->isConnected();
}

std::string ReplicaLinks::boundAddress() const
{
    return this->router->boundAddress();
}

std::uint64_t ReplicaLinks::bytesSent() const
{
    return this->sentBytes;
}

} // namespace Apricothead
