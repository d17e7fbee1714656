#include "EventSplitter.h"

#include <algorithm>

namespace Apricothead {
namespace {

constexpr std::string_view Separator = "\n\n";
constexpr std::string_view IdField = "id:";

std::string parseEventId(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with(IdField)) {
            continue;
        }
        line.remove_prefix(IdField.size());
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        while (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        return std::string(line);
    }
    return {};
}

} // namespace

void EventSplitter::append(std::string_view bytes)
{
    // Moves no more bytes than have been taken since the last move.
    if (this->start >= this->size()) {
        this->pending.erase(0, this->start);
        this->searched -= this->start;
        this->start = 0;
    }
    this->pending.append(bytes);
}

std::optional<StreamEvent> EventSplitter::next()
{
    const std::size_t end = this->pending.find(Separator, this->searched);
    if (end == std::string::npos) {
        // The last byte may be the first of a separator.
        this->searched = std::max(this->start, this->pending.size() - std::min(this->pending.size(), Separator.size() - 1));
        return std::nullopt;
    }
    StreamEvent event{.bytes = this->pending.substr(this->start, end + Separator.size() - this->start)};
    event.id = parseEventId(event.bytes);
    this->start = end + Separator.size();
    this->searched = this->start;
    return event;
}

bool EventSplitter::hasPartialEvent() const
{
    return this->start < this->pending.size();
}

std::size_t EventSplitter::size() const
{
    return this->pending.size() - this->start;
}

std::size_t EventSplitter::capacity() const
{
    return this->pending.capacity();
}

void EventSplitter::clear()
{
    this->pending.clear();
    this->start = 0;
    this->searched = 0;
}

} // namespace Apricothead
