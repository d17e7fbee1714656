#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Apricothead {

class EventLoop;

/** Names one connection of a Dealer to a Router; opaque bytes, never used again after the connection ended. */
using PeerId = std::string;

/** \class RouterOptions
 * \ingroup Transport_Module
 * \brief Where a Router listens, and its hooks, called on the loop's thread.
 */
struct RouterOptions {
    /** IP and port to listen on, as \c 127.0.0.1:7101; port 0 takes a free one. */
    std::string address;
    /** A peer that sends nothing, not even a heartbeat, for this long is dropped. */
    std::chrono::milliseconds silence{5000};
    std::function<void(const PeerId &, std::string_view)> onMessage;
    std::function<void(const PeerId &)> onPeerGone;
    int queueLimit = 10000;
};

/** \class Router
 * \ingroup Transport_Module
 * \brief The listening end of a ZeroMQ DEALER/ROUTER pair. Answers heartbeats by itself.
 * \sa Dealer
 */
class Router
{
public:
    Router(EventLoop &loop, RouterOptions options);
    ~Router();
    Router(const Router &) = delete;
    Router &operator=(const Router &) = delete;

    /** \returns false when the peer is unknown or its queue is full; the message was not taken */
    bool send(const PeerId &peer, const std::string &message);

    /** \returns the IP and port that the socket is bound to */
    std::string boundAddress() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
