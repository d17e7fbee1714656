#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Apricothead {

/** \class StreamEvent
 * \ingroup Gateway_Module
 * \brief One whole event of a stream, as received.
 */
struct StreamEvent {
    /** With the blank line that ends it. */
    std::string bytes;
    /** Empty when the event has none. */
    std::string id;

    bool operator==(const StreamEvent &) const = default;
};

/** \class EventSplitter
 * \ingroup Gateway_Module
 * \brief Cuts a stream of server-sent events into whole events. A part of an event stays until the rest arrives.
 */
class EventSplitter
{
public:
    void append(std::string_view bytes);

    /** \returns the next whole event, nothing when there is none yet */
    std::optional<StreamEvent> next();

    /** \returns true when part of an event is left */
    bool hasPartialEvent() const;

    /** Drops what is left: another stream follows. */
    void clear();

private:
    std::string pending;
    std::size_t start = 0;
};

} // namespace Apricothead
