#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Apricothead {

/** \class EventStream
 * \ingroup Protocol_Module
 * \brief Reads server-sent events from pieces of a byte stream, line by line.
 *
 * Only the data field is used; comments and other fields are passed over.
 */
class EventStream
{
public:
    /** \a onEvent gets the data of each event; an event larger than \a maxEventBytes makes the stream faulty. */
    explicit EventStream(std::function<void(std::string_view data)> onEvent, std::size_t maxEventBytes = 1024 * 1024);

    /** Takes the next piece. \returns false once the stream is faulty */
    bool feed(std::string_view bytes);

private:
    void takeLine(std::string_view line);

    std::function<void(std::string_view)> onEvent;
    std::size_t maxEventBytes;
    std::string line;
    std::string data;
    bool hasData = false;
    bool faulty = false;
};

} // namespace Apricothead
