#include "RequestTimeline.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace Apricothead {
namespace {

using Json = nlohmann::json;

/** Events that change the state a process bases its decisions on. */
constexpr std::array StateEvents{
    std::string_view("serving-state"),
    std::string_view("endpoint-seen"),
    std::string_view("endpoint-ejected"),
    std::string_view("endpoint-crashed"),
    std::string_view("endpoint-leaving"),
    std::string_view("endpoint-paused"),
    std::string_view("parts-withheld"),
    std::string_view("replica-lost"),
    std::string_view("replica-connected"),
    std::string_view("stopping"),
    std::string_view("log-lines-left-out"),
};

bool isStateEvent(std::string_view event)
{
    return std::find(StateEvents.begin(), StateEvents.end(), event) != StateEvents.end();
}

std::string formatFields(const Json &line)
{
    std::ostringstream text;
    for (const auto &[name, value] : line.items()) {
        const bool isCommonField = name == "timeMs" || name == "process" || name == "level" || name == "event" || name == "request";
        if (!isCommonField) {
            text << ' ' << name << '=' << (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    return text.str();
}

} // namespace

RequestTimeline::RequestTimeline(std::string id) : request(std::move(id))
{ }

bool RequestTimeline::addLine(std::string_view text)
{
    const std::size_t start = text.find('{');
    if (start == std::string_view::npos) {
        return false;
    }
    const Json line = Json::parse(text.substr(start), nullptr, false);
    if (!line.is_object() || !line.contains("event") || !line.contains("timeMs") || !line.contains("process")) {
        return false;
    }
    Event event{.timeMs = line.at("timeMs"), .process = line.at("process"), .name = line.at("event"), .text = formatFields(line)};
    if (line.value("request", std::string()) == this->request) {
        if (line.contains("endpoint")) {
            this->endpoints.insert(line.at("endpoint").get<std::string>());
        }
        this->requestEvents.push_back(std::move(event));
    } else if (isStateEvent(event.name)) {
        event.subject = line.value("endpoint", line.value("replica", std::string()));
        this->stateEvents.push_back(std::move(event));
    }
    return true;
}

std::vector<RequestTimeline::Event>
RequestTimeline::latestStateEvents(const std::set<std::string> &processes, const std::set<std::string> &relevantEndpoints, std::int64_t untilMs) const
{
    std::map<std::array<std::string, 3>, Event> newest;
    for (const Event &event : this->stateEvents) {
        const bool isEndpointEvent = event.name.starts_with("endpoint-");
        if (!processes.contains(event.process) || event.timeMs > untilMs || (isEndpointEvent && !relevantEndpoints.contains(event.subject))) {
            continue;
        }
        Event &latest = newest[{event.process, event.name, event.subject}];
        if (event.timeMs >= latest.timeMs) {
            latest = event;
        }
    }
    std::vector<Event> listed;
    listed.reserve(newest.size());
    for (const auto &[key, event] : newest) {
        listed.push_back(event);
    }
    return listed;
}

std::string RequestTimeline::toText() const
{
    if (this->requestEvents.empty()) {
        return {};
    }
    std::set<std::string> processes;
    std::int64_t firstMs = this->requestEvents.front().timeMs;
    std::int64_t lastMs = firstMs;
    for (const Event &event : this->requestEvents) {
        processes.insert(event.process);
        firstMs = std::min(firstMs, event.timeMs);
        lastMs = std::max(lastMs, event.timeMs);
    }
    std::vector<Event> events = this->latestStateEvents(processes, this->endpoints, lastMs);
    events.insert(events.end(), this->requestEvents.begin(), this->requestEvents.end());
    std::stable_sort(events.begin(), events.end(), [](const Event &left, const Event &right) {
        return left.timeMs < right.timeMs;
    });
    std::ostringstream text;
    text << "request " << this->request << "; times in ms from its first line\n";
    for (const Event &event : events) {
        text << event.timeMs - firstMs << ' ' << event.process << ' ' << event.name << event.text << '\n';
    }
    return text.str();
}

} // namespace Apricothead
