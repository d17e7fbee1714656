#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Apricothead {

class EventLoop;

/** \class DealerOptions
 * \ingroup Transport_Module
 * \brief How a Dealer connects, and its hooks, called on the loop's thread.
 */
struct DealerOptions {
    /** IP and port of the peer's Router, as \c 127.0.0.1:7101. */
    std::string address;
    std::chrono::milliseconds heartbeat{500};
    /** Nothing heard for this long: the connection is closed and a new one is made. */
    std::chrono::milliseconds silence{2000};
    std::function<void(std::string_view)> onMessage;
    /** The first bytes arrived on a new connection. What was sent before may be lost: send again what must arrive. */
    std::function<void()> onConnected;
    /** The connection went silent and was closed; messages under way may be lost. */
    std::function<void()> onSilent;
    /** Messages waiting to be sent at most; further ones are refused by send(). */
    int queueLimit = 10000;
};

/** \class Dealer
 * \ingroup Transport_Module
 * \brief The connecting end of a ZeroMQ DEALER/ROUTER pair, with heartbeats of its own.
 *
 * Each new connection has a new socket and a new identity, so it succeeds while the old one hangs.
 * \sa Router
 */
class Dealer
{
public:
    Dealer(EventLoop &loop, DealerOptions options);
    ~Dealer();
    Dealer(const Dealer &) = delete;
    Dealer &operator=(const Dealer &) = delete;

    /** \returns false when the queue is full; the message was not taken */
    bool send(const std::string &message);

    /** \returns true while the peer has been heard within the silence bound */
    bool isConnected() const;

    const std::string &address() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
