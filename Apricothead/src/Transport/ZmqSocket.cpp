#include "ZmqSocket.h"

#include "CallbackWatch.h"
#include "EventLoop.h"

#include <ev++.h>

#include <utility>

namespace Apricothead::detail {
namespace {

constexpr int IoThreads = 1;
/** Messages taken in one turn, so that other sockets of the loop get theirs. */
constexpr int BatchSize = 200;

} // namespace

zmq::context_t &zmqContext()
{
    // Never destroyed: ending it would wait for sockets of other threads.
    static auto *context = new zmq::context_t(IoThreads);
    return *context;
}

struct ZmqSocket::Private : std::enable_shared_from_this<ZmqSocket::Private> {
    Private(EventLoop &eventLoop, zmq::socket_type type, std::function<bool()> hook)
        : loop(eventLoop), socket(zmqContext(), type), readable(eventLoop.native()), again(eventLoop.native()), receiveOne(std::move(hook))
    {
        this->socket.set(zmq::sockopt::linger, 0);
        this->readable.set<Private, &Private::onReadable>(this);
        this->again.set<Private, &Private::onAgain>(this);
    }

    void onReadable(ev::io &, int)
    {
        this->drain();
    }

    void onAgain(ev::timer &, int)
    {
        this->drain();
    }

    bool hasArrivals()
    {
        return (this->socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0;
    }

    void drain()
    {
        const std::shared_ptr<Private> self = this->shared_from_this();
        const CallbackWatch watch(this->loop, this->receiveOne.target_type());
        for (int taken = 0; taken < BatchSize; ++taken) {
            if (this->closed || !this->hasArrivals() || !this->receiveOne()) {
                return;
            }
        }
        if (!this->closed) {
            this->again.start(0.);
        }
    }

    void close()
    {
        this->closed = true;
        this->readable.stop();
        this->again.stop();
        this->socket.close();
    }

    EventLoop &loop;
    zmq::socket_t socket;
    ev::io readable;
    ev::timer again;
    std::function<bool()> receiveOne;
    bool closed = false;
};

ZmqSocket::ZmqSocket(EventLoop &loop, zmq::socket_type type, std::function<bool()> receiveOne) : d(std::make_shared<Private>(loop, type, std::move(receiveOne)))
{ }

ZmqSocket::~ZmqSocket()
{
    this->d->close();
}

zmq::socket_t &ZmqSocket::socket()
{
    return this->d->socket;
}

void ZmqSocket::watch()
{
    this->d->readable.start(this->d->socket.get(zmq::sockopt::fd), ev::READ);
    this->poke();
}

void ZmqSocket::poke()
{
    if (this->d->hasArrivals()) {
        this->d->readable.feed_event(ev::READ);
    }
}

} // namespace Apricothead::detail
