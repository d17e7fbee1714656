#include "EventStream.h"

#include <utility>

namespace Apricothead {

EventStream::EventStream(std::function<void(std::string_view data)> eventHook, std::size_t eventBytes)
    : onEvent(std::move(eventHook)), maxEventBytes(eventBytes)
{ }

bool EventStream::feed(std::string_view bytes)
{
    while (!bytes.empty() && !this->faulty) {
        const std::size_t end = bytes.find('\n');
        this->line.append(bytes.substr(0, end));
        if (this->line.size() + this->data.size() > this->maxEventBytes) {
            this->faulty = true;
            break;
        }
        if (end == std::string_view::npos) {
            break;
        }
        bytes.remove_prefix(end + 1);
        std::string whole;
        whole.swap(this->line);
        this->takeLine(whole);
    }
    return !this->faulty;
}

void EventStream::takeLine(std::string_view text)
{
    constexpr std::string_view Field = "data:";
    if (text.ends_with('\r')) {
        text.remove_suffix(1);
    }
    if (text.empty()) {
        if (this->hasData) {
            std::string event;
            event.swap(this->data);
            this->hasData = false;
            this->onEvent(event);
        }
        return;
    }
    if (!text.starts_with(Field)) {
        return;
    }
    text.remove_prefix(Field.size());
    if (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    if (this->hasData) {
        this->data.push_back('\n');
    }
    this->data.append(text);
    this->hasData = true;
}

} // namespace Apricothead
