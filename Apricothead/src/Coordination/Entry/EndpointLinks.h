#pragma once

#include "../../Protocol/Messages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothead {

class EventLoop;

/** \class EndpointLinksOptions
 * \ingroup Coordination_Module
 * \brief Who an entry is towards endpoint processes, and its hooks.
 */
struct EndpointLinksOptions {
    std::string group = "main";
    std::string process;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds heartbeat{250};
    std::chrono::milliseconds silence{1500};
    /** An endpoint process that the directory no longer lists keeps its link for this long, for what runs there. */
    std::chrono::milliseconds unlistedRetention{20000};
    /** A new connection stands: what must arrive is to be sent again. */
    std::function<void(const std::string &endpoint)> onConnected;
    std::function<void(const std::string &endpoint)> onSilent;
    std::function<void(const std::string &endpoint, const Wire::Envelope &)> onMessage;
};

/** \class EndpointLinks
 * \ingroup Coordination_Module
 * \brief An entry's connections to the endpoint processes of the directory.
 */
class EndpointLinks
{
public:
    EndpointLinks(EventLoop &loop, EndpointLinksOptions options);
    ~EndpointLinks();
    EndpointLinks(const EndpointLinks &) = delete;
    EndpointLinks &operator=(const EndpointLinks &) = delete;

    void setDirectory(const std::vector<Wire::EndpointStatus> &endpoints);

    /** Adds sender and group. \returns false when there is no link or its queue is full */
    bool send(const std::string &endpoint, Wire::Envelope message);

    bool isConnected(const std::string &endpoint) const;
    /** \returns for how long nothing was heard, in ms; 0 while connected, and a very large number for an unknown endpoint */
    std::uint64_t silentForMs(const std::string &endpoint) const;

    /** Drops links that are no longer needed. To be called now and then. */
    void tick();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
