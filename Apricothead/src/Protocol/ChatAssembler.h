#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace Apricothead {

/** \class ChatAssembler
 * \ingroup Protocol_Module
 * \brief Puts the events of a streamed chat completion together to one \c chat.completion.
 */
class ChatAssembler
{
public:
    ChatAssembler();
    ~ChatAssembler();
    ChatAssembler(const ChatAssembler &) = delete;
    ChatAssembler &operator=(const ChatAssembler &) = delete;

    /** Takes the JSON text of the next event. \returns false when it is none */
    bool take(std::string_view event);

    /** \returns the completion as JSON text */
    std::string completion() const;

    /** \returns the text of the first choice so far */
    std::string text() const;

    /** \returns about how much memory the completion takes so far */
    std::size_t heldBytes() const;

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/** \returns true when \a event only tells the usage: it has no choices */
bool isUsageEvent(std::string_view event);

} // namespace Apricothead
