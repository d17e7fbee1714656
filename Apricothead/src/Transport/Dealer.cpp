#include "Dealer.h"

#include "EventLoop.h"
#include "Timer.h"
#include "ZmqSocket.h"

#include <atomic>
#include <cstring>
#include <utility>

namespace Apricothead {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds ReconnectInterval{50};
constexpr milliseconds ReconnectIntervalMax{500};

std::string nextMonitorAddress()
{
    static std::atomic<std::uint64_t> number{0};
    return "inproc://dealer-monitor-" + std::to_string(++number);
}

} // namespace

struct Dealer::Private {
    Private(EventLoop &eventLoop, DealerOptions dealerOptions)
        : loop(eventLoop)
        , options(std::move(dealerOptions))
        , tick(eventLoop,
               [this] {
                   this->onTick();
               })
        , reopen(eventLoop, [this] {
            this->open();
        })
    {
        this->open();
        this->tick.startRepeating(this->options.heartbeat);
    }

    ~Private()
    {
        this->close();
    }

    void open()
    {
        this->close();
        this->hasEnded = false;
        this->openedAt = this->loop.nowMs();
        this->socket = std::make_unique<detail::ZmqSocket>(this->loop, zmq::socket_type::dealer, [this] {
            return this->receiveOne();
        });
        zmq::socket_t &native = this->socket->socket();
        native.set(zmq::sockopt::sndhwm, this->options.queueLimit);
        native.set(zmq::sockopt::reconnect_ivl, static_cast<int>(ReconnectInterval.count()));
        native.set(zmq::sockopt::reconnect_ivl_max, static_cast<int>(ReconnectIntervalMax.count()));
        this->openMonitor(native);
        native.connect("tcp://" + this->options.address);
        this->socket->watch();
        this->sendHeartbeat();
    }

    /** The monitor tells at once when the peer closes; a reconnect inside the socket would go unnoticed. */
    void openMonitor(zmq::socket_t &native)
    {
        const std::string address = nextMonitorAddress();
        zmq_socket_monitor(native.handle(), address.c_str(), ZMQ_EVENT_DISCONNECTED);
        this->monitor = std::make_unique<detail::ZmqSocket>(this->loop, zmq::socket_type::pair, [this] {
            return this->receiveMonitorEvent();
        });
        this->monitor->socket().connect(address);
        this->monitor->watch();
    }

    void close()
    {
        if (this->socket) {
            zmq_socket_monitor(this->socket->socket().handle(), nullptr, 0);
        }
        this->monitor.reset();
        this->socket.reset();
        this->connected = false;
    }

    bool receiveOne()
    {
        zmq::message_t message;
        if (!this->socket->socket().recv(message, zmq::recv_flags::dontwait)) {
            return false;
        }
        if (this->hasEnded) {
            // Of a connection whose end has been told: the socket makes another one by itself before it is replaced.
            return true;
        }
        this->lastHeard = this->loop.nowMs();
        const std::weak_ptr<bool> stillAlive = this->alive;
        if (!this->connected) {
            this->connected = true;
            if (this->options.onConnected) {
                this->options.onConnected();
            }
        }
        if (stillAlive.expired()) {
            return false;
        }
        if (!message.empty() && this->options.onMessage) {
            this->options.onMessage(message.to_string_view());
        }
        return !stillAlive.expired();
    }

    bool receiveMonitorEvent()
    {
        zmq::message_t event;
        if (!this->monitor->socket().recv(event, zmq::recv_flags::dontwait)) {
            return false;
        }
        while (event.more()) {
            zmq::message_t rest;
            if (!this->monitor->socket().recv(rest, zmq::recv_flags::dontwait) || !rest.more()) {
                break;
            }
        }
        if (this->receiveRest()) {
            this->renew();
        }
        return false;
    }

    /** Takes what arrived before the end of the connection: it does not speak for the next one. \returns false when a hook destroyed this object */
    bool receiveRest()
    {
        const std::weak_ptr<bool> stillAlive = this->alive;
        while (!stillAlive.expired() && this->hasArrivals() && this->receiveOne()) { }
        return !stillAlive.expired();
    }

    bool hasArrivals() const
    {
        return (this->socket->socket().get(zmq::sockopt::events) & ZMQ_POLLIN) != 0;
    }

    /** Makes a new connection; at most one per ReconnectInterval. */
    void renew()
    {
        this->hasEnded = true;
        const bool wasConnected = std::exchange(this->connected, false);
        const std::uint64_t age = this->loop.nowMs() - this->openedAt;
        const auto least = static_cast<std::uint64_t>(ReconnectInterval.count());
        this->reopen.startOnce(milliseconds(age < least ? least - age : 0));
        if (wasConnected && this->options.onSilent) {
            this->options.onSilent();
        }
    }

    void onTick()
    {
        const std::uint64_t since = this->connected ? this->lastHeard : this->openedAt;
        const auto bound = static_cast<std::uint64_t>(this->options.silence.count());
        const bool silent = this->loop.nowMs() - since > bound;
        // After a pause of this process, arrivals may be waiting: they count as heard.
        if (silent && !this->hasArrivals()) {
            this->renew();
            return;
        }
        this->sendHeartbeat();
    }

    void sendHeartbeat()
    {
        this->send(std::string());
    }

    bool send(const std::string &message)
    {
        const auto sent = this->socket->socket().send(zmq::buffer(message), zmq::send_flags::dontwait);
        this->socket->poke();
        return sent.has_value();
    }

    EventLoop &loop;
    DealerOptions options;
    Timer tick;
    Timer reopen;
    std::unique_ptr<detail::ZmqSocket> socket;
    std::unique_ptr<detail::ZmqSocket> monitor;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::uint64_t openedAt = 0;
    std::uint64_t lastHeard = 0;
    bool connected = false;
    /** The connection's end has been told, and its socket is yet to be replaced. */
    bool hasEnded = false;
};

Dealer::Dealer(EventLoop &loop, DealerOptions options) : d(std::make_unique<Private>(loop, std::move(options)))
{ }

Dealer::~Dealer() = default;

bool Dealer::send(const std::string &message)
{
    return this->d->send(message);
}

bool Dealer::isConnected() const
{
    return this->d->connected;
}

const std::string &Dealer::address() const
{
    return this->d->options.address;
}

} // namespace Apricothead
