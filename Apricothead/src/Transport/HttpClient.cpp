#include "HttpClient.h"

#include "CallbackWatch.h"
#include "EventLoop.h"
#include "HttpTransfer.h"
#include "Timer.h"

#include <curl/curl.h>

#include <ev++.h>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Apricothead {
namespace {

/** \class SocketWatch
 * \brief One socket of libcurl, watched for what libcurl asks for.
 */
struct SocketWatch {
    SocketWatch(struct ev_loop *loop, std::function<void(int socket, int events)> socketReady) : io(loop), ready(std::move(socketReady))
    {
        this->io.set<SocketWatch, &SocketWatch::onReady>(this);
    }

    void onReady(ev::io &watcher, int events)
    {
        this->ready(watcher.fd, events);
    }

    ev::io io;
    std::function<void(int, int)> ready;
};

} // namespace

struct HttpClient::Private : detail::HttpTransferOwner {
    explicit Private(EventLoop &eventLoop) : loop(eventLoop), multi(curl_multi_init()), timer(eventLoop.native()), sweep(eventLoop.native())
    {
        if (this->multi == nullptr) {
            throw std::runtime_error("libcurl: no multi handle");
        }
        this->timer.set<Private, &Private::onTimer>(this);
        this->sweep.set<Private, &Private::onSweep>(this);
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &Private::onSocket);
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &Private::onTimerRequest);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
    }

    ~Private() override
    {
        for (const auto &[easy, transfer] : this->transfers) {
            transfer->cancel();
            curl_multi_remove_handle(this->multi, easy);
        }
        this->transfers.clear();
        curl_multi_cleanup(this->multi);
    }

    static int onSocket(CURL *, curl_socket_t socket, int what, void *self, void *)
    {
        static_cast<Private *>(self)->watchSocket(socket, what);
        return 0;
    }

    static int onTimerRequest(CURLM *, long delayMs, void *self)
    {
        static_cast<Private *>(self)->armTimer(delayMs);
        return 0;
    }

    void watchSocket(curl_socket_t socket, int what)
    {
        if (what == CURL_POLL_REMOVE) {
            const auto found = this->sockets.find(socket);
            if (found != this->sockets.end()) {
                // Destroyed later: this may run inside its own callback.
                found->second->io.stop();
                this->formerSockets.push_back(std::move(found->second));
                this->sockets.erase(found);
            }
            return;
        }
        std::unique_ptr<SocketWatch> &watch = this->sockets[socket];
        if (!watch) {
            watch = std::make_unique<SocketWatch>(this->loop.native(), [this](int ready, int events) {
                this->onReady(ready, events);
            });
        }
        const int events = ((what & CURL_POLL_IN) != 0 ? ev::READ : 0) | ((what & CURL_POLL_OUT) != 0 ? ev::WRITE : 0);
        watch->io.stop();
        if (events != 0) {
            watch->io.start(socket, events);
        }
    }

    void armTimer(long delayMs)
    {
        constexpr double MillisecondsPerSecond = 1000;
        this->timer.stop();
        if (delayMs >= 0) {
            ev_now_update(this->loop.native());
            this->timer.start(static_cast<double>(delayMs) / MillisecondsPerSecond);
        }
    }

    void onTimer(ev::timer &, int)
    {
        this->act(CURL_SOCKET_TIMEOUT, 0);
    }

    void onReady(int socket, int events)
    {
        const int ready = ((events & ev::READ) != 0 ? CURL_CSELECT_IN : 0) | ((events & ev::WRITE) != 0 ? CURL_CSELECT_OUT : 0);
        this->act(socket, ready);
    }

    void onSweep(ev::timer &, int)
    {
        this->removeCancelled();
    }

    void act(curl_socket_t socket, int events)
    {
        this->drive([this, socket, events] {
            int running = 0;
            curl_multi_socket_action(this->multi, socket, events, &running);
        });
    }

    /** Lets libcurl work, and then does what its hooks asked for. */
    void drive(const std::function<void()> &step)
    {
        const CallbackWatch watch(this->loop, typeid(HttpClient));
        const std::weak_ptr<bool> stillAlive = this->alive;
        ++this->depth;
        step();
        --this->depth;
        if (this->depth == 0) {
            this->addWaiting();
        }
        this->reportEnded();
        if (!stillAlive.expired()) {
            this->removeCancelled();
        }
    }

    void reportEnded()
    {
        const std::weak_ptr<bool> stillAlive = this->alive;
        int left = 0;
        while (CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            this->end(message->easy_handle, message->data.result);
            if (stillAlive.expired()) {
                return;
            }
        }
    }

    void end(CURL *easy, CURLcode code)
    {
        const std::shared_ptr<detail::HttpTransfer> transfer = this->transfers.at(easy);
        curl_multi_remove_handle(this->multi, easy);
        if (code == CURLE_ABORTED_BY_CALLBACK && transfer->prepareNewConnection()) {
            curl_multi_add_handle(this->multi, easy);
            return;
        }
        this->transfers.erase(easy);
        // libcurl may give the same handle to the next transfer.
        std::erase(this->cancelledTransfers, easy);
        transfer->ended(code);
    }

    void transferSilent(CURL *easy) override
    {
        this->end(easy, CURLE_OPERATION_TIMEDOUT);
    }

    void transferResumed(CURL *easy) override
    {
        this->drive([easy] {
            curl_easy_pause(easy, CURLPAUSE_CONT);
        });
    }

    void removeCancelled()
    {
        std::vector<CURL *> cancelled;
        cancelled.swap(this->cancelledTransfers);
        for (CURL *easy : cancelled) {
            if (this->transfers.contains(easy)) {
                curl_multi_remove_handle(this->multi, easy);
                this->transfers.erase(easy);
            }
        }
        if (this->depth == 0) {
            this->formerSockets.clear();
        }
    }

    void transferCancelled(CURL *easy) override
    {
        this->cancelledTransfers.push_back(easy);
        if (!this->sweep.is_active()) {
            this->sweep.start(0.);
        }
    }

    detail::HttpConnections &connections() override
    {
        return this->openConnections;
    }

    std::shared_ptr<detail::HttpTransfer> add(HttpCallOptions options)
    {
        auto transfer = std::make_shared<detail::HttpTransfer>(this->loop, *this, this->alive, std::move(options));
        this->transfers[transfer->native()] = transfer;
        if (this->depth > 0) {
            // libcurl takes no transfer from inside its own hooks.
            this->waitingTransfers.push_back(transfer->native());
        } else {
            curl_multi_add_handle(this->multi, transfer->native());
        }
        return transfer;
    }

    void addWaiting()
    {
        std::vector<CURL *> waiting;
        waiting.swap(this->waitingTransfers);
        for (CURL *easy : waiting) {
            if (this->transfers.contains(easy)) {
                curl_multi_add_handle(this->multi, easy);
            }
        }
    }

    EventLoop &loop;
    /** Declared before what closes connections. */
    detail::HttpConnections openConnections;
    CURLM *multi;
    ev::timer timer;
    ev::timer sweep;
    std::unordered_map<CURL *, std::shared_ptr<detail::HttpTransfer>> transfers;
    std::unordered_map<curl_socket_t, std::unique_ptr<SocketWatch>> sockets;
    std::vector<std::unique_ptr<SocketWatch>> formerSockets;
    std::vector<CURL *> cancelledTransfers;
    std::vector<CURL *> waitingTransfers;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    int depth = 0;
};

HttpClient::HttpClient(EventLoop &loop) : d(std::make_unique<Private>(loop))
{ }

HttpClient::~HttpClient() = default;

std::unique_ptr<HttpCall> HttpClient::start(HttpCallOptions options)
{
    return std::make_unique<detail::HttpTransferCall>(this->d->add(std::move(options)));
}

std::size_t HttpClient::openConnections() const
{
    return this->d->openConnections.size();
}

std::size_t HttpClient::rememberedIds() const
{
    return this->d->openConnections.idCount();
}

} // namespace Apricothead
