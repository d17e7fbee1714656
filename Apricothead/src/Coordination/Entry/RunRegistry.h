#pragma once

#include "../../Protocol/Messages.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

namespace Apricothead {

class StepRun;

/** \class RunRegistry
 * \ingroup Coordination_Module
 * \brief Keeps an entry's step runs until they are finished, and passes them the messages of endpoint processes.
 *
 * Messages are matched by endpoint, key and attempt, never by their order of arrival.
 */
class RunRegistry
{
public:
    void add(const std::shared_ptr<StepRun> &run, const Wire::RequestKey &key);

    /** Passes on a message of the endpoint process \a endpoint. */
    void receive(const std::string &endpoint, const Wire::Envelope &message);
    void handleLinkConnected(const std::string &endpoint);
    /** Checks the timeouts of all runs and removes the finished ones. To be called a few times a second. */
    void tick();

    std::size_t size() const;

private:
    using Key = std::tuple<std::string, std::string, unsigned>;

    /** \returns a copy, since a run that is called may add others */
    std::vector<std::shared_ptr<StepRun>> copyRuns() const;

    std::multimap<Key, std::shared_ptr<StepRun>> runs;
};

} // namespace Apricothead
