#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothead {

/** \class RequestTimeline
 * \ingroup Coordination_Module
 * \brief Collects the events of one request from the log lines of any number of processes, with the latest state events of these processes.
 *
 * Lines may be added in any order. Text before the JSON object of a line is skipped.
 */
class RequestTimeline
{
public:
    explicit RequestTimeline(std::string request);

    /** \returns false when the line contains no JSON object of a log line */
    bool addLine(std::string_view line);

    /** \returns the timeline as text, one line per event; empty when no line belongs to the request */
    std::string toText() const;

private:
    struct Event {
        std::int64_t timeMs = 0;
        std::string process;
        std::string name;
        /** Further fields as \c name=value. */
        std::string text;
        /** Endpoint or replica of a state event; a newer event of the same name and subject replaces it. */
        std::string subject;
    };
    std::vector<Event> latestStateEvents(const std::set<std::string> &processes, const std::set<std::string> &relevantEndpoints, std::int64_t untilMs) const;

    std::string request;
    std::vector<Event> requestEvents;
    std::set<std::string> endpoints;
    std::vector<Event> stateEvents;
};

} // namespace Apricothead
