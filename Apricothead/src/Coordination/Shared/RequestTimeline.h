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
 * \brief Puts the way of one request together from log lines of any number of processes, with what each process believed then.
 *
 * Takes lines in any order; what stands before the JSON of a line is passed over.
 */
class RequestTimeline
{
public:
    explicit RequestTimeline(std::string request);

    /** \returns false when the line holds no JSON of a log line */
    bool addLine(std::string_view line);

    /** \returns the story as text, a line for each event; empty when no line names the request */
    std::string toText() const;

private:
    struct Event {
        std::int64_t timeMs = 0;
        std::string process;
        std::string name;
        /** Names and values for the reader. */
        std::string text;
        /** What a belief is about, so that a newer one takes its place. */
        std::string subject;
    };
    std::vector<Event> latestStateEvents(const std::set<std::string> &processes, const std::set<std::string> &relevantEndpoints, std::int64_t untilMs) const;

    std::string request;
    std::vector<Event> requestEvents;
    std::set<std::string> endpoints;
    std::vector<Event> stateEvents;
};

} // namespace Apricothead
