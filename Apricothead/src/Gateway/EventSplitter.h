#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace Apricothead {

/** \class StreamEvent
 * \ingroup Gateway_Module
 * \brief One complete server-sent event, as received.
 */
struct StreamEvent {
    /** Includes the terminating blank line. */
    std::string bytes;
    /** Value of the event's \c id field; empty when it has none. */
    std::string id;

    bool operator==(const StreamEvent &) const = default;
};

/** \class EventSplitter
 * \ingroup Gateway_Module
 * \brief Splits a byte stream into complete server-sent events. A partial event is buffered until the rest arrives.
 *
 * The work is linear in the number of bytes, in pieces of any size.
 */
class EventSplitter
{
public:
    void append(std::string_view bytes);

    /** \returns the next complete event, or nothing when none is buffered */
    std::optional<StreamEvent> next();

    /** \returns true when the buffer holds part of an event */
    bool hasPartialEvent() const;

    /** \returns the number of buffered bytes, which include events not yet taken */
    std::size_t size() const;

    /** \returns the bytes of memory that the buffer takes */
    std::size_t capacity() const;

    /** Discards the buffer before another stream is read. */
    void clear();

private:
    std::string pending;
    /** Where the next event begins; what is before it has been taken. */
    std::size_t start = 0;
    /** No separator begins between \c start and here. */
    std::size_t searched = 0;
};

} // namespace Apricothead
