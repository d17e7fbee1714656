#include "Router.h"

#include "EventLoop.h"
#include "Timer.h"
#include "ZmqSocket.h"

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Apricothead {
namespace {

using std::chrono::milliseconds;

constexpr int SilenceChecks = 4;
constexpr std::string_view TcpScheme = "tcp://";

} // namespace

struct Router::Private {
    Private(EventLoop &eventLoop, RouterOptions routerOptions)
        : loop(eventLoop)
        , options(std::move(routerOptions))
        , tick(eventLoop,
               [this] {
                   this->onTick();
               })
        , socket(eventLoop, zmq::socket_type::router, [this] {
            return this->receiveOne();
        })
    {
        zmq::socket_t &native = this->socket.socket();
        native.set(zmq::sockopt::router_mandatory, true);
        native.set(zmq::sockopt::sndhwm, this->options.queueLimit);
        const int silenceMs = static_cast<int>(this->options.silence.count());
        native.set(zmq::sockopt::heartbeat_ivl, std::max(1, silenceMs / SilenceChecks));
        native.set(zmq::sockopt::heartbeat_timeout, silenceMs);
        native.bind(std::string(TcpScheme) + this->options.address);
        this->socket.watch();
        this->lastTick = this->loop.nowMs();
        this->tick.startRepeating(std::max(milliseconds(1), this->options.silence / SilenceChecks));
    }

    bool receiveOne()
    {
        zmq::message_t peer;
        zmq::message_t message;
        if (!this->socket.socket().recv(peer, zmq::recv_flags::dontwait)) {
            return false;
        }
        if (!peer.more() || !this->socket.socket().recv(message, zmq::recv_flags::dontwait)) {
            return true;
        }
        this->dropFurtherParts(message.more());
        const PeerId id = peer.to_string();
        Peer &known = this->peers[id];
        known.lastHeard = this->loop.nowMs();
        if (known.gone) {
            // Left unanswered, so that the peer makes a new connection.
            return true;
        }
        if (message.empty()) {
            this->send(id, std::string());
            return true;
        }
        const std::weak_ptr<bool> stillAlive = this->alive;
        if (this->options.onMessage) {
            this->options.onMessage(id, message.to_string_view());
        }
        return !stillAlive.expired();
    }

    void dropFurtherParts(bool more)
    {
        while (more) {
            zmq::message_t part;
            more = this->socket.socket().recv(part, zmq::recv_flags::dontwait) && part.more();
        }
    }

    bool send(const PeerId &id, const std::string &message)
    {
        const auto known = this->peers.find(id);
        if (known == this->peers.end() || known->second.gone) {
            return false;
        }
        bool sent = false;
        try {
            zmq::socket_t &native = this->socket.socket();
            sent = native.send(zmq::buffer(id), zmq::send_flags::sndmore | zmq::send_flags::dontwait).has_value()
                && native.send(zmq::buffer(message), zmq::send_flags::dontwait).has_value();
        } catch (const zmq::error_t &error) {
            if (error.num() == EHOSTUNREACH) {
                // Its connection is closed; the next tick tells.
                known->second.lastHeard = 0;
            }
        }
        this->socket.poke();
        return sent;
    }

    void onTick()
    {
        const std::uint64_t now = this->loop.nowMs();
        const auto bound = static_cast<std::uint64_t>(this->options.silence.count());
        const bool wasPaused = now - std::exchange(this->lastTick, now) > bound;
        if (wasPaused) {
            // This process was stopped, not its peers: what they sent is still waiting.
            return;
        }
        std::vector<PeerId> gone;
        for (auto peer = this->peers.begin(); peer != this->peers.end();) {
            const bool silent = now - peer->second.lastHeard > bound;
            if (silent && peer->second.gone) {
                peer = this->peers.erase(peer);
                continue;
            }
            if (silent) {
                peer->second.gone = true;
                peer->second.lastHeard = now;
                gone.push_back(peer->first);
            }
            ++peer;
        }
        const std::weak_ptr<bool> stillAlive = this->alive;
        for (const PeerId &id : gone) {
            if (this->options.onPeerGone && !stillAlive.expired()) {
                this->options.onPeerGone(id);
            }
        }
    }

    struct Peer {
        std::uint64_t lastHeard = 0;
        bool gone = false;
    };

    EventLoop &loop;
    RouterOptions options;
    Timer tick;
    detail::ZmqSocket socket;
    std::unordered_map<PeerId, Peer> peers;
    std::uint64_t lastTick = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

Router::Router(EventLoop &loop, RouterOptions options) : d(std::make_unique<Private>(loop, std::move(options)))
{ }

Router::~Router() = default;

bool Router::send(const PeerId &peer, const std::string &message)
{
    return this->d->send(peer, message);
}

std::string Router::boundAddress() const
{
    const std::string endpoint = this->d->socket.socket().get(zmq::sockopt::last_endpoint);
    return endpoint.substr(TcpScheme.size());
}

} // namespace Apricothead
