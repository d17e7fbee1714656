#include "RequestTimeline.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <sstream>
#include <utility>

namespace Apricothead {
namespace {

using Json = nlohmann::json;

/** Events that change what a process believes. */
constexpr std::array Beliefs{
    std::string_view("serving-state"),
    std::string_view("endpoint-seen"),
    std::string_view("endpoint-ejected"),
    std::string_view("replica-lost"),
    std::string_view("replica-connected"),
    std::string_view("stopping"),
    std::string_view("log-lines-left-out"),
};

bool isBelief(std::string_view event)
{
    return std::find(Beliefs.begin(), Beliefs.end(), event) != Beliefs.end();
}

std::string textOf(const Json &line)
{
    std::ostringstream text;
    for (const auto &[name, value] : line.items()) {
        const bool isFrame = name == "timeMs" || name == "process" || name == "level" || name == "event" || name == "request";
        if (!isFrame) {
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
    Event event{.timeMs = line.at("timeMs"), .process = line.at("process"), .name = line.at("event"), .text = textOf(line)};
    if (line.value("request", std::string()) == this->request) {
        if (line.contains("endpoint")) {
            this->endpoints.insert(line.at("endpoint").get<std::string>());
        }
        this->own.push_back(std::move(event));
    } else if (isBelief(event.name)) {
        event.subject = line.value("endpoint", line.value("replica", std::string()));
        this->beliefs.push_back(std::move(event));
    }
    return true;
}

std::vector<RequestTimeline::Event>
RequestTimeline::beliefsOf(const std::set<std::string> &processes, const std::set<std::string> &known, std::int64_t untilMs) const
{
    std::map<std::array<std::string, 3>, Event> newest;
    for (const Event &belief : this->beliefs) {
        const bool isOfEndpoint = belief.name.starts_with("endpoint-");
        if (!processes.contains(belief.process) || belief.timeMs > untilMs || (isOfEndpoint && !known.contains(belief.subject))) {
            continue;
        }
        Event &held = newest[{belief.process, belief.name, belief.subject}];
        if (belief.timeMs >= held.timeMs) {
            held = belief;
        }
    }
    std::vector<Event> listed;
    listed.reserve(newest.size());
    for (const auto &[key, belief] : newest) {
        listed.push_back(belief);
    }
    return listed;
}

std::string RequestTimeline::toText() const
{
    if (this->own.empty()) {
        return {};
    }
    std::set<std::string> processes;
    std::int64_t firstMs = this->own.front().timeMs;
    std::int64_t lastMs = firstMs;
    for (const Event &event : this->own) {
        processes.insert(event.process);
        firstMs = std::min(firstMs, event.timeMs);
        lastMs = std::max(lastMs, event.timeMs);
    }
    std::vector<Event> events = this->beliefsOf(processes, this->endpoints, lastMs);
    events.insert(events.end(), this->own.begin(), this->own.end());
    std::stable_sort(events.begin(), events.end(), [](const Event &left, const Event &right) {
        return left.timeMs < right.timeMs;
    });
    std::ostringstream story;
    story << "request " << this->request << "; times in ms from its first line\n";
    for (const Event &event : events) {
        story << event.timeMs - firstMs << ' ' << event.process << ' ' << event.name << event.text << '\n';
    }
    return story.str();
}

} // namespace Apricothead
