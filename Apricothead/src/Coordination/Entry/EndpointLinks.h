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
 * \brief Identity, time limits and callbacks of an EndpointLinks.
 */
struct EndpointLinksOptions {
    std::string group = "main";
    std::string process;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds heartbeat{250};
    std::chrono::milliseconds silence{1500};
    /** How long the link to an endpoint process is kept after the directory stopped listing it, so that its runs can end. */
    std::chrono::milliseconds unlistedRetention{20000};
    /** A new connection was made: messages that must arrive have to be sent again. */
    std::function<void(const std::string &endpoint)> onConnected;
    std::function<void(const std::string &endpoint)> onSilent;
    std::function<void(const std::string &endpoint, const Wire::Envelope &)> onMessage;
};

/** \class EndpointLinks
 * \ingroup Coordination_Module
 * \brief An entry's connections to the endpoint processes listed in the directory.
 */
class EndpointLinks
{
public:
    EndpointLinks(EventLoop &loop, EndpointLinksOptions options);
    ~EndpointLinks();
    EndpointLinks(const EndpointLinks &) = delete;
    EndpointLinks &operator=(const EndpointLinks &) = delete;

    void setDirectory(const std::vector<Wire::EndpointStatus> &endpoints);

    /** Sets sender and group, and sends the message. \returns false if there is no link or its queue is full */
    bool send(const std::string &endpoint, Wire::Envelope message);

    bool isConnected(const std::string &endpoint) const;
    /** \returns how long the endpoint has been silent, in ms; 0 while connected, the maximum of the type for an unknown endpoint */
    std::uint64_t silentForMs(const std::string &endpoint) const;

    /** Closes the links whose retention time has passed. To be called periodically. */
    void tick();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

} // namespace Apricothead
