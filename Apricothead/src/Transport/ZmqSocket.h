#pragma once

#include <functional>
#include <memory>

#include <zmq.hpp>

namespace Apricothead {

class EventLoop;

namespace detail {

/** \returns the one ZeroMQ context of this process; it lives until the process ends */
zmq::context_t &zmqContext();

/** \class ZmqSocket
 * \ingroup Transport_Module
 * \brief A ZeroMQ socket watched by an EventLoop.
 *
 * ZMQ_FD is edge-triggered, and sending may consume the edge of an arrival: call poke() after each use outside of the receiver.
 */
class ZmqSocket
{
public:
    /** \a receiveOne takes one message from the socket; it returns false when none is there. It may destroy this object. */
    ZmqSocket(EventLoop &loop, zmq::socket_type type, std::function<bool()> receiveOne);
    ~ZmqSocket();
    ZmqSocket(const ZmqSocket &) = delete;
    ZmqSocket &operator=(const ZmqSocket &) = delete;

    zmq::socket_t &socket();

    /** Starts to watch; the socket has been bound or connected. */
    void watch();

    /** Looks for arrivals whose edge was consumed. */
    void poke();

private:
    struct Private;
    std::shared_ptr<Private> d;
};

} // namespace detail
} // namespace Apricothead
