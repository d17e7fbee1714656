#include "EndpointLinks.h"

#include "../../Transport/Dealer.h"
#include "../../Transport/EventLoop.h"
#include "../../Transport/Log.h"

#include <limits>
#include <map>
#include <set>
#include <utility>

namespace Apricothead {

struct EndpointLinks::Private {
    struct Link {
        std::unique_ptr<Dealer> dealer;
        std::uint64_t silentSinceMs = 0;
        /** 0 while listed. */
        std::uint64_t unlistedSinceMs = 0;
    };

    void openLink(const std::string &endpoint, const std::string &address)
    {
        Link &link = this->links[endpoint];
        link.unlistedSinceMs = 0;
        if (link.dealer && link.dealer->address() == address) {
            return;
        }
        link.silentSinceMs = this->loop.nowMs();
        link.dealer = std::make_unique<Dealer>(this->loop,
                                               DealerOptions{
                                                   .address = address,
                                                   .heartbeat = this->options.heartbeat,
                                                   .silence = this->options.silence,
                                                   .onMessage =
                                                       [this, endpoint](std::string_view bytes) {
                                                           this->receive(endpoint, bytes);
                                                       },
                                                   .onConnected =
                                                       [this, endpoint] {
                                                           this->handleConnected(endpoint);
                                                       },
                                                   .onSilent =
                                                       [this, endpoint] {
                                                           this->handleSilent(endpoint);
                                                       },
                                               });
    }

    void handleConnected(const std::string &endpoint)
    {
        this->links[endpoint].silentSinceMs = 0;
        logLine(LogLevel::Info, "endpoint-connected", {{"endpoint", endpoint}});
        // The endpoint process sends load reports only to processes that have sent it a message.
        Wire::Envelope heartbeat;
        heartbeat.mutable_heartbeat()->set_process(this->options.process);
        heartbeat.mutable_heartbeat()->add_roles("entry");
        this->send(endpoint, std::move(heartbeat));
        this->options.onConnected(endpoint);
    }

    void handleSilent(const std::string &endpoint)
    {
        this->links[endpoint].silentSinceMs = this->loop.nowMs();
        logLine(LogLevel::Warning, "endpoint-silent", {{"endpoint", endpoint}});
        this->options.onSilent(endpoint);
    }

    void receive(const std::string &endpoint, std::string_view bytes)
    {
        Wire::Envelope message;
        if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || message.group() != this->options.group) {
            logLine(LogLevel::Warning, "message-not-understood", {{"endpoint", endpoint}});
            return;
        }
        this->options.onMessage(endpoint, message);
    }

    bool send(const std::string &endpoint, Wire::Envelope message)
    {
        const auto found = this->links.find(endpoint);
        if (found == this->links.end()) {
            return false;
        }
        message.set_group(this->options.group);
        message.set_sender(this->options.process);
        message.set_sender_incarnation(this->options.incarnation);
        return found->second.dealer->send(message.SerializeAsString());
    }

    EventLoop &loop;
    EndpointLinksOptions options;
    std::map<std::string, Link> links;
};

EndpointLinks::EndpointLinks(EventLoop &loop, EndpointLinksOptions options) : d(new Private{.loop = loop, .options = std::move(options), .links = {}})
{ }

EndpointLinks::~EndpointLinks() = default;

void EndpointLinks::setDirectory(const std::vector<Wire::EndpointStatus> &endpoints)
{
    std::set<std::string> listed;
    for (const Wire::EndpointStatus &status : endpoints) {
        listed.insert(status.endpoint());
        this->d->openLink(status.endpoint(), status.address());
    }
    for (auto &[endpoint, link] : this->d->links) {
        if (listed.contains(endpoint) || link.unlistedSinceMs > 0) {
            continue;
        }
        link.unlistedSinceMs = this->d->loop.nowMs();
    }
}

bool EndpointLinks::send(const std::string &endpoint, Wire::Envelope message)
{
    return this->d->send(endpoint, std::move(message));
}

bool EndpointLinks::isConnected(const std::string &endpoint) const
{
    const auto found = this->d->links.find(endpoint);
    return found != this->d->links.end() && found->second.dealer->isConnected();
}

std::uint64_t EndpointLinks::silentForMs(const std::string &endpoint) const
{
    const auto found = this->d->links.find(endpoint);
    if (found == this->d->links.end()) {
        return std::numeric_limits<std::uint64_t>::max();
    }
    if (found->second.dealer->isConnected()) {
        return 0;
    }
    return this->d->loop.nowMs() - found->second.silentSinceMs;
}

void EndpointLinks::tick()
{
    const std::uint64_t now = this->d->loop.nowMs();
    const auto retentionMs = static_cast<std::uint64_t>(this->d->options.unlistedRetention.count());
    std::erase_if(this->d->links, [&](const auto &entry) {
        return entry.second.unlistedSinceMs > 0 && now - entry.second.unlistedSinceMs > retentionMs;
    });
}

} // namespace Apricothead
