#pragma once

#include <string>
#include <string_view>

namespace Apricothead {

/** \returns \a json, which has no line breaks or gets one data line for each, framed as one server-sent event */
std::string eventOf(std::string_view json);

/** \returns \a json framed as an event of type \c error */
std::string errorEventOf(std::string_view json);

/** \returns a comment, which keeps the connection alive and which readers pass over */
std::string keepAliveComment();

/** \returns the event that ends a whole stream of a chat completion */
std::string endEvent();

} // namespace Apricothead
